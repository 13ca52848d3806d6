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
    update.data = state;
    update.documentOmitted = request.documentVersion == state.documentVersion();
    if (update.documentOmitted && update.data.document)
        update.data.document->bytes = {};
    return update;
}

std::optional<SiteData> StateFeed::merge(const SiteData &held, const StateUpdate &update)
{
    if (update.data.revision <= held.revision)
        return std::nullopt;
    SiteData next = update.data;
    if (!update.documentOmitted)
        return next;
    // An omitted document with version 0 is decoded as none.
    if (next.documentVersion().value_or(0) != held.documentVersion().value_or(0))
        return std::nullopt;
    next.document = held.document;
    return next;
}

} // namespace fireflyroute::core
