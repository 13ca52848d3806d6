// Grants configuration leases on the leader.

#include "core/leases/lease_grant.h"

#include <fmt/format.h>

namespace fireflyroute::core {

void LeaseGranter::startTerm(const LeaderAuthority &authority, const ClockReading &now)
{
    term_ = authority.term;
    inForce_.startTerm(now);
}

Result<LeaseGrant> LeaseGranter::grant(const LeaseRequest &request,
                                       const LeaderAuthority &authority, Revision applied,
                                       const ClockReading &now)
{
    if (request.group != group_)
        return CoreFailure{CoreError::InvalidArgument,
                           fmt::format("group: {} is not led by this VM", toNumber(request.group))};
    if (authority.term != term_ || !authority.caughtUp)
        return CoreFailure{CoreError::NotLeader, "not the leader, or not caught up with the log"};
    if (now.monotonic >= authority.validUntil)
        return CoreFailure{CoreError::LeaseExpired, "the leader lease has expired"};
    inForce_.recordGrant(request.entry, applied, now);
    inForce_.confirm(request.entry, request.heldRevision);
    return LeaseGrant{group_, request.entry, request.number, term_, applied, kConfigLeaseDuration};
}

} // namespace fireflyroute::core
