// Holds the configuration lease of an entry.

#include "core/leases/lease_holder.h"

#include <algorithm>

namespace fireflyroute::core {

LeaseRequest LeaseHolder::request(const ClockReading &now)
{
    ++lastNumber_;
    pendingRequests_.push_back(PendingRequest{lastNumber_, now});
    if (pendingRequests_.size() > kMaxPendingRequests)
        pendingRequests_.pop_front();
    if (!firstUnansweredAt_)
        firstUnansweredAt_ = now.monotonic;
    return LeaseRequest{group_, self_, lastNumber_, heldRevision_};
}

GrantOutcome LeaseHolder::handleGrant(const LeaseGrant &grant)
{
    const auto matching = std::find_if(
            pendingRequests_.begin(), pendingRequests_.end(),
            [&](const PendingRequest &candidate) { return candidate.number == grant.number; });
    const bool isAddressedToSelf = grant.group == group_ && grant.entry == self_;
    if (!isAddressedToSelf || matching == pendingRequests_.end())
        return GrantOutcome::Ignored;
    const ClockReading requestedAt = matching->requestedAt;
    pendingRequests_.erase(pendingRequests_.begin(), matching + 1);
    firstUnansweredAt_.reset();
    if (grant.revision > heldRevision_) {
        deferredGrant_ = DeferredGrant{grant, requestedAt};
        return GrantOutcome::RevisionNeeded;
    }
    renew(grant, requestedAt);
    return GrantOutcome::Renewed;
}

void LeaseHolder::activateRevision(Revision revision)
{
    heldRevision_ = std::max(heldRevision_, revision);
    if (!deferredGrant_ || deferredGrant_->grant.revision > heldRevision_)
        return;
    renew(deferredGrant_->grant, deferredGrant_->requestedAt);
    deferredGrant_.reset();
}

bool LeaseHolder::isUnresponsive(Instant now) const
{
    return firstUnansweredAt_ && now - *firstUnansweredAt_ >= kResponseTimeout;
}

void LeaseHolder::renew(const LeaseGrant &grant, const ClockReading &requestedAt)
{
    lease_.renew(requestedAt, grant.duration);
    term_ = std::max(term_, grant.term);
}

} // namespace fireflyroute::core
