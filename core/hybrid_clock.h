// A hybrid logical clock: stamps that follow calendar time and still respect cause and effect. A
// process stamps what it does with tick(), sends the stamp along with its messages, and takes in
// the stamps of messages that it receives, so that an answer is always stamped later than its
// question although the two VMs disagree about the time of day.
//
//   HybridClock clock(wallTimeSource);           // anything with wallNow()
//   HybridTimestamp sent = clock.tick();
//   HybridTimestamp after = clock.receive(message.stamp);
//
// Forward jumps are bounded: a received stamp that lies more than kMaxForwardJump ahead of the
// local calendar clock is not taken over, only counted, so that one VM with a wrong clock can't
// drag the stamps of the fleet into the future. The order towards that VM's events is lost until
// its clock is mended. A local calendar clock that goes back doesn't take the stamps back: they
// keep the latest time seen and count on from there.

#ifndef FIREFLYROUTE_CORE_HYBRID_CLOCK_H
#define FIREFLYROUTE_CORE_HYBRID_CLOCK_H

#include "core/clock.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace fireflyroute::core {

// A source of calendar time; every Clock is one.
template<typename T>
concept WallTimeSource = requires(const T &source)
{
    {
        source.wallNow()
        } -> std::same_as<WallTime>;
};

// A point in the common order of events. The counter tells events of one millisecond apart.
struct HybridTimestamp
{
    WallTime wall;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTimestamp &) const = default;
};

// Not thread safe; one clock belongs to one thread.
template<WallTimeSource Source>
class HybridClock
{
public:
    static constexpr std::chrono::milliseconds kMaxForwardJump{60'000};

    // The source has to outlive the clock.
    explicit HybridClock(const Source &source)
        : source_(source)
    {}

    // The stamp of a local event; later than every stamp given or taken over before.
    HybridTimestamp tick()
    {
        last_ = nextTimestamp(last_, source_.wallNow());
        return last_;
    }

    // The stamp of the arrival of a message that carries `remote`.
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

    // Received stamps that were too far ahead to be taken over.
    [[nodiscard]] std::uint64_t rejectedJumps() const { return rejectedJumps_; }

private:
    // The smallest stamp behind `stamp` that is not before `wall`.
    static HybridTimestamp nextTimestamp(const HybridTimestamp &timestamp, WallTime wall)
    {
        if (wall > timestamp.wall)
            return HybridTimestamp{wall, 0};
        if (timestamp.counter == std::numeric_limits<std::uint32_t>::max())
            return HybridTimestamp{timestamp.wall + std::chrono::milliseconds(1), 0};
        return HybridTimestamp{timestamp.wall, timestamp.counter + 1};
    }

    const Source &source_;
    HybridTimestamp last_; // only grows
    std::uint64_t rejectedJumps_ = 0;
};

} // namespace fireflyroute::core

#endif
