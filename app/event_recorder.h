// Thread-safe event log of this process.

#ifndef FIREFLYROUTE_APP_EVENT_RECORDER_H
#define FIREFLYROUTE_APP_EVENT_RECORDER_H

#include "app/system_clock.h"
#include "core/timeline/event_log.h"
#include "core/timeline/hybrid_clock.h"

#include <mutex>
#include <utility>
#include <vector>

namespace fireflyroute::app {

class EventRecorder
{
public:
    EventRecorder(const SystemClock &clock, core::VmId vm, core::Incarnation incarnation)
        : clock_(clock)
        , log_(std::move(vm), incarnation, kMaxEvents)
    {}

    void record(core::Event event)
    {
        const std::scoped_lock lock(mutex_);
        log_.record(clock_.tick(), std::move(event));
    }

    // Returns a timestamp for a message to another process.
    core::HybridTimestamp stamp()
    {
        const std::scoped_lock lock(mutex_);
        return clock_.tick();
    }

    // Advances the clock to the timestamp of a message from another process.
    void receive(const core::HybridTimestamp &stamp)
    {
        const std::scoped_lock lock(mutex_);
        clock_.receive(stamp);
    }

    std::vector<core::Event> select(const core::EventFilter &filter)
    {
        const std::scoped_lock lock(mutex_);
        return log_.select(filter);
    }

private:
    static constexpr std::size_t kMaxEvents = 20'000;

    std::mutex mutex_; // guards the fields below
    core::HybridClock<SystemClock> clock_;
    core::EventLog log_;
};

} // namespace fireflyroute::app

#endif
