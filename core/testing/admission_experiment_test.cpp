// Simulation of admission under overload, compared with first-come-first-served and strict priority
// in the same run. The checked bounds are the documented targets. The figures of each scheduler are
// printed.

#define BOOST_TEST_MODULE admission_experiment
#include "core/testing/fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <limits>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::uint64_t, 3> kSeeds{1, 2, 20261204};
constexpr int kSmallAccounts = 8;
constexpr Duration kOverloadStart = 20s;
constexpr Duration kSteadyStart = 30s; // the queues have reached a steady state
constexpr Duration kOverloadEnd = 110s;
constexpr Duration kEnd = 140s;
const FleetShape kFleetShape;

FleetConfig config()
{
    FleetConfig result;
    result.accounts.push_back(ClientAccount{.id = ClientAccountId("large")});
    for (int i = 0; i < kSmallAccounts; ++i)
        result.accounts.push_back(
                ClientAccount{.id = ClientAccountId("small" + std::to_string(i))});
    return result;
}

const RankPolicy &policy(Rank rank)
{
    static const Defaults defaults;
    return defaults.ranks[static_cast<std::size_t>(rank)];
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Requests of the rank that arrived in the steady phase of the overload, from accounts with this
// name prefix.
std::vector<SimulatedRequest> selectSteady(const std::vector<SimulatedRequest> &allRequests,
                                           const char *accountPrefix, Rank rank)
{
    std::vector<SimulatedRequest> chosen;
    for (const SimulatedRequest &request : allRequests) {
        const bool isInSteadyPhase =
                request.arrivedAt >= kSteadyStart && request.arrivedAt < kOverloadEnd;
        if (isInSteadyPhase && request.rank == rank && request.account.starts_with(accountPrefix))
            chosen.push_back(request);
    }
    return chosen;
}

// Fraction of total capacity that the rank received in the steady phase of the overload, in tokens.
double shareOf(const std::vector<SimulatedRequest> &allRequests, Rank rank)
{
    double tokens = 0;
    for (const SimulatedRequest &request : allRequests) {
        if (request.rank != rank || request.wait == Duration::max())
            continue;
        const Duration startedAt = request.arrivedAt + request.wait;
        if (startedAt >= kSteadyStart && startedAt < kOverloadEnd)
            tokens += request.tokens;
    }
    return tokens / (kFleetShape.capacity() * seconds(kOverloadEnd - kSteadyStart));
}

// 95th percentile; refused requests count as the longest.
double p95Seconds(std::vector<SimulatedRequest> requests, Duration SimulatedRequest::*field)
{
    if (requests.empty())
        return std::numeric_limits<double>::quiet_NaN();
    const auto rank = static_cast<std::ptrdiff_t>(requests.size() * 95 / 100);
    std::nth_element(requests.begin(), requests.begin() + rank, requests.end(),
                     [&](const SimulatedRequest &a, const SimulatedRequest &b) {
                         return a.*field < b.*field;
                     });
    return std::chrono::duration<double>(requests[static_cast<std::size_t>(rank)].*field).count();
}

// Fraction of the requests that were served.
double servedFraction(const std::vector<SimulatedRequest> &requests)
{
    const auto served =
            std::count_if(requests.begin(), requests.end(),
                          [](const SimulatedRequest &s) { return s.wait != Duration::max(); });
    return static_cast<double>(served) / static_cast<double>(requests.size());
}

// Adds load of one rank from all small accounts together.
template<typename Fleet>
void addSmallAccountLoad(Fleet &fleet, Rank rank, double capacityPart, double meanTokens)
{
    for (int i = 0; i < kSmallAccounts; ++i) {
        fleet.addLoad(LoadSource{.account = "small" + std::to_string(i),
                                 .rank = rank,
                                 .tokensPerSecond =
                                         capacityPart * kFleetShape.capacity() / kSmallAccounts,
                                 .meanTokens = meanTokens});
    }
}

struct RankFigures
{
    double p95Wait = 0; // of the small accounts, in seconds
    double share = 0; // of capacity, all accounts
    double servedFraction = 0; // fraction of served requests of the small accounts
};

RankFigures figures(const std::vector<SimulatedRequest> &allRequests, Rank rank)
{
    const std::vector<SimulatedRequest> requests = selectSteady(allRequests, "small", rank);
    return RankFigures{p95Seconds(requests, &SimulatedRequest::wait), shareOf(allRequests, rank),
                       servedFraction(requests)};
}

void print(const char *experiment, std::uint64_t seed, const char *scheduler, const char *rankName,
           const RankFigures &f)
{
    fmt::print(
            "{} seed {} {:<11} {:<10} p95 wait {:8.3f} s, {:5.1f}% of capacity, {:5.1f}% served\n",
            experiment, seed, scheduler, rankName, std::min(f.p95Wait, 999.0), 100 * f.share,
            100 * f.servedFraction);
}

// Regular traffic plus an overload of one rank at a multiple of capacity.
template<RankScheduler Scheduler>
std::array<RankFigures, kRankCount> runOverload(const char *name, std::uint64_t seed, Rank rank,
                                                double multiple)
{
    FakeFleet<Scheduler> fleet(config(), kFleetShape, seed);
    addSmallAccountLoad(fleet, Rank::Urgent, 0.15, 200);
    addSmallAccountLoad(fleet, Rank::Normal, 0.40, 400);
    addSmallAccountLoad(fleet, Rank::Background, 0.15, 1000);
    fleet.addLoad(LoadSource{.account = "large",
                             .rank = rank,
                             .tokensPerSecond = multiple * kFleetShape.capacity(),
                             .meanTokens = rank == Rank::Urgent ? 200.0 : 1000.0,
                             .from = kOverloadStart,
                             .until = kOverloadEnd});
    fleet.run(kEnd);
    std::array<RankFigures, kRankCount> results;
    for (std::size_t i = 0; i < kRankCount; ++i) {
        results[i] = figures(fleet.requests(), static_cast<Rank>(i));
        print(rank == Rank::Urgent ? "urgent-flood" : "background-flood", seed, name,
              nameOf(static_cast<Rank>(i)).data(), results[i]);
    }
    return results;
}

struct SmallFigures
{
    double p95Latency = 0; // seconds
    double p95Wait = 0; // seconds
    double servedFraction = 0;
};

// Small accounts, either each on its own entry or all on all entries, with one large account that
// requests `shares` times its fair share on every entry.
template<RankScheduler Scheduler>
SmallFigures runWithLargeAccount(const char *name, std::uint64_t seed, double shares,
                                 bool separateEntries)
{
    FakeFleet<Scheduler> fleet(config(), kFleetShape, seed);
    for (int i = 0; i < kSmallAccounts; ++i) {
        fleet.addLoad(LoadSource{.account = "small" + std::to_string(i),
                                 .tokensPerSecond = 0.5 * kFleetShape.capacity() / kSmallAccounts,
                                 .entry = separateEntries ? i : -1});
    }
    fleet.addLoad(
            LoadSource{.account = "large",
                       .tokensPerSecond = shares * kFleetShape.capacity() / (kSmallAccounts + 1)});
    fleet.run(kEnd);
    const auto requests = selectSteady(fleet.requests(), "small", Rank::Normal);
    const SmallFigures results{p95Seconds(requests, &SimulatedRequest::latency),
                               p95Seconds(requests, &SimulatedRequest::wait),
                               servedFraction(requests)};
    fmt::print("large-account seed {} {:<11} {:>4}x share, {} p95 latency {:7.3f} s, p95 wait "
               "{:7.3f} s, {:5.1f}% served\n",
               seed, name, shares, separateEntries ? "own entries:" : "all entries:",
               std::min(results.p95Latency, 999.0), std::min(results.p95Wait, 999.0),
               100 * results.servedFraction);
    return results;
}

// Fraction of the fleet's capacity received by an account that uses a single entry and requests all
// of that entry's capacity, while another account requests ten times the fleet's capacity on all
// entries.
double shareOnOneEntry(std::uint64_t seed, bool exchangesUsage)
{
    FleetShape shape = kFleetShape;
    shape.exchangesUsage = exchangesUsage;
    FakeFleet<GuaranteedShareScheduler> fleet(config(), shape, seed);
    const double entryCapacity = shape.capacity() / shape.entries;
    fleet.addLoad(
            LoadSource{.account = "small0", .tokensPerSecond = 1.5 * entryCapacity, .entry = 0});
    fleet.addLoad(LoadSource{.account = "large", .tokensPerSecond = 10 * shape.capacity()});
    fleet.run(kEnd);
    std::vector<SimulatedRequest> small = fleet.requests();
    std::erase_if(small,
                  [](const SimulatedRequest &request) { return request.account != "small0"; });
    const double share = shareOf(small, Rank::Normal);
    fmt::print("spread-account seed {} usage {}: {:5.2f}% of capacity, its entry is {:5.2f}%\n",
               seed, exchangesUsage ? "exchanged" : "kept     ", 100 * share,
               100.0 / shape.entries);
    return share;
}

double guaranteedShare(Rank rank)
{
    return policy(rank).guaranteedSharePermille / 1000.0;
}

} // namespace

BOOST_AUTO_TEST_CASE(background_overload_keeps_urgent_wait_and_normal_share)
{
    for (const std::uint64_t seed : kSeeds) {
        runOverload<ArrivalScheduler>("fcfs", seed, Rank::Background, 5);
        runOverload<PriorityScheduler>("priority", seed, Rank::Background, 5);
        const auto actual =
                runOverload<GuaranteedShareScheduler>("guaranteed", seed, Rank::Background, 5);
        BOOST_TEST(actual[0].p95Wait <= seconds(policy(Rank::Urgent).firstTokenTarget));
        BOOST_TEST(actual[1].share >= guaranteedShare(Rank::Normal));
    }
}

BOOST_AUTO_TEST_CASE(urgent_overload_keeps_guaranteed_shares_of_other_ranks)
{
    for (const std::uint64_t seed : kSeeds) {
        runOverload<ArrivalScheduler>("fcfs", seed, Rank::Urgent, 5);
        runOverload<PriorityScheduler>("priority", seed, Rank::Urgent, 5);
        const auto actual =
                runOverload<GuaranteedShareScheduler>("guaranteed", seed, Rank::Urgent, 5);
        BOOST_TEST(actual[1].share >= guaranteedShare(Rank::Normal));
        BOOST_TEST(actual[2].share >= guaranteedShare(Rank::Background));
    }
}

BOOST_AUTO_TEST_CASE(large_account_on_all_entries_does_not_slow_down_small_accounts)
{
    constexpr double kAllowedSlowdown = 1.5;
    constexpr double kOverloadFactor = 10;
    for (const std::uint64_t seed : kSeeds) {
        for (const bool separateEntries : {false, true}) {
            runWithLargeAccount<ArrivalScheduler>("fcfs", seed, 1, separateEntries);
            runWithLargeAccount<ArrivalScheduler>("fcfs", seed, kOverloadFactor, separateEntries);
            runWithLargeAccount<PriorityScheduler>("priority", seed, kOverloadFactor,
                                                   separateEntries);
            const auto baseline = runWithLargeAccount<GuaranteedShareScheduler>("guaranteed", seed,
                                                                                1, separateEntries);
            const auto actual = runWithLargeAccount<GuaranteedShareScheduler>(
                    "guaranteed", seed, kOverloadFactor, separateEntries);
            BOOST_TEST(actual.p95Latency <= kAllowedSlowdown * baseline.p95Latency);
        }
    }
}

BOOST_AUTO_TEST_CASE(account_gains_no_share_by_using_all_entries)
{
    // The fair share of each account is half of the fleet, more than one entry can provide. The
    // account on one entry is therefore entitled to all of that entry, except for requests that
    // were already running when it started.
    constexpr double kMinShareFraction = 0.9;
    for (const std::uint64_t seed : kSeeds) {
        shareOnOneEntry(seed, false);
        BOOST_TEST(shareOnOneEntry(seed, true) >= kMinShareFraction / kFleetShape.entries);
    }
}
