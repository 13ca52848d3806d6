// Tests the phases of a planned stop: their order, what holds each of them up, and its limits.

#define BOOST_TEST_MODULE stop_sequence
#include "core/stop/stop_sequence.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

BOOST_TEST_DONT_PRINT_LOG_VALUE(StopPhase)

namespace {

const Instant kStart{1h};
constexpr Duration kTick{1};
constexpr StopLimits kLimits{.announcePeriod = 2s,
                             .streamPeriod = 3s,
                             .acceptPeriod = 4s,
                             .answerPeriod = 6s,
                             .exitPeriod = 7s};
constexpr StopLoad kEmpty{};
constexpr StopLoad kIdleConnection{.requests = 0, .connections = 1, .tunnels = 0};
constexpr StopLoad kRequest{.requests = 1, .connections = 1, .tunnels = 0};
constexpr StopLoad kTunnel{.requests = 0, .connections = 0, .tunnels = 1};

StopSequence begun()
{
    StopSequence stop(kLimits);
    stop.begin(kStart);
    return stop;
}

StopSequence closing()
{
    StopSequence stop = begun();
    BOOST_TEST_REQUIRE(stop.step(kStart + kLimits.announcePeriod, kIdleConnection)
                       == StopPhase::Closing);
    return stop;
}

} // namespace

// Guards against a process that skips the announcement or the closing of its listener.
BOOST_AUTO_TEST_CASE(phases_follow_in_order)
{
    StopSequence stop(kLimits);
    std::vector<StopPhase> phases{stop.phase()};
    stop.begin(kStart);
    phases.push_back(stop.phase());
    phases.push_back(stop.step(kStart + 2s, kIdleConnection));
    phases.push_back(stop.step(kStart + 2s + kTick, kEmpty));
    const std::vector<StopPhase> expected{StopPhase::Running, StopPhase::Announcing,
                                          StopPhase::Closing, StopPhase::Ended};
    BOOST_TEST((phases == expected));
}

// Guards against an exit while the listener still accepts: the owner must see Closing first, also
// if nothing is held and if it steps late.
BOOST_AUTO_TEST_CASE(one_step_moves_on_by_one_phase_at_most)
{
    StopSequence stop = begun();
    const Instant late = kStart + kLimits.exitPeriod - kTick;
    BOOST_TEST(stop.step(late, kEmpty) == StopPhase::Closing);
    BOOST_TEST(stop.step(late, kEmpty) == StopPhase::Ended);
}

// Guards against connections that are closed under requests of callers that still use this entry.
BOOST_AUTO_TEST_CASE(nothing_closes_before_the_announce_period)
{
    StopSequence stop = begun();
    BOOST_TEST(stop.step(kStart, kEmpty) == StopPhase::Announcing);
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod - kTick, kEmpty) == StopPhase::Announcing);
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod, kEmpty) == StopPhase::Closing);
}

// Guards against a stop that always takes the whole grace period.
BOOST_AUTO_TEST_CASE(idle_process_ends_right_after_the_announce_period)
{
    StopSequence stop = closing();
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod, kEmpty) == StopPhase::Ended);
}

// Guards against a listener that closes while answers that announce the end are outstanding, and
// against a busy one that never closes: that ends with the accept period.
BOOST_AUTO_TEST_CASE(requests_in_progress_keep_announcing_until_the_accept_period)
{
    StopSequence stop = begun();
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod, kRequest) == StopPhase::Announcing);
    BOOST_TEST(stop.step(kStart + kLimits.acceptPeriod - kTick, kRequest) == StopPhase::Announcing);
    BOOST_TEST(stop.step(kStart + kLimits.acceptPeriod, kRequest) == StopPhase::Closing);
}

// Guards against an exit that cuts a connection on which a request may arrive.
BOOST_AUTO_TEST_CASE(connections_without_requests_keep_it_from_ending)
{
    StopSequence stop = closing();
    BOOST_TEST(stop.step(kStart + kLimits.exitPeriod - kTick, kIdleConnection)
               == StopPhase::Closing);
    BOOST_TEST(stop.step(kStart + kLimits.exitPeriod - kTick, kEmpty) == StopPhase::Ended);
}

// Guards against a relay that exits under the requests of other entries, which it can't answer.
BOOST_AUTO_TEST_CASE(tunnels_keep_it_from_ending_but_not_from_closing)
{
    StopSequence stop = begun();
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod, kTunnel) == StopPhase::Closing);
    BOOST_TEST(stop.step(kStart + kLimits.exitPeriod - kTick, kTunnel) == StopPhase::Closing);
    BOOST_TEST(stop.step(kStart + kLimits.exitPeriod - kTick, kEmpty) == StopPhase::Ended);
}

// Guards against a process that is killed because requests, connections or tunnels hold it up.
BOOST_AUTO_TEST_CASE(exit_period_ends_it_from_any_phase)
{
    const Instant end = kStart + kLimits.exitPeriod;
    for (const StopLoad &load : {kEmpty, kIdleConnection, kRequest, kTunnel}) {
        StopSequence announcing = begun();
        BOOST_TEST(announcing.step(end, load) == StopPhase::Ended);
        StopSequence closingStop = closing();
        BOOST_TEST(closingStop.step(end, load) == StopPhase::Ended);
    }
}

// Guards against a listener that would have to open again, and against a second exit or a stop that
// never ends: whatever the load does, no phase is followed by an earlier one.
BOOST_AUTO_TEST_CASE(phases_never_go_back)
{
    constexpr std::array kLoads{kEmpty, kIdleConnection, kRequest, kTunnel};
    for (std::size_t first = 0; first < kLoads.size(); ++first) {
        for (std::size_t stride = 1; stride <= kLoads.size(); ++stride) {
            StopSequence stop = begun();
            std::vector<StopPhase> phases{stop.phase()};
            for (std::size_t turn = 0; turn <= 80; ++turn) {
                const StopLoad &load = kLoads[(first + turn * stride) % kLoads.size()];
                phases.push_back(stop.step(kStart + turn * 100ms, load));
            }
            BOOST_TEST(std::is_sorted(phases.begin(), phases.end()));
            BOOST_TEST(phases.back() == StopPhase::Ended);
        }
    }
    StopSequence stop = closing();
    BOOST_TEST(stop.step(kStart + kLimits.announcePeriod, kRequest) == StopPhase::Closing);
    stop.begin(kStart + 5s);
    BOOST_TEST(stop.phase() == StopPhase::Closing);
}

// Guards against a second signal that moves the exit past the kill.
BOOST_AUTO_TEST_CASE(second_begin_does_not_move_the_limits)
{
    StopSequence stop = begun();
    stop.begin(kStart + 5s);
    BOOST_TEST((stop.answerBy() == kStart + kLimits.answerPeriod));
    BOOST_TEST((stop.elapsed(kStart + 5s) == 5s));
    BOOST_TEST(stop.step(kStart + kLimits.exitPeriod, kRequest) == StopPhase::Ended);
}

// Guards against a process that refuses or ends requests although no stop was requested.
BOOST_AUTO_TEST_CASE(sequence_that_was_not_begun_stays_running)
{
    StopSequence stop(kLimits);
    for (const Instant now : {Instant{}, kStart, kStart + 24h}) {
        for (const StopLoad &load : {kEmpty, kIdleConnection, kRequest, kTunnel})
            BOOST_TEST(stop.step(now, load) == StopPhase::Running);
        BOOST_TEST(!stop.isStopping());
        BOOST_TEST(stop.takesRequests(now));
        BOOST_TEST(stop.startsStreams(now));
        BOOST_TEST(!stop.mustAnswer(now));
    }
    BOOST_TEST((stop.answerBy() == Instant::max()));
}

// Guards against requests and streams that are started too late to be answered.
BOOST_AUTO_TEST_CASE(requests_and_streams_are_taken_up_to_their_limits)
{
    const StopSequence stop = begun();
    BOOST_TEST(stop.isStopping());
    BOOST_TEST(stop.startsStreams(kStart));
    BOOST_TEST(stop.startsStreams(kStart + kLimits.streamPeriod - kTick));
    BOOST_TEST(!stop.startsStreams(kStart + kLimits.streamPeriod));
    BOOST_TEST(stop.takesRequests(kStart));
    BOOST_TEST(stop.takesRequests(kStart + kLimits.acceptPeriod - kTick));
    BOOST_TEST(!stop.takesRequests(kStart + kLimits.acceptPeriod));
}

// Guards against answers that are due when the process is gone: the last call comes at the time
// that answerBy() names, and before the exit.
BOOST_AUTO_TEST_CASE(answers_are_due_at_the_end_of_the_answer_period)
{
    const StopSequence stop = begun();
    BOOST_TEST(!stop.mustAnswer(kStart));
    BOOST_TEST(!stop.mustAnswer(stop.answerBy() - kTick));
    BOOST_TEST(stop.mustAnswer(stop.answerBy()));
    BOOST_TEST((stop.answerBy() == kStart + kLimits.answerPeriod));
    BOOST_TEST((stop.answerBy() < kStart + kLimits.exitPeriod));
}

// Guards against a phase without a name in the log.
BOOST_AUTO_TEST_CASE(each_phase_has_its_name)
{
    BOOST_TEST(nameOf(StopPhase::Running) == "running");
    BOOST_TEST(nameOf(StopPhase::Announcing) == "announcing");
    BOOST_TEST(nameOf(StopPhase::Closing) == "closing");
    BOOST_TEST(nameOf(StopPhase::Ended) == "ended");
}

// Guards against an exit with an open listener if the grace period is shorter than the usual times.
BOOST_AUTO_TEST_CASE(short_exit_period_shortens_the_others)
{
    StopLimits limits = kLimits;
    limits.exitPeriod = 1s;
    StopSequence stop(limits);
    stop.begin(kStart);
    BOOST_TEST(stop.takesRequests(kStart + 1s - kTick));
    BOOST_TEST(!stop.takesRequests(kStart + 1s));
    BOOST_TEST((stop.answerBy() == kStart + 1s));
    limits.answerPeriod = 900ms;
    StopSequence shorter(limits);
    shorter.begin(kStart);
    BOOST_TEST(!shorter.startsStreams(kStart + 900ms));
    BOOST_TEST((shorter.step(kStart + 900ms, kRequest) == StopPhase::Closing));
}
