// When a configuration change is in force: the leader's record of which entry may still hold a
// lease under which revision. A revision is in force once no entry can dispatch under an older one.
//
//   InForceTracker tracker;
//   tracker.startTerm(now);                      // at each election
//   tracker.confirm(entry, heldRevision);        // the entry said what it holds
//   tracker.granted(entry, revision, now);       // a lease for `revision` or newer was granted
//   Revision inForce = tracker.poll(appliedRevision, now);
//
// An entry stands in the way of a revision from the grant of an older one until it has confirmed
// the revision or the lease has surely run out by the leader's clock. A new leader knows nothing
// about the leases of its predecessor and counts one whole lease from its own election.
//
// The leader's own clock may jump ahead and make leases look ended. Each call compares how far both
// clocks went; time that only the monotonic clock saw doesn't count, up to one lease.

#ifndef FIREFLYROUTE_CORE_IN_FORCE_H
#define FIREFLYROUTE_CORE_IN_FORCE_H

#include "core/config_lease.h"
#include "core/entry_registry.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// Why a revision is not in force yet: this entry may hold an older one until its lease ends.
struct PendingEntry
{
    VmIncarnation entry;
    Revision oldestRevision{0};
    Duration remainingLease{0};

    bool operator==(const PendingEntry &) const = default;
};

class InForceTracker
{
public:
    // Difference between the two clocks of one process that is not taken for a jump.
    static constexpr std::chrono::milliseconds kClockJumpTolerance{20};

    // Begins a term as leader: leases of the predecessor may run for one more lease.
    void startTerm(const ClockReading &now);

    // The entry dispatches under nothing older than `held` any more.
    void confirm(const VmIncarnation &entry, Revision held);

    // Call before the grant leaves.
    void recordGrant(const VmIncarnation &entry, Revision revision, const ClockReading &now);

    // The newest revision in force; it never goes back. `applied` is the leader's own revision.
    Revision poll(Revision applied, const ClockReading &now);

    // Entries that stand in the way of `revision`, as of the last call with a clock reading.
    [[nodiscard]] std::vector<PendingEntry> pending(Revision revision) const;

    // Time until the predecessor's leases have surely ended, as of the last clock reading.
    [[nodiscard]] Duration remainingPredecessorLease() const;

private:
    struct Grant
    {
        Revision revision; // the entry uses the lease only with this revision or a newer one
        Instant end; // on the leader's clock
    };

    // The leases that one entry may hold; never empty, revisions grow and ends don't shrink.
    using Grants = std::deque<Grant>;

    void updateClock(const ClockReading &now);
    void postponeLeaseEnds(Duration by, Instant latest);
    void removeEndedLeases();

    std::map<VmIncarnation, Grants>
            grantsByEntry_; // an earlier incarnation may still run: kept apart
    Instant predecessorLeaseEnd_;
    std::optional<ClockReading> lastReading_;
    Revision inForce_{0}; // only grows
};

} // namespace fireflyroute::core

#endif
