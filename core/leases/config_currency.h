// Tracks until when an entry may rely on the state that it holds. A confirmation is a reply of a
// leader with a valid lease to the entry's probe. It names the newest revision and counts once the
// entry holds that revision. The freshness period starts when the probe was sent, by the entry's
// own clock, so delays and suspensions can only shorten it.
//
//   freshness.probeSent(nonce, now);
//   freshness.replyReceived(nonce, newestRevision, heldRevision);
//   freshness.revisionApplied(revision);      // completes confirmations that waited for it
//   if (now < freshness.validUntil()) ...

#ifndef FIREFLYROUTE_CORE_LEASES_CONFIG_CURRENCY_H
#define FIREFLYROUTE_CORE_LEASES_CONFIG_CURRENCY_H

#include "core/common/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>

namespace fireflyroute::core {

class ConfigFreshness
{
public:
    explicit ConfigFreshness(Duration lease)
        : lease_(lease)
    {}

    void probeSent(std::uint64_t nonce, Instant now)
    {
        probeSentAt_[nonce] = now;
        // Probes older than the lease can no longer extend the freshness period.
        while (probeSentAt_.begin()->second + lease_ < now)
            probeSentAt_.erase(probeSentAt_.begin());
    }

    // When the probe was sent; empty if it is unknown or too old.
    [[nodiscard]] std::optional<Instant> probeSentAt(std::uint64_t nonce) const
    {
        const auto probe = probeSentAt_.find(nonce);
        return probe == probeSentAt_.end() ? std::nullopt : std::optional(probe->second);
    }

    // Handles the reply of a leader. `newestRevision` is the newest revision according to the reply
    // and `heldRevision` is the revision that the entry holds now.
    void replyReceived(std::uint64_t nonce, std::uint64_t newestRevision,
                       std::uint64_t heldRevision)
    {
        const auto probe = probeSentAt_.find(nonce);
        if (probe == probeSentAt_.end())
            return;
        if (heldRevision >= newestRevision)
            confirm(probe->second);
        else
            unappliedConfirmations_[newestRevision] =
                    std::max(unappliedConfirmations_[newestRevision], probe->second);
    }

    // Records that the entry now holds `revision`.
    void revisionApplied(std::uint64_t revision)
    {
        while (!unappliedConfirmations_.empty()
               && unappliedConfirmations_.begin()->first <= revision) {
            confirm(unappliedConfirmations_.begin()->second);
            unappliedConfirmations_.erase(unappliedConfirmations_.begin());
        }
    }

    [[nodiscard]] Instant validUntil() const
    {
        return confirmedAt_ == Instant() ? Instant() : confirmedAt_ + lease_;
    }

    [[nodiscard]] Instant confirmedAt() const { return confirmedAt_; }

private:
    void confirm(Instant at) { confirmedAt_ = std::max(confirmedAt_, at); }

    Duration lease_;
    Instant confirmedAt_; // never decreases; the epoch before the first confirmation
    std::map<std::uint64_t, Instant> probeSentAt_; // by nonce; nonces increase with time
    // Latest probe time, by the revision that has to be applied before the confirmation counts.
    std::map<std::uint64_t, Instant> unappliedConfirmations_;
};

} // namespace fireflyroute::core

#endif
