// The retry budget alone and over several entries, and who may be retried at all.

#define BOOST_TEST_MODULE retry_budget
#include "core/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
constexpr std::uint32_t kPermilleAllowed = 100;

int retriesGranted(RetryBudget &budget, Instant now)
{
    int granted = 0;
    while (granted < 100'000 && budget.tryRetry(now))
        ++granted;
    return granted;
}

} // namespace

BOOST_AUTO_TEST_CASE(retries_stay_a_fraction_of_first_attempts_when_everything_fails)
{
    RetryBudget budget(VmId("a"), Incarnation(1), kPermilleAllowed);
    int retries = 0;
    constexpr int kAttempts = 100'000;
    for (int i = 0; i < kAttempts; ++i) {
        const Instant now = kStart + i * 1ms;
        budget.firstAttempt(now);
        retries += budget.tryRetry(now) ? 1 : 0;
    }
    constexpr int kEarned = kAttempts * static_cast<int>(kPermilleAllowed) / 1000;
    constexpr int kFloorRetries = 55; // half a retry per second for 100 s, and 5 at the start
    BOOST_TEST(retries <= kEarned + kFloorRetries);
    BOOST_TEST(retries >= kEarned / 2);
}

BOOST_AUTO_TEST_CASE(looking_at_the_budget_takes_nothing)
{
    RetryBudget budget(VmId("a"), Incarnation(1), kPermilleAllowed);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(budget.hasRetry(kStart));
    BOOST_TEST(retriesGranted(budget, kStart) >= 1);
    BOOST_TEST(!budget.hasRetry(kStart));
}

BOOST_AUTO_TEST_CASE(a_quiet_fleet_may_retry_a_little)
{
    RetryBudget budget(VmId("a"), Incarnation(1), kPermilleAllowed);
    const int granted = retriesGranted(budget, kStart);
    BOOST_TEST(granted >= 1);
    BOOST_TEST(granted <= 10);
}

BOOST_AUTO_TEST_CASE(retries_of_other_entries_use_up_the_same_budget)
{
    RetryBudget here(VmId("a"), Incarnation(1), kPermilleAllowed);
    RetryBudget there(VmId("b"), Incarnation(1), kPermilleAllowed);
    for (int i = 0; i < 1000; ++i) {
        here.firstAttempt(kStart);
        there.firstAttempt(kStart);
    }
    const int granted = retriesGranted(there, kStart);
    const RetryReport report = there.report();
    here.receive(report, 0ms, kStart);
    here.receive(report, 0ms, kStart);
    const int both = granted + retriesGranted(here, kStart);
    BOOST_TEST(both <= 2000 * static_cast<int>(kPermilleAllowed) / 1000 + 10);
    BOOST_TEST(both > granted);
}

BOOST_AUTO_TEST_CASE(the_past_of_a_newly_heard_entry_gives_no_budget)
{
    RetryBudget here(VmId("a"), Incarnation(1), kPermilleAllowed);
    const RetryReport old{VmId("b"), Incarnation(3), 900, 1'000'000, 0};
    here.receive(old, 0ms, kStart);
    BOOST_TEST(retriesGranted(here, kStart) <= 10);
}

BOOST_AUTO_TEST_CASE(only_what_did_not_run_or_does_no_harm_is_retried)
{
    BOOST_TEST((mayRetry({.ran = Ran::No}) == RetryVerdict::Allowed));
    BOOST_TEST((mayRetry({.ran = Ran::Unknown, .idempotent = true}) == RetryVerdict::Allowed));
    BOOST_TEST((mayRetry({.ran = Ran::Unknown}) == RetryVerdict::MayHaveRun));
    BOOST_TEST((mayRetry({.ran = Ran::Yes}) == RetryVerdict::MayHaveRun));
    BOOST_TEST((mayRetry({.ran = Ran::No, .claimed = true}) == RetryVerdict::NotRepeatable));
    BOOST_TEST((mayRetry({.ran = Ran::No, .quarantined = true}) == RetryVerdict::Quarantined));
    BOOST_TEST((mayRetry({.ran = Ran::No, .idempotent = true, .answerStarted = true})
                == RetryVerdict::AnswerStarted));
}
