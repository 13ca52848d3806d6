// Occasions on which an entry is sent the state.

#include "core/state_feed.h"

namespace fireflyroute::core {

namespace {

// A state that an entry does not hold so long after it was sent was lost with a connection.
constexpr std::chrono::milliseconds kDeliveryTimeout{600};

// The control VMs of the entry's region learn of a commit with the leader's next heartbeat and send
// it then; the leader itself steps in later.
constexpr std::chrono::milliseconds kLeaderSendDelay{500};

} // namespace

void StateFeed::recordHeldState(std::uint64_t revision, std::uint64_t documentVersion)
{
    hasReportedState_ = true;
    heldRevision_ = revision;
    heldDocumentVersion_ = documentVersion;
}

std::optional<StateUpdate> StateFeed::onChange(const SiteData &state, Instant now)
{
    const bool isRateLimited = sentAt_ && now - *sentAt_ < kMinSendInterval;
    if (!isDue(state) || isRateLimited)
        return std::nullopt;
    return send(state, now);
}

std::optional<StateUpdate> StateFeed::onProbe(const SiteData &state, bool isLeader,
                                              Instant changedAt, Instant now)
{
    if (heldRevision_ >= state.revision)
        return std::nullopt;
    const bool isInFlight =
            sentRevision_ >= state.revision && sentAt_ && now - *sentAt_ < kDeliveryTimeout;
    const bool isResponsible = inSameRegion_ || (isLeader && now - changedAt >= kLeaderSendDelay);
    if (isInFlight || !isResponsible)
        return std::nullopt;
    return send(state, now);
}

StateUpdate StateFeed::send(const SiteData &state, Instant now)
{
    sentRevision_ = state.revision;
    sentAt_ = now;
    StateUpdate update{state, false};
    if (heldDocumentVersion_ == state.document.version) {
        update.documentOmitted = true;
        update.data.document.bytes.clear();
    }
    return update;
}

} // namespace fireflyroute::core
