// Occasions on which an entry is sent the state.

#include "core/state_feed.h"

namespace fireflyroute::core {

namespace {

// A state that an entry does not hold so long after it was sent was lost with a connection.
constexpr std::chrono::milliseconds kLostAfter{600};

// The control VMs of the entry's region learn of a commit with the leader's next heartbeat and send
// it then; the leader itself steps in later.
constexpr std::chrono::milliseconds kLeaderWait{500};

} // namespace

void StateFeed::holds(std::uint64_t revision, std::uint64_t documentVersion)
{
    asked_ = true;
    heldRevision_ = revision;
    heldDocument_ = documentVersion;
}

std::optional<StateUpdate> StateFeed::onChange(const SiteData &state, Instant now)
{
    const bool isPausing = sentAt_ && now - *sentAt_ < kPause;
    if (!isDue(state) || isPausing)
        return std::nullopt;
    return send(state, now);
}

std::optional<StateUpdate> StateFeed::onProbe(const SiteData &state, bool isLeader,
                                              Instant changedAt, Instant now)
{
    if (heldRevision_ >= state.revision)
        return std::nullopt;
    const bool isUnderWay =
            sentRevision_ >= state.revision && sentAt_ && now - *sentAt_ < kLostAfter;
    const bool isOurs = isNear_ || (isLeader && now - changedAt >= kLeaderWait);
    if (isUnderWay || !isOurs)
        return std::nullopt;
    return send(state, now);
}

StateUpdate StateFeed::send(const SiteData &state, Instant now)
{
    sentRevision_ = state.revision;
    sentAt_ = now;
    StateUpdate update{state, false};
    if (heldDocument_ == state.document.version) {
        update.sameDocument = true;
        update.data.document.bytes.clear();
    }
    return update;
}

} // namespace fireflyroute::core
