// Suspect records, quarantine decisions and their exchange between entries.

#include "core/quarantine/quarantine.h"

#include <algorithm>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <fmt/format.h>
#include <tuple>

namespace fireflyroute::core {

RequestFingerprint fingerprintOf(std::string_view path, std::string_view body)
{
    // The length prefix distinguishes different splits of the same bytes into path and body.
    return boost::uuids::name_generator_sha1(boost::uuids::ns::oid())(
            fmt::format("{}\n{}\n{}", path.size(), path, body));
}

std::size_t Quarantine::unclearedCrashes(const Record &record)
{
    return static_cast<std::size_t>(std::count_if(
            record.crashes.begin(), record.crashes.end(),
            [&](const EndpointInstance &instance) { return !record.cleared.count(instance); }));
}

const Quarantine::Record *Quarantine::find(const RequestFingerprint &fingerprint, Instant now) const
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end() || found->second.expiresAt <= now)
        return nullptr;
    return &found->second;
}

Result<DispatchRule> Quarantine::admit(const RequestFingerprint &fingerprint, Instant now) const
{
    const Record *record = find(fingerprint, now);
    if (!record)
        return DispatchRule::Unrestricted;
    if (record->quarantined) {
        return CoreFailure{CoreError::Quarantined,
                           fmt::format("request {} was in flight on {} endpoints that crashed",
                                       boost::uuids::to_string(fingerprint),
                                       record->crashes.size())};
    }
    if (unclearedCrashes(*record) == 0)
        return DispatchRule::Unrestricted;
    return runCounts_.count(fingerprint) ? DispatchRule::Wait : DispatchRule::Exclusive;
}

void Quarantine::recordStart(const RequestFingerprint &fingerprint,
                             const EndpointInstance &endpoint)
{
    running_[endpoint].insert(fingerprint);
    ++runCounts_[fingerprint];
}

bool Quarantine::removeRun(const RequestFingerprint &fingerprint, const EndpointInstance &endpoint)
{
    const auto runs = running_.find(endpoint);
    if (runs == running_.end())
        return false;
    const auto run = runs->second.find(fingerprint);
    if (run == runs->second.end())
        return false;
    runs->second.erase(run);
    if (runs->second.empty()) {
        running_.erase(runs);
        shuttingDown_.erase(endpoint);
    }
    const auto runCount = runCounts_.find(fingerprint);
    if (--runCount->second == 0)
        runCounts_.erase(runCount);
    return true;
}

void Quarantine::removeAllRuns(const EndpointInstance &endpoint)
{
    const auto runs = running_.find(endpoint);
    if (runs == running_.end())
        return;
    const std::multiset<RequestFingerprint> removedRuns = runs->second;
    for (const RequestFingerprint &fingerprint : removedRuns)
        removeRun(fingerprint, endpoint);
}

void Quarantine::recordFinish(const RequestFingerprint &fingerprint,
                              const EndpointInstance &endpoint, RunOutcome runOutcome, Instant now)
{
    if (!removeRun(fingerprint, endpoint) || runOutcome != RunOutcome::Succeeded)
        return;
    const Record *record = find(fingerprint, now);
    if (!record || record->quarantined || unclearedCrashes(*record) == 0)
        return;
    Record &suspect = records_.at(fingerprint);
    suspect.cleared.insert(suspect.crashes.begin(), suspect.crashes.end());
    while (suspect.cleared.size() > policy_.maxInstances)
        suspect.cleared.erase(suspect.cleared.begin());
    markChanged(fingerprint, suspect);
}

std::vector<RequestFingerprint> Quarantine::endpointCrashed(const EndpointInstance &endpoint,
                                                            Instant now)
{
    std::set<RequestFingerprint> affected;
    if (const auto runs = running_.find(endpoint);
        runs != running_.end() && !shuttingDown_.count(endpoint))
        affected.insert(runs->second.begin(), runs->second.end());
    removeAllRuns(endpoint);
    std::vector<RequestFingerprint> quarantined;
    for (const RequestFingerprint &fingerprint : affected) {
        const SuspectRow row{
                .fingerprint = fingerprint, .crashes = {endpoint}, .expiresIn = policy_.lifetime};
        if (merge(row, now))
            quarantined.push_back(fingerprint);
    }
    return quarantined;
}

void Quarantine::endpointShutDown(const EndpointInstance &endpoint)
{
    if (running_.count(endpoint))
        shuttingDown_.insert(endpoint);
}

bool Quarantine::isReservedForSuspect(const EndpointInstance &endpoint, Instant now) const
{
    const auto runs = running_.find(endpoint);
    if (runs == running_.end())
        return false;
    return std::any_of(runs->second.begin(), runs->second.end(), [&](const auto &fingerprint) {
        const Record *record = find(fingerprint, now);
        return record && (record->quarantined || unclearedCrashes(*record) > 0);
    });
}

std::size_t Quarantine::inFlight(const EndpointInstance &endpoint) const
{
    const auto runs = running_.find(endpoint);
    return runs == running_.end() ? 0 : runs->second.size();
}

void Quarantine::addInstance(Record &record, std::set<EndpointInstance> &instances,
                             const EndpointInstance &instance) const
{
    if (!instances.insert(instance).second || instances.size() <= policy_.maxInstances)
        return;
    // An instance in both sets has no effect any more, so it is removed first.
    const auto redundant =
            std::find_if(instances.begin(), instances.end(), [&](const EndpointInstance &other) {
                return other != instance && record.crashes.count(other)
                       && record.cleared.count(other);
            });
    auto removed =
            instances.extract(redundant == instances.end() ? instances.find(instance) : redundant);
    record.crashes.erase(removed.value());
    record.cleared.erase(removed.value());
}

// Returns whether this row puts the fingerprint into quarantine.
bool Quarantine::merge(const SuspectRow &row, Instant now)
{
    const Duration expiresIn = std::min(row.expiresIn, policy_.lifetime);
    if (expiresIn <= Duration::zero())
        return false;
    if (!find(row.fingerprint, now))
        erase(row.fingerprint);
    if (!records_.count(row.fingerprint))
        evictIfFull();
    Record &record = records_[row.fingerprint];
    const Record before = record;
    for (const EndpointInstance &instance : row.crashes)
        addInstance(record, record.crashes, instance);
    for (const EndpointInstance &instance : row.cleared)
        addInstance(record, record.cleared, instance);
    record.quarantined = record.quarantined || row.quarantined
                         || unclearedCrashes(record) >= policy_.crashesToQuarantine;
    record.expiresAt = std::max(record.expiresAt, now + expiresIn);
    // A later expiry alone is not marked as a change; otherwise entries would forward it to each
    // other indefinitely.
    const bool changed = record.crashes != before.crashes || record.cleared != before.cleared
                         || record.quarantined != before.quarantined;
    if (changed)
        markChanged(row.fingerprint, record);
    return record.quarantined && !before.quarantined;
}

void Quarantine::markChanged(const RequestFingerprint &fingerprint, Record &record)
{
    changed_.erase(record.sequence);
    record.sequence = ++sequence_;
    changed_.emplace(record.sequence, fingerprint);
}

void Quarantine::erase(const RequestFingerprint &fingerprint)
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end())
        return;
    changed_.erase(found->second.sequence);
    records_.erase(found);
}

void Quarantine::evictIfFull()
{
    if (records_.size() < policy_.maxRecords)
        return;
    const auto retentionPriority = [](const auto &item) {
        const Record &record = item.second;
        return std::tuple(record.quarantined, unclearedCrashes(record) > 0, record.expiresAt);
    };
    const auto lowest = std::min_element(
            records_.begin(), records_.end(), [&](const auto &left, const auto &right) {
                return retentionPriority(left) < retentionPriority(right);
            });
    if (lowest != records_.end())
        erase(RequestFingerprint(lowest->first));
}

void Quarantine::expire(Instant now)
{
    for (auto it = records_.begin(); it != records_.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        changed_.erase(it->second.sequence);
        it = records_.erase(it);
    }
}

QuarantineDelta Quarantine::deltaSince(std::uint64_t acknowledged, Instant now) const
{
    QuarantineDelta delta{.origin = origin_, .incarnation = incarnation_, .sequence = sequence_};
    for (auto it = changed_.upper_bound(acknowledged); it != changed_.end(); ++it) {
        const Record *record = find(it->second, now);
        if (!record)
            continue;
        SuspectRow row{.fingerprint = it->second};
        row.crashes.assign(record->crashes.begin(), record->crashes.end());
        row.cleared.assign(record->cleared.begin(), record->cleared.end());
        row.quarantined = record->quarantined;
        row.expiresIn = record->expiresAt - now;
        delta.rows.push_back(std::move(row));
    }
    return delta;
}

std::vector<RequestFingerprint> Quarantine::apply(const QuarantineDelta &delta, Instant now)
{
    std::vector<RequestFingerprint> quarantined;
    for (const SuspectRow &row : delta.rows) {
        if (merge(row, now))
            quarantined.push_back(row.fingerprint);
    }
    return quarantined;
}

} // namespace fireflyroute::core
