// The configuration lease of an entry. While it is valid the entry may dispatch work under the
// configuration that it holds. After it has expired the entry refuses new work, because a newer
// configuration that it has not received may be in force.
//
//   lease.renew(readingBeforeTheRequestWasSent, kConfigLeaseDuration);
//   if (!lease.isValid(ClockReading{clock.now(), clock.wallNow()}))
//       refuse();
//
// A lease starts before the renewal request was sent, so network delay makes the lease shorter than
// the leader assumes, never longer. kClockDriftPermille allows for the clocks of the entry and the
// leader being too slow and too fast by up to half of it each.
//
// A monotonic clock can stand still while a VM is suspended and can be set to a wrong time on
// resume. A reading therefore also contains the wall clock, and the lease ends as soon as it has
// expired by either clock: a clock that jumps ahead ends the lease early, and a clock that stands
// still or goes back does not extend it as long as the other clock advances.

#ifndef FIREFLYROUTE_CORE_LEASES_CONFIG_LEASE_H
#define FIREFLYROUTE_CORE_LEASES_CONFIG_LEASE_H

#include "core/common/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace fireflyroute::core {

// Duration of a configuration lease by the clock of the leader. A lease and the election of a new
// leader together have to fit into the 4 s within which a change must be in force everywhere.
constexpr std::chrono::milliseconds kConfigLeaseDuration{2000};

// Interval at which an entry requests renewal of its lease.
constexpr std::chrono::milliseconds kConfigLeaseRenewInterval{500};

// The monotonic and wall clocks of one process, read at the same moment.
struct ClockReading
{
    Instant monotonic;
    WallTime wall;

    bool operator==(const ClockReading &) const = default;
};

class ConfigLease
{
public:
    static constexpr std::int64_t kClockDriftPermille = 50;

    // Applies a granted lease; `requestedAt` is when the request for it was sent.
    void renew(Instant requestedAt, Duration granted)
    {
        const Instant end = requestedAt + subtractDriftMargin(granted);
        if (end <= validUntil_)
            return;
        validUntil_ = end;
        requestedAt_.reset();
    }

    // Same as above with both clocks, so that isValid() can compare them. If the monotonic clock
    // has gone back, a new lease replaces one that seems to end later but is no longer valid.
    void renew(const ClockReading &requestedAt, Duration granted)
    {
        const Instant end = requestedAt.monotonic + subtractDriftMargin(granted);
        const bool monotonicWentBack = requestedAt_ && requestedAt.wall > requestedAt_->wall
                                       && requestedAt.monotonic < requestedAt_->monotonic;
        if (end <= validUntil_ && !monotonicWentBack)
            return;
        validUntil_ = end;
        requestedAt_ = requestedAt;
        duration_ = subtractDriftMargin(granted);
    }

    [[nodiscard]] bool isValid(Instant now) const { return now < validUntil_; }

    // Returns whether the lease is valid by both clocks. It is invalid if the monotonic clock has
    // gone back.
    [[nodiscard]] bool isValid(const ClockReading &now) const
    {
        if (!isValid(now.monotonic))
            return false;
        if (!requestedAt_)
            return true;
        return now.monotonic >= requestedAt_->monotonic
               && now.wall - requestedAt_->wall < duration_;
    }

    [[nodiscard]] Instant validUntil() const { return validUntil_; }

private:
    static Duration subtractDriftMargin(Duration granted)
    {
        return granted - granted * kClockDriftPermille / 1000;
    }

    Instant validUntil_; // decreases only if the monotonic clock goes back
    std::optional<ClockReading> requestedAt_; // time of the request that set validUntil_
    Duration duration_{0}; // from requestedAt_ to validUntil_
};

} // namespace fireflyroute::core

#endif
