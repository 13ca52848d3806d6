// The phases of a planned stop.

#include "core/stop/stop_sequence.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

StopLimits ordered(StopLimits limits)
{
    limits.answerPeriod = std::min(limits.answerPeriod, limits.exitPeriod);
    limits.acceptPeriod = std::min(limits.acceptPeriod, limits.answerPeriod);
    limits.streamPeriod = std::min(limits.streamPeriod, limits.acceptPeriod);
    limits.announcePeriod = std::min(limits.announcePeriod, limits.acceptPeriod);
    return limits;
}

} // namespace

StopSequence::StopSequence(const StopLimits &limits)
    : limits_(ordered(limits))
{}

void StopSequence::begin(Instant now)
{
    if (isStopping())
        return;
    phase_ = StopPhase::Announcing;
    begunAt_ = now;
}

StopPhase StopSequence::step(Instant now, const StopLoad &load)
{
    if (!isStopping())
        return phase_;
    if (elapsed(now) >= limits_.exitPeriod) {
        phase_ = StopPhase::Ended;
        return phase_;
    }
    const bool mayClose =
            elapsed(now) >= limits_.announcePeriod && (load.requests == 0 || !takesRequests(now));
    const bool isEmpty = load.connections == 0 && load.tunnels == 0;
    if (phase_ == StopPhase::Announcing && mayClose)
        phase_ = StopPhase::Closing;
    else if (phase_ == StopPhase::Closing && isEmpty)
        phase_ = StopPhase::Ended;
    return phase_;
}

bool StopSequence::takesRequests(Instant now) const
{
    return !isStopping() || elapsed(now) < limits_.acceptPeriod;
}

bool StopSequence::startsStreams(Instant now) const
{
    return !isStopping() || elapsed(now) < limits_.streamPeriod;
}

bool StopSequence::mustAnswer(Instant now) const
{
    return isStopping() && elapsed(now) >= limits_.answerPeriod;
}

Instant StopSequence::answerBy() const
{
    return isStopping() ? begunAt_ + limits_.answerPeriod : Instant::max();
}

Duration StopSequence::elapsed(Instant now) const
{
    return now - begunAt_;
}

} // namespace fireflyroute::core
