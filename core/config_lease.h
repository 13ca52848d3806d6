// The configuration lease of an entry. While it is valid the entry may dispatch work under the
// configuration that it holds; once it has run out the entry refuses new work, because a newer
// configuration may be in force that it has not seen.
//
//   lease.renew(readingBeforeTheRequestWasSent, kConfigLeaseDuration);
//   if (!lease.isValid(ClockReading{clock.now(), clock.wallNow()}))
//       refuse();
//
// A lease counts from before the request that renewed it was sent, so that the time an answer spent
// on the way only makes it shorter than the leader thinks. kClockDriftPermille covers the entry's
// and the leader's clock running up to half of it too slow and too fast.
//
// A monotonic clock can stand still while a VM is suspended, and can be set wrong on resume. The
// reading therefore carries the calendar clock too, and the clock on which more time has passed
// decides: a clock that jumps ahead ends the lease early, one that stands still or goes back
// doesn't prolong it as long as the other one goes on.

#ifndef FIREFLYROUTE_CORE_CONFIG_LEASE_H
#define FIREFLYROUTE_CORE_CONFIG_LEASE_H

#include "core/clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace fireflyroute::core {

// Length of each configuration lease as the leader counts it. Together with the time to elect a new
// leader it has to fit into the 4 s within which a change is in force everywhere.
constexpr std::chrono::milliseconds kConfigLeaseDuration{2000};

// How often an entry asks for its lease to be renewed.
constexpr std::chrono::milliseconds kConfigLeaseRenewInterval{500};

// Both clocks of one process, read at the same moment.
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

    // Takes in a grant: `requestedAt` is when the request for it was sent.
    void renew(Instant requestedAt, Duration granted)
    {
        const Instant end = requestedAt + subtractDriftMargin(granted);
        if (end <= validUntil_)
            return;
        validUntil_ = end;
        requestedAt_.reset();
    }

    // The same with both clocks, so that isValid can compare them. After the monotonic clock went
    // back, a new lease takes the place of one that looks longer and is not valid any more.
    void renew(const ClockReading &requestedAt, Duration granted)
    {
        const Instant end = requestedAt.monotonic + subtractDriftMargin(granted);
        const bool monotonicWentBack = requestedAt_ && requestedAt.wall > requestedAt_->wall
                                       && requestedAt.monotonic < requestedAt_->monotonic;
        if (end <= validUntil_ && !monotonicWentBack)
            return;
        validUntil_ = end;
        requestedAt_ = requestedAt;
        length_ = subtractDriftMargin(granted);
    }

    [[nodiscard]] bool isValid(Instant now) const { return now < validUntil_; }

    // Whether the lease is valid by both clocks; a monotonic clock that went back ends it.
    [[nodiscard]] bool isValid(const ClockReading &now) const
    {
        if (!isValid(now.monotonic))
            return false;
        if (!requestedAt_)
            return true;
        return now.monotonic >= requestedAt_->monotonic && now.wall - requestedAt_->wall < length_;
    }

    [[nodiscard]] Instant validUntil() const { return validUntil_; }

private:
    static Duration subtractDriftMargin(Duration granted)
    {
        return granted - granted * kClockDriftPermille / 1000;
    }

    Instant validUntil_; // goes back only with the monotonic clock
    std::optional<ClockReading> requestedAt_; // of the renewal that set validUntil_
    Duration length_{0}; // from requestedAt_ to validUntil_
};

} // namespace fireflyroute::core

#endif
