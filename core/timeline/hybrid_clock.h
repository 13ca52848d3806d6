// A hybrid logical clock: its timestamps follow wall-clock time and preserve causal order. A
// process creates a timestamp with tick() for each local event, sends the timestamp with its
// messages, and passes the timestamps of received messages to receive(). A reply therefore always
// has a later timestamp than its request, even if the wall clocks of the two VMs differ.
//
//   HybridClock clock(wallTimeSource);           // any type with wallNow()
//   HybridTimestamp sent = clock.tick();
//   HybridTimestamp after = clock.receive(message.stamp);
//
// Forward jumps are bounded: a received timestamp more than kMaxForwardJump ahead of the local wall
// clock is counted but not adopted, so that one VM with a wrong clock cannot move the timestamps of
// the fleet into the future. Events of that VM are not ordered relative to others until its clock
// is corrected. If the local wall clock goes back, timestamps do not: the clock keeps the latest
// time and increments the counter.

#ifndef FIREFLYROUTE_CORE_TIMELINE_HYBRID_CLOCK_H
#define FIREFLYROUTE_CORE_TIMELINE_HYBRID_CLOCK_H

#include "core/common/clock.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace fireflyroute::core {

// A source of wall-clock time. Every Clock satisfies it.
template<typename T>
concept WallTimeSource = requires(const T &source)
{
    {
        source.wallNow()
        } -> std::same_as<WallTime>;
};

// A position in the global order of events. The counter distinguishes events of the same
// millisecond.
struct HybridTimestamp
{
    WallTime wall;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTimestamp &) const = default;
};

// Not thread safe; each clock is used by one thread.
template<WallTimeSource Source>
class HybridClock
{
public:
    static constexpr std::chrono::milliseconds kMaxForwardJump{60'000};

    // `source` must outlive the clock.
    explicit HybridClock(const Source &source)
        : source_(source)
    {}

    // Returns the timestamp of a local event. It is later than all timestamps returned or adopted
    // before.
    HybridTimestamp tick()
    {
        last_ = nextTimestamp(last_, source_.wallNow());
        return last_;
    }

    // Returns the timestamp of receiving a message with the timestamp `remote`.
    HybridTimestamp receive(const HybridTimestamp &remote)
    {
        const WallTime wall = source_.wallNow();
        const bool exceedsMaxJump = remote.wall > wall + kMaxForwardJump;
        if (exceedsMaxJump)
            ++rejectedJumps_;
        last_ = nextTimestamp(exceedsMaxJump ? last_ : std::max(last_, remote), wall);
        return last_;
    }

    [[nodiscard]] HybridTimestamp last() const { return last_; }

    // Number of received timestamps that were rejected because they were too far ahead.
    [[nodiscard]] std::uint64_t rejectedJumps() const { return rejectedJumps_; }

private:
    // Returns the smallest timestamp after `timestamp` that is not before `wall`.
    static HybridTimestamp nextTimestamp(const HybridTimestamp &timestamp, WallTime wall)
    {
        if (wall > timestamp.wall)
            return HybridTimestamp{wall, 0};
        if (timestamp.counter == std::numeric_limits<std::uint32_t>::max())
            return HybridTimestamp{timestamp.wall + std::chrono::milliseconds(1), 0};
        return HybridTimestamp{timestamp.wall, timestamp.counter + 1};
    }

    const Source &source_;
    HybridTimestamp last_; // never decreases
    std::uint64_t rejectedJumps_ = 0;
};

} // namespace fireflyroute::core

#endif
