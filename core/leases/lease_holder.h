// Holds the configuration lease of an entry: creates renewal requests, handles grants, and issues
// the permit that is checked immediately before each dispatch.
//
//   LeaseRequest request = holder.request(now);        // send it; repeat every renewal interval
//   holder.handleGrant(grant);                         // when a grant is received
//   publish(view, holder.permit());
//   holder.activateRevision(revision);                 // after its view was published
//   if (permit.check(view.revision, now) != DispatchCheck::Allowed) refuse();
//
// The order matters: activateRevision() must be called after the new view was published, because
// the next request then confirms that no work is dispatched under an older view. A dispatching
// thread reads the newest view and checks the permit immediately before it writes the request. The
// time between this check and the write remains unprotected: a thread that is suspended there sends
// late, and only an endpoint that checks the fencing number of the dispatch rejects it.

#ifndef FIREFLYROUTE_CORE_LEASES_LEASE_HOLDER_H
#define FIREFLYROUTE_CORE_LEASES_LEASE_HOLDER_H

#include "core/leases/lease_grant.h"

#include <array>
#include <deque>
#include <optional>

namespace fireflyroute::core {

// Result of checking whether an entry may dispatch.
enum class DispatchCheck { Allowed, LeaseExpired, RevisionTooOld };

template<>
struct EnumNames<DispatchCheck>
{
    static constexpr std::array table{
            EnumName{DispatchCheck::Allowed, "allowed"},
            EnumName{DispatchCheck::LeaseExpired, "lease_expired"},
            EnumName{DispatchCheck::RevisionTooOld, "revision_too_old"},
    };
};

// Result of handling a grant.
enum class GrantOutcome { Renewed, RevisionNeeded, Ignored };

template<>
struct EnumNames<GrantOutcome>
{
    static constexpr std::array table{
            EnumName{GrantOutcome::Renewed, "renewed"},
            EnumName{GrantOutcome::RevisionNeeded, "revision_needed"},
            EnumName{GrantOutcome::Ignored, "ignored"},
    };
};

// An immutable copy of the lease for the threads that dispatch.
struct DispatchPermit
{
    ConfigLease lease;
    Revision minRevision{0}; // oldest revision that may be used for a dispatch
    std::uint64_t term = 0; // term of the leader that granted the lease

    // `viewRevision` is the revision of the view that the dispatch is based on.
    [[nodiscard]] DispatchCheck check(Revision viewRevision, const ClockReading &now) const
    {
        if (viewRevision < minRevision)
            return DispatchCheck::RevisionTooOld;
        return lease.isValid(now) ? DispatchCheck::Allowed : DispatchCheck::LeaseExpired;
    }
};

class LeaseHolder
{
public:
    // Maximum number of requests without a reply that are tracked.
    static constexpr std::size_t kMaxPendingRequests = 8;

    // After this time without a reply, the control VM counts as unresponsive and the entry switches
    // to another one.
    static constexpr std::chrono::milliseconds kResponseTimeout{1200};

    LeaseHolder(GroupId group, VmIncarnation self)
        : group_(group)
        , self_(std::move(self))
    {}

    // Creates the next request. A lease granted for it starts at `now`.
    LeaseRequest request(const ClockReading &now);

    // Handles a grant. RevisionNeeded: the lease is renewed when activateRevision() is called with
    // the revision of the grant.
    GrantOutcome handleGrant(const LeaseGrant &grant);

    // Records that the entry now decides under `revision`. A revision older than the current one is
    // ignored.
    void activateRevision(Revision revision);

    [[nodiscard]] DispatchPermit permit() const { return {lease_, heldRevision_, term_}; }
    [[nodiscard]] Revision heldRevision() const { return heldRevision_; }
    [[nodiscard]] bool isValid(const ClockReading &now) const { return lease_.isValid(now); }

    // Returns whether the current control VM has not replied for kResponseTimeout.
    [[nodiscard]] bool isUnresponsive(Instant now) const;

    // Call when requests are sent to another control VM from now on.
    void controlVmChanged() { firstUnansweredAt_.reset(); }

private:
    struct PendingRequest
    {
        std::uint64_t number;
        ClockReading requestedAt;
    };

    struct DeferredGrant
    {
        LeaseGrant grant;
        ClockReading requestedAt;
    };

    void renew(const LeaseGrant &grant, const ClockReading &requestedAt);

    GroupId group_;
    VmIncarnation self_;
    std::uint64_t lastNumber_ = 0;
    std::deque<PendingRequest> pendingRequests_; // numbers increase
    std::optional<DeferredGrant> deferredGrant_; // grant for a revision newer than heldRevision_
    std::optional<Instant> firstUnansweredAt_; // time of the first request since the last reply
    ConfigLease lease_;
    Revision heldRevision_{0}; // never decreases
    std::uint64_t term_ = 0; // never decreases
};

} // namespace fireflyroute::core

#endif
