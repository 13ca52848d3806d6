// Announcements of the state, and answers to requests for it.

#include "core/site/state_feed.h"

namespace fireflyroute::core {

std::optional<StateAnnouncement> StateFeed::onChange(const SiteData &state, Instant now)
{
    const bool isRateLimited = announcedAt_ && now - *announcedAt_ < kMinAnnounceInterval;
    if (!isDue(state) || isRateLimited)
        return std::nullopt;
    announcedRevision_ = state.revision;
    announcedAt_ = now;
    return StateAnnouncement{state.revision, inSameRegion_};
}

std::optional<StateUpdate> StateFeed::answer(const StateRequest &request, const SiteData &state)
{
    if (state.revision <= request.revision)
        return std::nullopt;
    StateUpdate update;
    update.data.revision = state.revision;
    update.data.rollouts = state.rollouts;
    update.data.evacuations = state.evacuations;
    update.data.document.version = state.document.version;
    update.documentOmitted = request.documentVersion == state.document.version;
    if (!update.documentOmitted)
        update.data.document.bytes = state.document.bytes;
    return update;
}

} // namespace fireflyroute::core
