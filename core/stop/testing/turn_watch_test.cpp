// Tests the estimate of when an event arrived that a thread learns of late.

#define BOOST_TEST_MODULE turn_watch
#include "core/stop/turn_watch.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
constexpr Duration kPeriod = 50ms;

// With turns on time until kStart + 10 periods.
TurnWatch watchOnTime()
{
    TurnWatch watch(kPeriod, kStart);
    for (int turn = 1; turn <= 10; ++turn)
        watch.recordTurn(kStart + turn * kPeriod);
    return watch;
}

const Instant kLastTurn = kStart + 10 * kPeriod;

} // namespace

// Guards against a stop whose times are shortened although its signal was handled at once.
BOOST_AUTO_TEST_CASE(event_between_turns_on_time_arrives_now)
{
    const TurnWatch watch = watchOnTime();
    for (const Duration since : {Duration(0), Duration(1ms), Duration(kPeriod)})
        BOOST_TEST((watch.earliestArrival(kLastTurn + since) == kLastTurn + since));
    const TurnWatch fresh(kPeriod, kStart);
    BOOST_TEST((fresh.earliestArrival(kStart + kPeriod) == kStart + kPeriod));
}

// Guards against a stop that counts its times from the end of a hold-up: the signal may have
// arrived at its start.
BOOST_AUTO_TEST_CASE(event_after_a_hold_up_arrives_at_its_start)
{
    const TurnWatch watch = watchOnTime();
    const Instant arrival = watch.earliestArrival(kLastTurn + 800ms);
    BOOST_TEST((arrival >= kLastTurn));
    BOOST_TEST((arrival <= kLastTurn + 2 * kPeriod));
}

// Guards against a hold-up that is forgotten because the timer's turn comes before the event's.
BOOST_AUTO_TEST_CASE(turn_right_after_a_hold_up_does_not_hide_it)
{
    TurnWatch watch = watchOnTime();
    watch.recordTurn(kLastTurn + 800ms);
    const Instant arrival = watch.earliestArrival(kLastTurn + 800ms);
    BOOST_TEST((arrival >= kLastTurn));
    BOOST_TEST((arrival <= kLastTurn + 2 * kPeriod));
    // The event of an earlier hold-up has been seen two turns later.
    watch.recordTurn(kLastTurn + 850ms);
    BOOST_TEST((watch.earliestArrival(kLastTurn + 860ms) == kLastTurn + 860ms));
}
