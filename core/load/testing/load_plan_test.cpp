// Arrivals and kind distribution of load plans.

#define BOOST_TEST_MODULE load_plan_test

#include "core/load/load_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

namespace fireflyroute::core {

namespace {

constexpr std::uint64_t kSeed = 7;

LoadProfile mixedProfile()
{
    LoadKind urgent;
    urgent.share = 1;
    urgent.rank = Rank::Urgent;
    urgent.account = ClientAccountId("duka-1");
    urgent.sessions = 3;
    LoadKind normal;
    normal.share = 3;
    LoadProfile profile;
    profile.seed = kSeed;
    profile.requestsPerSecond = 200;
    profile.duration = std::chrono::milliseconds(60'000);
    profile.maxRequests = 100'000;
    profile.kinds = {urgent, normal};
    return profile;
}

} // namespace

BOOST_AUTO_TEST_CASE(plan_is_a_function_of_the_seed)
{
    LoadProfile profile = mixedProfile();
    const std::vector<LoadRequest> first = planLoad(profile);
    BOOST_TEST((first == planLoad(profile)));
    ++profile.seed;
    BOOST_TEST((first != planLoad(profile)));
}

// The counts of a Poisson process and of a binomial distribution are within five standard
// deviations of the mean.
BOOST_AUTO_TEST_CASE(arrivals_and_kind_shares_follow_the_profile)
{
    const LoadProfile profile = mixedProfile();
    const std::vector<LoadRequest> plan = planLoad(profile);
    BOOST_TEST_MESSAGE("seed " << kSeed);
    const double expected = 200 * 60;
    const auto count = static_cast<double>(plan.size());
    BOOST_TEST(std::abs(count - expected) < 5 * std::sqrt(expected));
    const auto urgent = std::count_if(plan.begin(), plan.end(),
                                      [](const LoadRequest &request) { return request.kind == 0; });
    const double deviation = std::sqrt(count * 0.25 * 0.75);
    BOOST_TEST(std::abs(static_cast<double>(urgent) - count * 0.25) < 5 * deviation);
    BOOST_TEST(std::is_sorted(plan.begin(), plan.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    }));
    for (const LoadRequest &request : plan) {
        BOOST_REQUIRE((request.at < profile.duration));
        BOOST_REQUIRE(request.session.empty() == (request.kind == 1));
    }
}

BOOST_AUTO_TEST_CASE(number_of_requests_is_bounded)
{
    LoadProfile profile = mixedProfile();
    profile.maxRequests = 10;
    BOOST_TEST(planLoad(profile).size() == 10);
}

BOOST_AUTO_TEST_CASE(validation_error_names_the_invalid_field)
{
    LoadProfile profile = mixedProfile();
    BOOST_TEST(validate(profile).has_value());
    profile.requestsPerSecond = 0;
    BOOST_TEST(validate(profile).error().detail.starts_with("requests_per_second"));
    profile = mixedProfile();
    profile.kinds[0].share = -1;
    BOOST_TEST(validate(profile).error().detail.starts_with("kinds[].share"));
    profile.kinds.clear();
    BOOST_TEST(validate(profile).error().detail.starts_with("kinds"));
}

} // namespace fireflyroute::core
