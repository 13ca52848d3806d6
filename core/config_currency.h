// Until when an entry may rely on the state that it holds. A proof is the word of a leader under a
// valid lease, given after the entry asked, that the entry's revision is the newest. It counts from
// the asking, on the entry's own clock, so that delays and suspensions only shorten it.
//
//   currency.asked(nonce, now);
//   currency.answered(nonce, newest, held);
//   currency.took(revision);                  // a state that a proof waited for has come
//   if (now < currency.validUntil()) ...

#ifndef FIREFLYROUTE_CORE_CONFIG_CURRENCY_H
#define FIREFLYROUTE_CORE_CONFIG_CURRENCY_H

#include "core/clock.h"

#include <algorithm>
#include <cstdint>
#include <map>

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
        // Unanswered questions older than the lease prove nothing any more.
        while (probeSentAt_.begin()->second + lease_ < now)
            probeSentAt_.erase(probeSentAt_.begin());
    }

    // A leader said that `newest` is the newest revision, while the entry holds `held`.
    void replyReceived(std::uint64_t nonce, std::uint64_t newest, std::uint64_t held)
    {
        const auto probe = probeSentAt_.find(nonce);
        if (probe == probeSentAt_.end())
            return;
        if (held >= newest)
            confirm(probe->second);
        else
            unappliedConfirmations_[newest] =
                    std::max(unappliedConfirmations_[newest], probe->second);
    }

    // The entry holds this revision now.
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
    Instant confirmedAt_; // never goes back; the epoch before the first proof
    std::map<std::uint64_t, Instant> probeSentAt_; // by nonce, which grows with time
    std::map<std::uint64_t, Instant>
            unappliedConfirmations_; // latest asking, by the revision it waits for
};

} // namespace fireflyroute::core

#endif
