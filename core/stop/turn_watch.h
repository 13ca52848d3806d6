// Estimates when an event arrived that a thread learns of late, for example a signal to a process
// that was suspended, or whose thread was busy or not scheduled. The kernel doesn't tell the time
// of a signal.
//
//   TurnWatch watch(period, now);
//   watch.recordTurn(now); // by a timer of the thread, every `period`
//   const Instant arrivedAt = watch.earliestArrival(now); // when the thread learns of an event
//
// An event that had arrived before the turn that precedes the last one would have been seen by now.
// The last turn itself shows nothing: a thread that was held up may run its timer first.

#ifndef FIREFLYROUTE_CORE_STOP_TURN_WATCH_H
#define FIREFLYROUTE_CORE_STOP_TURN_WATCH_H

#include "core/common/clock.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

class TurnWatch
{
public:
    TurnWatch(Duration period, Instant now)
        : period_(period)
        , last_(now)
        , beforeLast_(now)
    {}

    void recordTurn(Instant now) { beforeLast_ = std::exchange(last_, now); }

    // Returns the time of an event that is seen now: `now` if the turns were on time, otherwise at
    // most two periods after the event arrived.
    [[nodiscard]] Instant earliestArrival(Instant now) const
    {
        return std::min(now, beforeLast_ + 2 * period_);
    }

private:
    const Duration period_;
    Instant last_; // turn
    Instant beforeLast_; // turn; never after last_
};

} // namespace fireflyroute::core

#endif
