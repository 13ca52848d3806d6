// Heartbeats of VMs, and detection of failed VMs.

#include "core/leases/entry_registry.h"

#include <algorithm>

namespace fireflyroute::core {

namespace {

bool isOutdated(const EntryHeartbeat &heartbeat, const EntryHeartbeat &last)
{
    if (heartbeat.id.incarnation != last.id.incarnation)
        return heartbeat.id.incarnation < last.id.incarnation;
    return heartbeat.sequence <= last.sequence;
}

} // namespace

EntryChange EntryRegistry::heartbeat(const EntryHeartbeat &heartbeat, Instant now)
{
    const auto found = registrations_.find(heartbeat.id.vm);
    if (found == registrations_.end()) {
        registrations_.emplace(heartbeat.id.vm, Registration{heartbeat, now, now});
        return heartbeat.leaving ? EntryChange::Leaving : EntryChange::Joined;
    }
    Registration &registration = found->second;
    if (isOutdated(heartbeat, registration.lastHeartbeat))
        return EntryChange::None;
    const bool restarted = heartbeat.id.incarnation != registration.lastHeartbeat.id.incarnation;
    const bool wasLeaving = registration.lastHeartbeat.leaving && !restarted;
    registration = Registration{heartbeat, now, restarted ? now : registration.firstSeenAt};
    registration.lastHeartbeat.leaving = heartbeat.leaving || wasLeaving;
    if (restarted)
        return EntryChange::Restarted;
    return registration.lastHeartbeat.leaving && !wasLeaving ? EntryChange::Leaving
                                                             : EntryChange::Refreshed;
}

void EntryRegistry::recordActivity(const VmIncarnation &id, Instant now)
{
    const auto found = registrations_.find(id.vm);
    if (found != registrations_.end() && found->second.lastHeartbeat.id == id)
        found->second.lastSeenAt = std::max(found->second.lastSeenAt, now);
}

std::vector<VmIncarnation> EntryRegistry::expire(Instant now)
{
    std::vector<VmIncarnation> lost;
    for (auto it = registrations_.begin(); it != registrations_.end();) {
        const Registration &registration = it->second;
        if (now - registration.lastSeenAt < kFailureTimeout) {
            ++it;
            continue;
        }
        if (!registration.lastHeartbeat.leaving)
            lost.push_back(registration.lastHeartbeat.id);
        it = registrations_.erase(it);
    }
    return lost;
}

std::optional<EntryStatus> EntryRegistry::find(const VmId &vm, Instant now) const
{
    const auto found = registrations_.find(vm);
    if (found == registrations_.end())
        return std::nullopt;
    return statusOf(found->second, now);
}

std::vector<EntryStatus> EntryRegistry::all(Instant now) const
{
    std::vector<EntryStatus> statuses;
    for (const auto &[vm, registration] : registrations_)
        statuses.push_back(statusOf(registration, now));
    return statuses;
}

bool EntryRegistry::isLost(const VmIncarnation &id, Instant now) const
{
    const auto found = registrations_.find(id.vm);
    const bool isRegistered = found != registrations_.end()
                              && found->second.lastHeartbeat.id.incarnation >= id.incarnation;
    if (!isRegistered)
        return now - electedAt_ >= kFailureTimeout;
    if (found->second.lastHeartbeat.id.incarnation > id.incarnation)
        return now - found->second.firstSeenAt >= kFailureTimeout;
    return now - found->second.lastSeenAt >= kFailureTimeout;
}

EntryStatus EntryRegistry::statusOf(const Registration &registration, Instant now)
{
    const Duration age = now - registration.lastSeenAt;
    VmLiveness liveness = VmLiveness::Alive;
    if (registration.lastHeartbeat.leaving)
        liveness = VmLiveness::Leaving;
    else if (age >= kFailureTimeout)
        liveness = VmLiveness::Failed;
    return EntryStatus{registration.lastHeartbeat, liveness, age};
}

} // namespace fireflyroute::core
