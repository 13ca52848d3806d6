// The entry's side of configuration leases: asks for renewal, takes in grants, and issues the
// permit that is checked right before a dispatch.
//
//   LeaseRequest request = holder.request(now);        // send it; again each renewal interval
//   holder.take(grant);                                // when an answer arrives
//   publish(view, holder.permit());
//   holder.hold(revision);                             // after the view of it was published
//   if (permit.check(view.revision, now) != DispatchCheck::Allowed) refuse();
//
// The order matters: hold() comes after the new view was published, because the next request then
// confirms that nothing is dispatched under an older one. Whoever dispatches reads the newest view
// and checks the permit right before the bytes leave. What remains open is the time between that
// check and the write: a thread stopped exactly there sends late, and only an endpoint that checks
// the fencing number of the dispatch refuses it.

#ifndef FIREFLYROUTE_CORE_LEASE_HOLDER_H
#define FIREFLYROUTE_CORE_LEASE_HOLDER_H

#include "core/lease_grant.h"

#include <array>
#include <deque>
#include <optional>

namespace fireflyroute::core {

// Whether an entry may dispatch.
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

// What became of a grant.
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
    Revision minRevision{0}; // oldest revision that may still be dispatched under
    std::uint64_t term = 0; // of the leader that granted the lease

    // `used` is the revision of the view that the dispatch was decided with.
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
    // Requests whose answers are still waited for.
    static constexpr std::size_t kMaxPendingRequests = 8;

    // Without an answer for this long, the control VM that is asked counts as cut off and the entry
    // turns to another one.
    static constexpr std::chrono::milliseconds kResponseTimeout{1200};

    LeaseHolder(GroupId group, VmIncarnation self)
        : group_(group)
        , self_(std::move(self))
    {}

    // The next request; the lease that it may yield counts from `now`.
    LeaseRequest request(const ClockReading &now);

    // RevisionNeeded: the lease is renewed once hold() is called with the grant's revision.
    GrantOutcome handleGrant(const LeaseGrant &grant);

    // The entry now decides under `revision`; an older one than the present is ignored.
    void activateRevision(Revision revision);

    [[nodiscard]] DispatchPermit permit() const { return {lease_, held_, term_}; }
    [[nodiscard]] Revision held() const { return held_; }
    [[nodiscard]] bool isValid(const ClockReading &now) const { return lease_.isValid(now); }

    // Whether the control VM that is asked now has not answered for kResponseTimeout.
    [[nodiscard]] bool isUnresponsive(Instant now) const;

    // Another control VM is asked from now on.
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
    std::deque<PendingRequest> pendingRequests_; // numbers grow
    std::optional<DeferredGrant> deferredGrant_; // a grant for a newer revision than held_
    std::optional<Instant> firstUnansweredAt_; // first request since the last answer
    ConfigLease lease_;
    Revision held_{0}; // only grows
    std::uint64_t term_ = 0; // only grows
};

} // namespace fireflyroute::core

#endif
