// Poisson arrivals and selection of request kinds. The generators are Boost's, because they produce
// the same sequence on every platform.

#include "core/load/load_plan.h"

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

// Limits that keep a mistyped profile from overloading a fleet.
constexpr double kMaxRequestsPerSecond = 20'000;
constexpr std::uint32_t kMaxRequests = 1'000'000;
constexpr std::chrono::hours kMaxDuration{1};

CoreFailure invalid(const std::string &detail)
{
    return CoreFailure{CoreError::InvalidArgument, detail};
}

SessionId sampleSession(const LoadKind &kind, boost::random::mt19937_64 &random)
{
    if (kind.sessions == 0)
        return {};
    boost::random::uniform_int_distribution<std::uint32_t> sessionNumber(1, kind.sessions);
    return SessionId(fmt::format("load-{}-{}", kind.account.value(), sessionNumber(random)));
}

} // namespace

Result<void> validate(const LoadProfile &profile)
{
    if (!(profile.requestsPerSecond > 0) || profile.requestsPerSecond > kMaxRequestsPerSecond)
        return invalid("requests_per_second: must be above 0 and at most 20000");
    if (profile.maxRequests == 0 || profile.maxRequests > kMaxRequests)
        return invalid("max_requests: must be 1 to 1000000");
    if (profile.duration.count() <= 0 || profile.duration > kMaxDuration)
        return invalid("duration_ms: must be above 0 and at most one hour");
    if (profile.kinds.empty())
        return invalid("kinds: must not be empty");
    for (const LoadKind &kind : profile.kinds) {
        if (!(kind.share > 0))
            return invalid("kinds[].share: must be above 0");
        if (kind.maxTokens == 0)
            return invalid("kinds[].max_tokens: must be above 0");
    }
    return outcome::success();
}

std::vector<LoadRequest> planLoad(const LoadProfile &profile)
{
    boost::random::mt19937_64 random(profile.seed);
    boost::random::exponential_distribution<double> interarrivalTime(profile.requestsPerSecond);
    std::vector<double> shares;
    for (const LoadKind &kind : profile.kinds)
        shares.push_back(kind.share);
    boost::random::discrete_distribution<std::size_t> kindDistribution(shares);
    std::vector<LoadRequest> plan;
    std::chrono::duration<double> at(0);
    while (plan.size() < profile.maxRequests) {
        at += std::chrono::duration<double>(interarrivalTime(random));
        if (at >= profile.duration)
            break;
        const std::size_t kind = kindDistribution(random);
        plan.push_back(LoadRequest{std::chrono::duration_cast<Duration>(at), kind,
                                   sampleSession(profile.kinds[kind], random)});
    }
    return plan;
}

} // namespace fireflyroute::core
