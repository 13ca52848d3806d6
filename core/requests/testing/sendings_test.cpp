// Unit tests of attempt limits and of the decision about further attempts.

#define BOOST_TEST_MODULE attempt_tracker
#include "core/requests/sendings.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

void recordAttempt(AttemptTracker &attemptTracker, AttemptOutcome outcome)
{
    attemptTracker.recordStart();
    attemptTracker.recordOutcome(outcome);
}

} // namespace

// Regression test (scenario scale-1 of the large site): after an answer was discarded in favour of
// a larger model's, each refused connection consumed retry budget, and the request failed once the
// budget was exhausted.
BOOST_AUTO_TEST_CASE(refused_connections_use_no_attempt_and_no_budget)
{
    AttemptTracker attemptTracker;
    recordAttempt(attemptTracker, AttemptOutcome::Discarded);
    for (std::uint32_t i = 0; i < AttemptTracker::kMaxNotSent; ++i) {
        BOOST_TEST(attemptTracker.allowsAnother(2));
        recordAttempt(attemptTracker, AttemptOutcome::NotSent);
    }
    BOOST_TEST(attemptTracker.attemptCount() == 1U);
    BOOST_TEST(attemptTracker.allowsAnother(2));
    recordAttempt(attemptTracker, AttemptOutcome::NotSent);
    BOOST_TEST(!attemptTracker.allowsAnother(2));
    BOOST_TEST(!consumesRetryBudget(AttemptOutcome::NotSent));
    BOOST_TEST(consumesRetryBudget(AttemptOutcome::Rejected));
    BOOST_TEST(consumesRetryBudget(AttemptOutcome::Failed));
}

BOOST_AUTO_TEST_CASE(rejected_request_may_be_sent_elsewhere_when_one_attempt_is_allowed)
{
    AttemptTracker attemptTracker;
    recordAttempt(attemptTracker, AttemptOutcome::Rejected);
    BOOST_TEST(attemptTracker.allowsAnother(1));
    BOOST_TEST((attemptTracker.retryVerdict(false, false) == RetryVerdict::Allowed));
    BOOST_TEST((attemptTracker.ran() == Executed::No));
    for (std::uint32_t i = 0; i < AttemptTracker::kMaxRejected; ++i)
        recordAttempt(attemptTracker, AttemptOutcome::Rejected);
    BOOST_TEST(!attemptTracker.allowsAnother(1));
    BOOST_TEST(attemptTracker.wasRejected());
}

BOOST_AUTO_TEST_CASE(possibly_executed_request_is_repeated_only_if_idempotent)
{
    AttemptTracker attemptTracker;
    BOOST_TEST(attemptTracker.hasNoAttempts());
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    BOOST_TEST(!attemptTracker.hasNoAttempts());
    BOOST_TEST((attemptTracker.ran() == Executed::Unknown));
    BOOST_TEST((attemptTracker.retryVerdict(false, false) == RetryVerdict::MayHaveRun));
    BOOST_TEST((attemptTracker.retryVerdict(true, false) == RetryVerdict::Allowed));
    BOOST_TEST((attemptTracker.retryVerdict(true, true) == RetryVerdict::AnswerStarted));
    BOOST_TEST(!attemptTracker.allowsAnother(1));
    // A later rejection does not change this.
    recordAttempt(attemptTracker, AttemptOutcome::Rejected);
    BOOST_TEST((attemptTracker.retryVerdict(false, false) == RetryVerdict::MayHaveRun));
    recordAttempt(attemptTracker, AttemptOutcome::Discarded);
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    BOOST_TEST((attemptTracker.ran() == Executed::Yes));
    BOOST_TEST(attemptTracker.attemptCount() == 3U);
}

// Guards against giving up a stream that has begun because every endpoint was full, refused
// connections, or no retry could be afforded at the moment at which its endpoint failed.
BOOST_AUTO_TEST_CASE(started_stream_waits_for_an_endpoint_instead_of_being_given_up)
{
    constexpr std::uint32_t kMaxAttempts = 3;
    AttemptTracker attemptTracker;
    const auto step = [&](bool isAffordable, bool isStreamStarted) {
        return attemptTracker.nextStep(attemptTracker.retryVerdict(true, false), kMaxAttempts,
                                       isAffordable, isStreamStarted);
    };
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    BOOST_TEST((step(true, true) == NextStep::Retry));
    BOOST_TEST((step(false, true) == NextStep::Wait));
    BOOST_TEST((step(false, false) == NextStep::GiveUp));
    for (std::uint32_t i = 0; i <= AttemptTracker::kMaxRejected; ++i)
        recordAttempt(attemptTracker, AttemptOutcome::Rejected);
    BOOST_TEST((step(true, true) == NextStep::Wait));
    BOOST_TEST((step(true, false) == NextStep::GiveUp));

    // After a pause one endpoint is tried, not a whole series of them.
    attemptTracker.recordPause();
    BOOST_TEST((step(true, true) == NextStep::Retry));
    recordAttempt(attemptTracker, AttemptOutcome::Rejected);
    BOOST_TEST((step(true, true) == NextStep::Wait));
    attemptTracker.recordPause();
    for (std::uint32_t i = 0; i <= AttemptTracker::kMaxNotSent; ++i)
        recordAttempt(attemptTracker, AttemptOutcome::NotSent);
    BOOST_TEST((step(true, true) == NextStep::Wait));

    // Attempts that may have run are limited as before.
    attemptTracker.recordPause();
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    BOOST_TEST((step(true, true) == NextStep::GiveUp));
}

BOOST_AUTO_TEST_CASE(started_stream_that_may_not_be_repeated_is_given_up)
{
    AttemptTracker attemptTracker;
    recordAttempt(attemptTracker, AttemptOutcome::Failed);
    BOOST_TEST((attemptTracker.nextStep(attemptTracker.retryVerdict(false, false), 3, true, true)
                == NextStep::GiveUp));
}
