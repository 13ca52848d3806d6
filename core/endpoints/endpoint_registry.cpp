// Merges endpoint records into the registry.

#include "core/endpoints/endpoint_registry.h"

#include <tuple>

namespace fireflyroute::core {

namespace {

bool hasSameContent(EndpointRecord left, const EndpointRecord &right)
{
    left.sequence = right.sequence;
    left.warmupMs = right.warmupMs;
    return left == right;
}

// Whether the record reports a later end of the warm-up than the one before, which other processes
// count down from.
bool extendsWarmup(std::uint32_t previousMs, Duration sincePrevious, std::uint32_t reportedMs)
{
    // Covers different delays of two reports.
    constexpr std::chrono::milliseconds kTolerance{100};
    const Duration expected = std::chrono::milliseconds(previousMs) - sincePrevious;
    const Duration reported = std::chrono::milliseconds(reportedMs);
    return reportedMs > 0 && reported > expected + kTolerance;
}

} // namespace

RegistryChange EndpointRegistry::apply(const EndpointRecord &record, Instant now)
{
    const auto found = endpoints_.find(record.id);
    if (found == endpoints_.end()) {
        if (record.state != EndpointRecordState::Removed && isAddressTaken(record))
            return RegistryChange::Outdated;
        removeOthersAtAddress(record, now);
        endpoints_.emplace(record.id, Registration{record, now, now});
        return RegistryChange::Changed;
    }
    const EndpointRecord &current = found->second.record;
    if (record.startedAtMs == current.startedAtMs)
        found->second.receivedAt = now;
    const auto order = [](const EndpointRecord &candidate) {
        return std::tie(candidate.startedAtMs, candidate.sequence);
    };
    const bool isNewlyUnresponsive =
            order(record) == order(current) && record.unresponsive && !current.unresponsive;
    if (order(record) <= order(current) && !isNewlyUnresponsive)
        return RegistryChange::Outdated;
    return update(found->second, record, now);
}

RegistryChange EndpointRegistry::update(Registration &registration, const EndpointRecord &record,
                                        Instant now)
{
    const bool isNewIncarnation = record.startedAtMs != registration.record.startedAtMs;
    const bool isSame = hasSameContent(registration.record, record)
                        && !extendsWarmup(registration.record.warmupMs,
                                          now - registration.lastSeenAt, record.warmupMs);
    registration.record = record;
    registration.lastSeenAt = now;
    registration.receivedAt = now;
    if (isNewIncarnation)
        removeOthersAtAddress(record, now);
    return isSame ? RegistryChange::Refreshed : RegistryChange::Changed;
}

RegistryChange EndpointRegistry::deregister(const EndpointId &id, std::uint64_t startedAtMs,
                                            Instant now)
{
    const auto found = endpoints_.find(id);
    EndpointRecord record;
    if (found != endpoints_.end())
        record = found->second.record;
    const bool isEarlierIncarnation = startedAtMs != 0 && startedAtMs < record.startedAtMs;
    if (isEarlierIncarnation)
        return RegistryChange::Outdated;
    record.id = id;
    record.startedAtMs = startedAtMs != 0 ? startedAtMs : record.startedAtMs;
    record.sequence = kFinalSequence;
    record.state = EndpointRecordState::Removed;
    record.unresponsive = false;
    return apply(record, now);
}

// Whether the address of the record belongs to an endpoint that started later.
bool EndpointRegistry::isAddressTaken(const EndpointRecord &record) const
{
    for (const auto &[id, registration] : endpoints_) {
        const bool sharesAddress = id != record.id && registration.record.address == record.address
                                   && registration.record.state != EndpointRecordState::Removed;
        if (sharesAddress && registration.record.startedAtMs > record.startedAtMs)
            return true;
    }
    return false;
}

void EndpointRegistry::removeOthersAtAddress(const EndpointRecord &record, Instant now)
{
    if (record.state == EndpointRecordState::Removed)
        return;
    for (auto &[id, registration] : endpoints_) {
        if (id == record.id || registration.record.address != record.address)
            continue;
        registration.record.state = EndpointRecordState::Removed;
        registration.record.sequence = kFinalSequence;
        registration.lastSeenAt = now;
    }
}

std::vector<EndpointRecord> EndpointRegistry::expire(Instant now, Duration heartbeatTimeout,
                                                     Duration retention)
{
    std::vector<EndpointRecord> unresponsive;
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        Registration &registration = it->second;
        if (now - registration.lastSeenAt >= retention) {
            it = endpoints_.erase(it);
            continue;
        }
        const bool isNewlyUnresponsive = registration.record.state != EndpointRecordState::Removed
                                         && !registration.record.unresponsive
                                         && now - registration.lastSeenAt >= heartbeatTimeout;
        if (isNewlyUnresponsive) {
            registration.record.unresponsive = true;
            unresponsive.push_back(registration.record);
        }
        ++it;
    }
    return unresponsive;
}

std::vector<EndpointRecord> EndpointRegistry::dropObsolete(Instant now, Instant senderConnectedAt,
                                                           const RecordRetention &retention)
{
    std::vector<EndpointRecord> dropped;
    const auto isObsolete = [&](const Registration &registration) {
        const Duration age = now - registration.lastSeenAt;
        if (registration.record.state == EndpointRecordState::Removed)
            return age >= retention.removed;
        if (registration.record.unresponsive)
            return age >= retention.unresponsive;
        return registration.receivedAt < senderConnectedAt
               && now - senderConnectedAt >= retention.removed;
    };
    std::erase_if(endpoints_, [&](const auto &item) {
        const Registration &registration = item.second;
        if (!isObsolete(registration))
            return false;
        if (registration.record.state != EndpointRecordState::Removed)
            dropped.push_back(registration.record);
        return true;
    });
    return dropped;
}

std::vector<EndpointRecord> EndpointRegistry::all() const
{
    std::vector<EndpointRecord> records;
    records.reserve(endpoints_.size());
    for (const auto &[id, registration] : endpoints_)
        records.push_back(registration.record);
    return records;
}

const EndpointRecord *EndpointRegistry::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second.record;
}

} // namespace fireflyroute::core
