// Decides when an entry is sent the state.

#include "core/state_feed.h"

namespace fireflyroute::core {

namespace {

// If an entry does not hold a state this long after it was sent, the state was lost with a
// connection.
constexpr std::chrono::milliseconds kDeliveryTimeout{600};

// Control VMs in the region of the entry receive a commit with the next heartbeat of the leader and
// then send it. The leader itself sends only after this delay.
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
