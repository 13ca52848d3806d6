// The planned stop of a process: which requests it still takes, when it accepts no more
// connections, and when it exits. Decides only; the owner reports what its connections hold and
// acts on the phase.
//
//   StopSequence stop(limits);
//   stop.begin(now);
//   if (stop.step(now, load) == StopPhase::Closing) ...
//
// The order of the phases is what keeps requests from being lost: no connection in use is closed
// without notice, and the exit comes only after no connection is left on which a request could
// arrive, or when the time is used up.

#ifndef FIREFLYROUTE_CORE_STOP_STOP_SEQUENCE_H
#define FIREFLYROUTE_CORE_STOP_STOP_SEQUENCE_H

#include "core/common/clock.h"
#include "core/common/enum_names.h"

#include <array>
#include <cstddef>

namespace fireflyroute::core {

enum class StopPhase {
    Running, // no stop was requested
    Announcing, // takes requests; each answer announces the end of its connection
    Closing, // accepts no connections, answers what was accepted, closes idle connections
    Ended, // no connection is left, or the time is used up: the process exits
};

template<>
struct EnumNames<StopPhase>
{
    static constexpr std::array table{
            EnumName{StopPhase::Running, "running"},
            EnumName{StopPhase::Announcing, "announcing"},
            EnumName{StopPhase::Closing, "closing"},
            EnumName{StopPhase::Ended, "ended"},
    };
};

// Times since the stop was requested. None ends after a later one: a short exit period shortens the
// others.
struct StopLimits
{
    Duration announcePeriod{}; // connections are closed only after it
    Duration streamPeriod{}; // no stream is started after it, because it could outlast the process
    Duration acceptPeriod{}; // no request is taken after it
    Duration answerPeriod{}; // requests that are still in progress are answered at its end
    Duration exitPeriod{}; // the process exits, whatever is in progress
};

// What the connections of a stopping process hold.
struct StopLoad
{
    std::size_t requests = 0; // of which any part was read and that are not answered
    std::size_t connections = 0; // not closed, or that may still be accepted
    std::size_t tunnels = 0; // of other processes
};

class StopSequence
{
public:
    explicit StopSequence(const StopLimits &limits);

    // Starts the stop. Has no effect if it has started.
    void begin(Instant now);

    // Returns the phase that holds from now on. It moves on by one phase at most, so that the owner
    // acts on each; only the end of the exit period ends the stop from any phase.
    StopPhase step(Instant now, const StopLoad &load);

    [[nodiscard]] StopPhase phase() const { return phase_; }
    [[nodiscard]] bool isStopping() const { return phase_ != StopPhase::Running; }

    [[nodiscard]] bool takesRequests(Instant now) const;
    [[nodiscard]] bool startsStreams(Instant now) const;

    // Whether requests that are still in progress have to be answered now.
    [[nodiscard]] bool mustAnswer(Instant now) const;

    // The time by which an answer can still be sent: the latest possible time while no stop was
    // requested.
    [[nodiscard]] Instant answerBy() const;

    // Time since the stop was requested.
    [[nodiscard]] Duration elapsed(Instant now) const;

private:
    const StopLimits limits_; // in ascending order
    StopPhase phase_ = StopPhase::Running; // never goes back
    Instant begunAt_; // valid unless phase_ is Running
};

} // namespace fireflyroute::core

#endif
