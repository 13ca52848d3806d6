// Merging what endpoints say of themselves.

#include "core/endpoint_registry.h"

#include <tuple>

namespace fireflyroute::core {

namespace {

bool sameContent(EndpointRecord left, const EndpointRecord &right)
{
    left.sequence = right.sequence;
    left.warmupMs = right.warmupMs;
    return left == right;
}

} // namespace

RegistryChange EndpointRegistry::apply(const EndpointRecord &record, Instant now)
{
    const auto found = endpoints_.find(record.id);
    if (found == endpoints_.end()) {
        if (record.state != EndpointState::Gone && isAddressTaken(record))
            return RegistryChange::Outdated;
        endOthersAt(record);
        endpoints_.emplace(record.id, Known{record, now});
        return RegistryChange::Changed;
    }
    const EndpointRecord &known = found->second.record;
    const auto order = [](const EndpointRecord &one) { return std::tie(one.bornMs, one.sequence); };
    const bool isSilenceNews = order(record) == order(known) && record.silent && !known.silent;
    if (order(record) <= order(known) && !isSilenceNews)
        return RegistryChange::Outdated;
    return put(found->second, record, now);
}

RegistryChange EndpointRegistry::put(Known &known, const EndpointRecord &record, Instant now)
{
    const bool isNewLife = record.bornMs != known.record.bornMs;
    const bool isSame = sameContent(known.record, record);
    known.record = record;
    known.heardAt = now;
    if (isNewLife)
        endOthersAt(record);
    return isSame ? RegistryChange::Refreshed : RegistryChange::Changed;
}

RegistryChange EndpointRegistry::leave(const EndpointId &id, std::uint64_t bornMs, Instant now)
{
    const auto found = endpoints_.find(id);
    EndpointRecord record;
    if (found != endpoints_.end())
        record = found->second.record;
    const bool isEarlierLife = bornMs != 0 && bornMs < record.bornMs;
    if (isEarlierLife)
        return RegistryChange::Outdated;
    record.id = id;
    record.bornMs = bornMs != 0 ? bornMs : record.bornMs;
    record.sequence = kLastSequence;
    record.state = EndpointState::Gone;
    record.silent = false;
    return apply(record, now);
}

// Whether a later life than the record's holds its address.
bool EndpointRegistry::isAddressTaken(const EndpointRecord &record) const
{
    for (const auto &[id, known] : endpoints_) {
        const bool isRival = id != record.id && known.record.address == record.address
                             && known.record.state != EndpointState::Gone;
        if (isRival && known.record.bornMs > record.bornMs)
            return true;
    }
    return false;
}

void EndpointRegistry::endOthersAt(const EndpointRecord &record)
{
    if (record.state == EndpointState::Gone)
        return;
    for (auto &[id, known] : endpoints_) {
        if (id == record.id || known.record.address != record.address)
            continue;
        known.record.state = EndpointState::Gone;
        known.record.sequence = kLastSequence;
    }
}

std::vector<EndpointRecord> EndpointRegistry::expire(Instant now, Duration silence,
                                                     Duration retention)
{
    std::vector<EndpointRecord> silent;
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        Known &known = it->second;
        if (now - known.heardAt >= retention) {
            it = endpoints_.erase(it);
            continue;
        }
        const bool isNews = known.record.state != EndpointState::Gone && !known.record.silent
                            && now - known.heardAt >= silence;
        if (isNews) {
            known.record.silent = true;
            silent.push_back(known.record);
        }
        ++it;
    }
    return silent;
}

std::vector<EndpointRecord> EndpointRegistry::all() const
{
    std::vector<EndpointRecord> records;
    records.reserve(endpoints_.size());
    for (const auto &[id, known] : endpoints_)
        records.push_back(known.record);
    return records;
}

const EndpointRecord *EndpointRegistry::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second.record;
}

} // namespace fireflyroute::core
