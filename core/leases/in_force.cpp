// Tracks outstanding leases per entry and computes the newest revision in force.

#include "core/leases/in_force.h"

#include <algorithm>

namespace fireflyroute::core {

void InForceTracker::startTerm(const ClockReading &now)
{
    grantsByEntry_.clear();
    lastReading_ = now;
    predecessorLeaseEnd_ = now.monotonic + kConfigLeaseDuration;
}

void InForceTracker::confirm(const VmIncarnation &entry, Revision held)
{
    const auto found = grantsByEntry_.find(entry);
    if (found == grantsByEntry_.end())
        return;
    Grants &grants = found->second;
    for (Grant &grant : grants)
        grant.revision = std::max(grant.revision, held);
    while (grants.size() > 1 && grants[0].revision == grants[1].revision)
        grants.pop_front();
}

void InForceTracker::recordGrant(const VmIncarnation &entry, Revision revision,
                                 const ClockReading &now)
{
    updateClock(now);
    Grants &grants = grantsByEntry_[entry];
    const Instant end = now.monotonic + kConfigLeaseDuration;
    if (!grants.empty() && grants.back().revision >= revision)
        grants.back().end = std::max(grants.back().end, end);
    else
        grants.push_back(Grant{revision, end});
}

Revision InForceTracker::poll(Revision applied, const ClockReading &now)
{
    updateClock(now);
    if (inForce_ >= applied || now.monotonic < predecessorLeaseEnd_)
        return inForce_;
    removeEndedLeases();
    Revision lowestRevision = applied;
    for (const auto &[entry, grants] : grantsByEntry_)
        lowestRevision = std::min(lowestRevision, grants.front().revision);
    inForce_ = std::max(inForce_, lowestRevision);
    return inForce_;
}

std::vector<PendingEntry> InForceTracker::pending(Revision revision) const
{
    std::vector<PendingEntry> entries;
    for (const auto &[entry, grants] : grantsByEntry_) {
        const Grant &oldest = grants.front();
        if (oldest.revision < revision)
            entries.push_back({entry, oldest.revision, oldest.end - lastReading_->monotonic});
    }
    return entries;
}

Duration InForceTracker::remainingPredecessorLease() const
{
    if (!lastReading_)
        return Duration::zero();
    return std::max(Duration::zero(), Duration(predecessorLeaseEnd_ - lastReading_->monotonic));
}

void InForceTracker::updateClock(const ClockReading &now)
{
    if (lastReading_) {
        const Duration monotonic = now.monotonic - lastReading_->monotonic;
        const Duration excess = monotonic - (now.wall - lastReading_->wall);
        if (excess > kClockJumpTolerance)
            postponeLeaseEnds(excess, now.monotonic + kConfigLeaseDuration);
    }
    lastReading_ = now;
}

// A lease that was granted earlier cannot end later than one full lease from now.
void InForceTracker::postponeLeaseEnds(Duration delay, Instant latest)
{
    predecessorLeaseEnd_ = std::min(predecessorLeaseEnd_ + delay, latest);
    for (auto &[entry, grants] : grantsByEntry_) {
        for (Grant &grant : grants)
            grant.end = std::min(grant.end + delay, latest);
    }
}

void InForceTracker::removeEndedLeases()
{
    for (auto it = grantsByEntry_.begin(); it != grantsByEntry_.end();) {
        Grants &grants = it->second;
        while (!grants.empty() && grants.front().end <= lastReading_->monotonic)
            grants.pop_front();
        it = grants.empty() ? grantsByEntry_.erase(it) : std::next(it);
    }
}

} // namespace fireflyroute::core
