// Choice of the entries that may send to a cold endpoint.

#include "core/cold/cold_grants.h"

#include "core/common/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace fireflyroute::core {

std::uint32_t coldParts(double requestsPerSecond)
{
    constexpr double kMaxParts = 1e6;
    return static_cast<std::uint32_t>(std::floor(std::clamp(requestsPerSecond, 1.0, kMaxParts)));
}

void ColdGrantor::recordElected(Instant now)
{
    grantsFrom_ = now + lifetime_;
    holds_.clear();
    entries_.clear();
    entriesChanged_ = true;
}

void ColdGrantor::setEndpoints(std::vector<ColdEndpointAllowance> endpoints, Instant now)
{
    for (auto it = holds_.begin(); it != holds_.end();) {
        (void)partsHeldByOthers(it->second, VmId(), now);
        it = it->second.empty() ? holds_.erase(it) : std::next(it);
    }
    const std::size_t lost = std::erase_if(
            entries_, [&](const auto &item) { return now - item.second.probedAt > lifetime_; });
    if (endpoints == endpoints_ && lost == 0 && !entriesChanged_)
        return;
    endpoints_ = std::move(endpoints);
    chooseOwners();
}

void ColdGrantor::recordProbe(const VmId &entry, bool isIsolated, Instant now)
{
    if (isIsolated) {
        entriesChanged_ |= entries_.erase(entry) > 0;
        return;
    }
    const auto [found, isNew] = entries_.try_emplace(entry, Entry{hashText(entry.value()), now});
    found->second.probedAt = now;
    entriesChanged_ |= isNew;
}

// Rendezvous hashing spreads the endpoints evenly over the entries, and a change of one entry moves
// only the parts of that entry. As many entries as possible get parts, since callers are spread
// over all entries.
void ColdGrantor::chooseOwners()
{
    owners_.clear();
    std::vector<std::pair<std::uint64_t, const VmId *>> scored;
    for (const ColdEndpointAllowance &allowance : endpoints_) {
        const std::uint64_t endpointHash = hashText(allowance.endpoint.value());
        scored.clear();
        for (const auto &[vm, entry] : entries_)
            scored.emplace_back(mixBits(endpointHash ^ entry.hash), &vm);
        const std::size_t count = std::min<std::size_t>(allowance.parts, scored.size());
        std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count),
                          scored.end());
        auto &owners = owners_[allowance.endpoint];
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t parts = allowance.parts / count + (i < allowance.parts % count);
            owners.emplace(*scored[i].second, static_cast<std::uint32_t>(parts));
        }
    }
    entriesChanged_ = false;
}

// Drops expired holds. An entry may still use the largest of its holds that have not expired.
std::uint32_t ColdGrantor::partsHeldByOthers(Holds &holds, const VmId &entry, Instant now)
{
    std::uint32_t sum = 0;
    for (auto &[holder, list] : holds) {
        std::erase_if(list, [&](const Hold &hold) { return now >= hold.until; });
        std::uint32_t largest = 0;
        for (const Hold &hold : list)
            largest = std::max(largest, hold.parts);
        if (holder != entry)
            sum += largest;
    }
    std::erase_if(holds, [](const auto &item) { return item.second.empty(); });
    return sum;
}

ColdGrants ColdGrantor::grantTo(const VmId &entry, std::uint64_t nonce, bool isIsolated,
                                Instant now)
{
    recordProbe(entry, isIsolated, now);
    ColdGrants grants;
    grants.nonce = nonce;
    if (isIsolated || now < grantsFrom_)
        return grants;
    for (const ColdEndpointAllowance &allowance : endpoints_) {
        const auto &owners = owners_[allowance.endpoint];
        const auto intended = owners.find(entry);
        if (intended == owners.end())
            continue;
        Holds &holds = holds_[allowance.endpoint];
        const std::uint32_t held = partsHeldByOthers(holds, entry, now);
        const std::uint32_t available = allowance.parts - std::min(held, allowance.parts);
        const std::uint32_t parts = std::min(intended->second, available);
        if (parts == 0)
            continue;
        holds[entry].push_back({parts, now + lifetime_});
        grants.grants.push_back({allowance.endpoint, parts});
    }
    return grants;
}

} // namespace fireflyroute::core
