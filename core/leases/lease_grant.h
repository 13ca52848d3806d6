// Messages of configuration leases between the leader and the entries, and the granting of leases
// by the leader. Entries use core/leases/lease_holder.h.
//
//   LeaseGranter granter(GroupId(0));
//   granter.startTerm(authority, now);                            // at each election
//   Result<LeaseGrant> grant = granter.grant(request, authority, appliedRevision, now);
//   Revision inForce = granter.inForce().poll(appliedRevision, now);
//
// The leader grants leases only while its own leader lease, passed in by the caller, is valid. A
// request also contains the revision that the entry holds, so one message both renews the lease and
// confirms the revision.

#ifndef FIREFLYROUTE_CORE_LEASES_LEASE_GRANT_H
#define FIREFLYROUTE_CORE_LEASES_LEASE_GRANT_H

#include "core/common/errors.h"
#include "core/leases/in_force.h"

namespace fireflyroute::core {

// Sent by an entry every kConfigLeaseRenewInterval, and immediately after it has applied a
// revision.
struct LeaseRequest
{
    GroupId group{0};
    VmIncarnation entry;
    std::uint64_t number = 0; // increases within the incarnation of the entry
    Revision heldRevision{0}; // the entry dispatches under this revision or a newer one

    bool operator==(const LeaseRequest &) const = default;
};

// Allows the entry to dispatch until `duration` after it sent request `number`, as soon as it holds
// `revision` or a newer one.
struct LeaseGrant
{
    GroupId group{0};
    VmIncarnation entry;
    std::uint64_t number = 0; // number of the request
    std::uint64_t term = 0; // term of the leader
    Revision revision{0};
    std::chrono::milliseconds duration{0};

    bool operator==(const LeaseGrant &) const = default;
};

// State of the leadership of this VM at the time of a call, according to the replicated log.
struct LeaderAuthority
{
    std::uint64_t term = 0;
    Instant validUntil; // end of the leader lease; no other leader is elected before it
    bool caughtUp = false; // has applied all entries committed in earlier terms

    bool operator==(const LeaderAuthority &) const = default;
};

class LeaseGranter
{
public:
    explicit LeaseGranter(GroupId group)
        : group_(group)
    {}

    // Call once after each election. `now` must not be before the end of the predecessor's leader
    // lease.
    void startTerm(const LeaderAuthority &authority, const ClockReading &now);

    // Grants a lease for the applied revision. NotLeader: not the leader, or not caught up.
    // LeaseExpired: the leader lease has expired. InvalidArgument: the request is for another
    // group.
    Result<LeaseGrant> grant(const LeaseRequest &request, const LeaderAuthority &authority,
                             Revision applied, const ClockReading &now);

    [[nodiscard]] InForceTracker &inForce() { return inForce_; }
    [[nodiscard]] const InForceTracker &inForce() const { return inForce_; }

private:
    GroupId group_;
    std::uint64_t term_ = 0; // term of the last startTerm() call
    InForceTracker inForce_;
};

} // namespace fireflyroute::core

#endif
