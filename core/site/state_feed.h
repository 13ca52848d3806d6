// Decides what one control VM announces to one entry of the state of the site, answers the entry's
// requests, and decides which answers the entry takes. The entry fetches the state itself; see
// core/site/state_fetch.h.
//
//   StateFeed feed(inSameRegion);
//   if (auto announcement = feed.onChange(state, now)) link.send(*announcement);
//   if (auto update = StateFeed::answer(request, state)) link.send(*update);
//   if (auto next = StateFeed::merge(held, *update)) held = *next;         // at the entry

#ifndef FIREFLYROUTE_CORE_SITE_STATE_FEED_H
#define FIREFLYROUTE_CORE_SITE_STATE_FEED_H

#include "core/common/clock.h"
#include "core/site/site_messages.h"
#include "core/site/site_state.h"

#include <cstdint>
#include <optional>

namespace fireflyroute::core {

class StateFeed
{
public:
    // Changes within this interval are announced together.
    static constexpr std::chrono::milliseconds kMinAnnounceInterval{100};

    // `inSameRegion`: the entry is in the region of this control VM.
    explicit StateFeed(bool inSameRegion = false)
        : inSameRegion_(inSameRegion)
    {}

    // Called when the entry has connected and after each change of the state. Returns nothing while
    // the minimum interval has not passed; see isDue().
    [[nodiscard]] std::optional<StateAnnouncement> onChange(const SiteData &state, Instant now);

    // Returns whether onChange() will have an announcement once the minimum interval has passed.
    [[nodiscard]] bool isDue(const SiteData &state) const
    {
        return announcedRevision_ < state.revision;
    }

    // Returns the answer to a request, or nothing if the state is not newer than the entry's. The
    // document is omitted if the entry holds it.
    [[nodiscard]] static std::optional<StateUpdate> answer(const StateRequest &request,
                                                           const SiteData &state);

    // Returns the state of an entry that holds `held` after an update. Returns nothing if the
    // update is not newer, or omits a document that the entry does not hold.
    [[nodiscard]] static std::optional<SiteData> merge(const SiteData &held,
                                                       const StateUpdate &update);

private:
    bool inSameRegion_;
    std::uint64_t announcedRevision_ = 0;
    std::optional<Instant> announcedAt_;
};

} // namespace fireflyroute::core

#endif
