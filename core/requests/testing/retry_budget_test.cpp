// Unit tests of the retry budget on one and several entries, and of the rules for retries.

#define BOOST_TEST_MODULE retry_budget
#include "core/requests/retry_budget.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
constexpr std::uint32_t kAllowedPermille = 100;

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
    RetryBudget budget(VmId("a"), Incarnation(1), kAllowedPermille);
    int retries = 0;
    constexpr int kAttempts = 100'000;
    for (int i = 0; i < kAttempts; ++i) {
        const Instant now = kStart + i * 1ms;
        budget.recordFirstAttempt(now);
        retries += budget.tryRetry(now) ? 1 : 0;
    }
    constexpr int kEarned = kAttempts * static_cast<int>(kAllowedPermille) / 1000;
    constexpr int kFloorRetries = 55; // half a retry per second for 100 s, plus 5 at the start
    BOOST_TEST(retries <= kEarned + kFloorRetries);
    BOOST_TEST(retries >= kEarned / 2);
}

BOOST_AUTO_TEST_CASE(checking_the_budget_consumes_nothing)
{
    RetryBudget budget(VmId("a"), Incarnation(1), kAllowedPermille);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(budget.canRetry(kStart));
    BOOST_TEST(retriesGranted(budget, kStart) >= 1);
    BOOST_TEST(!budget.canRetry(kStart));
}

BOOST_AUTO_TEST_CASE(idle_fleet_may_use_the_retry_floor)
{
    RetryBudget budget(VmId("a"), Incarnation(1), kAllowedPermille);
    const int granted = retriesGranted(budget, kStart);
    BOOST_TEST(granted >= 1);
    BOOST_TEST(granted <= 10);
}

BOOST_AUTO_TEST_CASE(retries_of_other_entries_use_up_the_same_budget)
{
    RetryBudget entryA(VmId("a"), Incarnation(1), kAllowedPermille);
    RetryBudget entryB(VmId("b"), Incarnation(1), kAllowedPermille);
    for (int i = 0; i < 1000; ++i) {
        entryA.recordFirstAttempt(kStart);
        entryB.recordFirstAttempt(kStart);
    }
    const int granted = retriesGranted(entryB, kStart);
    const RetryReport report = entryB.report();
    entryA.receive(report, 0ms, kStart);
    entryA.receive(report, 0ms, kStart);
    const int totalGranted = granted + retriesGranted(entryA, kStart);
    BOOST_TEST(totalGranted <= 2000 * static_cast<int>(kAllowedPermille) / 1000 + 10);
    BOOST_TEST(totalGranted > granted);
}

BOOST_AUTO_TEST_CASE(first_report_of_an_entry_adds_no_budget)
{
    RetryBudget entryA(VmId("a"), Incarnation(1), kAllowedPermille);
    const RetryReport firstReport{VmId("b"), Incarnation(3), 900, 1'000'000, 0};
    entryA.receive(firstReport, 0ms, kStart);
    BOOST_TEST(retriesGranted(entryA, kStart) <= 10);
}

BOOST_AUTO_TEST_CASE(only_unexecuted_or_idempotent_attempts_are_retried)
{
    BOOST_TEST((mayRetry({.ran = Executed::No}) == RetryVerdict::Allowed));
    BOOST_TEST((mayRetry({.ran = Executed::Unknown, .idempotent = true}) == RetryVerdict::Allowed));
    BOOST_TEST((mayRetry({.ran = Executed::Unknown}) == RetryVerdict::MayHaveRun));
    BOOST_TEST((mayRetry({.ran = Executed::Yes}) == RetryVerdict::MayHaveRun));
    BOOST_TEST((mayRetry({.ran = Executed::No, .claimed = true}) == RetryVerdict::NotRepeatable));
    BOOST_TEST((mayRetry({.ran = Executed::No, .quarantined = true}) == RetryVerdict::Quarantined));
    BOOST_TEST((mayRetry({.ran = Executed::No, .idempotent = true, .answerStarted = true})
                == RetryVerdict::AnswerStarted));
}
