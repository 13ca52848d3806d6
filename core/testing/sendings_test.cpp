// Which sendings of a request may be followed by another one.

#define BOOST_TEST_MODULE sendings
#include "core/sendings.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

void send(Sendings &sendings, SendingEnd end)
{
    sendings.began();
    sendings.ended(end);
}

} // namespace

// scale-1 of the grown site: after an answer was dropped for a larger model's, each refused
// connection drew on the budget, and the request ended with a failure once that was empty.
BOOST_AUTO_TEST_CASE(refused_connections_take_no_attempt_and_no_budget)
{
    Sendings sendings;
    send(sendings, SendingEnd::Unused);
    for (std::uint32_t i = 0; i < Sendings::kMaxNotArrived; ++i) {
        BOOST_TEST(sendings.hasRoom(2));
        send(sendings, SendingEnd::NotArrived);
    }
    BOOST_TEST(sendings.attempts() == 1U);
    BOOST_TEST(sendings.hasRoom(2));
    send(sendings, SendingEnd::NotArrived);
    BOOST_TEST(!sendings.hasRoom(2));
    BOOST_TEST(!drawsOnBudget(SendingEnd::NotArrived));
    BOOST_TEST(drawsOnBudget(SendingEnd::Rejected));
    BOOST_TEST(drawsOnBudget(SendingEnd::Broke));
}

BOOST_AUTO_TEST_CASE(what_did_not_run_may_run_elsewhere_even_where_one_attempt_is_allowed)
{
    Sendings sendings;
    send(sendings, SendingEnd::Rejected);
    BOOST_TEST(sendings.hasRoom(1));
    BOOST_TEST((sendings.verdict(false, false) == RetryVerdict::Allowed));
    BOOST_TEST((sendings.ran() == Ran::No));
    for (std::uint32_t i = 0; i < Sendings::kMaxRejected; ++i)
        send(sendings, SendingEnd::Rejected);
    BOOST_TEST(!sendings.hasRoom(1));
    BOOST_TEST(sendings.wasRejected());
}

BOOST_AUTO_TEST_CASE(what_may_have_run_is_repeated_only_if_it_does_no_harm)
{
    Sendings sendings;
    BOOST_TEST(sendings.isUntouched());
    send(sendings, SendingEnd::Broke);
    BOOST_TEST(!sendings.isUntouched());
    BOOST_TEST((sendings.ran() == Ran::Unknown));
    BOOST_TEST((sendings.verdict(false, false) == RetryVerdict::MayHaveRun));
    BOOST_TEST((sendings.verdict(true, false) == RetryVerdict::Allowed));
    BOOST_TEST((sendings.verdict(true, true) == RetryVerdict::AnswerStarted));
    BOOST_TEST(!sendings.hasRoom(1));
    // A later rejection does not undo it.
    send(sendings, SendingEnd::Rejected);
    BOOST_TEST((sendings.verdict(false, false) == RetryVerdict::MayHaveRun));
    send(sendings, SendingEnd::Unused);
    send(sendings, SendingEnd::Broke);
    BOOST_TEST((sendings.ran() == Ran::Yes));
    BOOST_TEST(sendings.attempts() == 3U);
}
