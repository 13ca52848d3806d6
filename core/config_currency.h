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

class ConfigCurrency
{
public:
    explicit ConfigCurrency(Duration lease)
        : lease_(lease)
    {}

    void asked(std::uint64_t nonce, Instant now)
    {
        askedAt_[nonce] = now;
        // Unanswered questions older than the lease prove nothing any more.
        while (askedAt_.begin()->second + lease_ < now)
            askedAt_.erase(askedAt_.begin());
    }

    // A leader said that `newest` is the newest revision, while the entry holds `held`.
    void answered(std::uint64_t nonce, std::uint64_t newest, std::uint64_t held)
    {
        const auto asked = askedAt_.find(nonce);
        if (asked == askedAt_.end())
            return;
        if (held >= newest)
            prove(asked->second);
        else
            waiting_[newest] = std::max(waiting_[newest], asked->second);
    }

    // The entry holds this revision now.
    void took(std::uint64_t revision)
    {
        while (!waiting_.empty() && waiting_.begin()->first <= revision) {
            prove(waiting_.begin()->second);
            waiting_.erase(waiting_.begin());
        }
    }

    [[nodiscard]] Instant validUntil() const
    {
        return provenAt_ == Instant() ? Instant() : provenAt_ + lease_;
    }

    [[nodiscard]] Instant provenAt() const { return provenAt_; }

private:
    void prove(Instant at) { provenAt_ = std::max(provenAt_, at); }

    Duration lease_;
    Instant provenAt_; // never goes back; the epoch before the first proof
    std::map<std::uint64_t, Instant> askedAt_; // by nonce, which grows with time
    std::map<std::uint64_t, Instant> waiting_; // latest asking, by the revision it waits for
};

} // namespace fireflyroute::core

#endif
