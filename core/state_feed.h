// Decides what one control VM sends to one entry of the state of the site, and when. Documents are
// large and traffic between regions is billed, so an entry gets each change from the control VMs of
// its own region, and from the leader only if it lags behind.
//
//   StateFeed feed(inSameRegion);
//   feed.recordHeldState(probe.revision, probe.documentVersion);
//   if (auto update = feed.onChange(state, now)) link.send(*update);
//   if (auto update = feed.onProbe(state, isLeader, changedAt, now)) link.send(*update);

#ifndef FIREFLYROUTE_CORE_STATE_FEED_H
#define FIREFLYROUTE_CORE_STATE_FEED_H

#include "core/clock.h"
#include "core/site_messages.h"
#include "core/site_state.h"

#include <cstdint>
#include <optional>

namespace fireflyroute::core {

class StateFeed
{
public:
    // Changes within this interval are sent together.
    static constexpr std::chrono::milliseconds kMinSendInterval{100};

    // `inSameRegion`: the entry is in the region of this control VM.
    explicit StateFeed(bool inSameRegion = false)
        : inSameRegion_(inSameRegion)
    {}

    // Records the state that the entry reported.
    void recordHeldState(std::uint64_t revision, std::uint64_t documentVersion);

    // Called after a change of the state. Returns nothing while the minimum interval has not
    // passed; see isDue().
    [[nodiscard]] std::optional<StateUpdate> onChange(const SiteData &state, Instant now);

    // Called for a probe of the entry. `changedAt`: when the state last changed on this VM.
    [[nodiscard]] std::optional<StateUpdate> onProbe(const SiteData &state, bool isLeader,
                                                     Instant changedAt, Instant now);

    // Returns whether onChange() will have an update to send once the minimum interval has passed.
    [[nodiscard]] bool isDue(const SiteData &state) const
    {
        return inSameRegion_ && hasReportedState_ && sentRevision_ < state.revision;
    }

private:
    StateUpdate send(const SiteData &state, Instant now);

    bool inSameRegion_;
    bool hasReportedState_ = false; // the entry has reported the state that it holds
    std::uint64_t heldRevision_ = 0; // as last reported by the entry
    std::uint64_t heldDocumentVersion_ = 0; // as last reported by the entry
    std::uint64_t sentRevision_ = 0;
    std::optional<Instant> sentAt_;
};

} // namespace fireflyroute::core

#endif
