// Parts of allowances that an entry holds.

#include "core/cold/cold_allowance.h"

#include <algorithm>
#include <functional>

namespace fireflyroute::core {

void ColdAllowance::applyGrants(const ColdGrants &grants, Instant probeSentAt, Instant now)
{
    if (grants.nonce < lastNonce_)
        return;
    lastNonce_ = grants.nonce;
    // Another entry may have used a part after its grant expired here.
    std::erase_if(held_, [&](const auto &item) { return now >= item.second.until; });
    const Instant until = probeSentAt + grantLifetime_;
    if (now >= until)
        return;
    for (const ColdGrant &grant : grants.grants) {
        if (grant.parts == 0)
            continue;
        Held &held = held_[grant.endpoint];
        held.until = until;
        // Of more parts than granted, those that were used last remain.
        std::sort(held.usableFrom.begin(), held.usableFrom.end(), std::greater<>());
        held.usableFrom.resize(grant.parts, now + kColdPartInterval);
    }
}

bool ColdAllowance::allows(const EndpointId &endpoint, Instant now) const
{
    const auto found = held_.find(endpoint);
    return found != held_.end() && now < found->second.until
           && std::any_of(found->second.usableFrom.begin(), found->second.usableFrom.end(),
                          [&](Instant usableFrom) { return usableFrom <= now; });
}

bool ColdAllowance::take(const EndpointId &endpoint, Instant now)
{
    if (!allows(endpoint, now))
        return false;
    std::vector<Instant> &parts = held_[endpoint].usableFrom;
    *std::min_element(parts.begin(), parts.end()) = now + kColdPartInterval;
    return true;
}

std::size_t ColdAllowance::partsHeld(Instant now) const
{
    std::size_t sum = 0;
    for (const auto &[endpoint, held] : held_)
        sum += now < held.until ? held.usableFrom.size() : 0;
    return sum;
}

} // namespace fireflyroute::core
