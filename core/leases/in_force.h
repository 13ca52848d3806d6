// Determines when a configuration change is in force. The leader records which entry may still hold
// a lease under which revision. A revision is in force once no entry can dispatch under an older
// one.
//
//   InForceTracker tracker;
//   tracker.startTerm(now);                      // at each election
//   tracker.confirm(entry, heldRevision);        // the entry reported its revision
//   tracker.recordGrant(entry, revision, now);   // a lease for `revision` or newer was granted
//   Revision inForce = tracker.poll(appliedRevision, now);
//
// After a grant for an older revision, an entry delays a newer revision until it has confirmed that
// revision or its lease has expired by the clock of the leader. A new leader has no record of
// the leases of its predecessor and therefore waits for one full lease after its election.
//
// The clock of the leader may jump ahead and make leases seem expired. Each call therefore compares
// how far the monotonic and wall clocks have advanced. Time that passed only on the monotonic clock
// is not counted, up to one lease.

#ifndef FIREFLYROUTE_CORE_LEASES_IN_FORCE_H
#define FIREFLYROUTE_CORE_LEASES_IN_FORCE_H

#include "core/leases/config_lease.h"
#include "core/leases/entry_registry.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// An entry that delays a revision: it may use an older one until its lease ends.
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
    // Largest difference between the two clocks that is not treated as a jump.
    static constexpr std::chrono::milliseconds kClockJumpTolerance{20};

    // Starts a term as leader. Leases granted by the predecessor may last for one more lease
    // duration.
    void startTerm(const ClockReading &now);

    // Records that the entry no longer dispatches under a revision older than `held`.
    void confirm(const VmIncarnation &entry, Revision held);

    // Records a grant. Call before the grant is sent.
    void recordGrant(const VmIncarnation &entry, Revision revision, const ClockReading &now);

    // Returns the newest revision in force; it never decreases. `applied` is the revision that the
    // leader has applied.
    Revision poll(Revision applied, const ClockReading &now);

    // Returns the entries that delay `revision`, as of the last call with a clock reading.
    [[nodiscard]] std::vector<PendingEntry> pending(Revision revision) const;

    // Time until all leases granted by the predecessor have ended, as of the last clock reading.
    [[nodiscard]] Duration remainingPredecessorLease() const;

private:
    struct Grant
    {
        Revision revision; // the entry uses the lease only with this revision or a newer one
        Instant end; // by the leader's clock
    };

    // The leases that one entry may hold. Never empty; revisions increase and ends do not decrease.
    using Grants = std::deque<Grant>;

    void updateClock(const ClockReading &now);
    void postponeLeaseEnds(Duration delay, Instant latest);
    void removeEndedLeases();

    // Incarnations are tracked separately, because an earlier one may still run.
    std::map<VmIncarnation, Grants> grantsByEntry_;
    Instant predecessorLeaseEnd_;
    std::optional<ClockReading> lastReading_;
    Revision inForce_{0}; // never decreases
};

} // namespace fireflyroute::core

#endif
