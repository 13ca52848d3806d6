// What one control VM sends one entry of the state of the site, and when. Documents are large and
// traffic between regions is billed, so an entry gets each change from the control VMs of its own
// region, and from the leader only if it stays behind.
//
//   StateFeed feed(isNear);
//   feed.holds(probe.revision, probe.documentVersion);
//   if (auto update = feed.onChange(state, now)) link.send(*update);
//   if (auto update = feed.onProbe(state, isLeader, now)) link.send(*update);

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
    // Changes that follow each other quickly are sent together.
    static constexpr std::chrono::milliseconds kMinSendInterval{100};

    // `isNear`: the entry is in this control VM's region.
    explicit StateFeed(bool inSameRegion = false)
        : inSameRegion_(inSameRegion)
    {}

    // What the entry says it holds.
    void recordHeldState(std::uint64_t revision, std::uint64_t documentVersion);

    // After a change of the state. Nothing while a pause has to pass first; see isDue().
    [[nodiscard]] std::optional<StateUpdate> onChange(const SiteData &state, Instant now);

    // The entry asked. `changedAt`: when the state last changed here.
    [[nodiscard]] std::optional<StateUpdate> onProbe(const SiteData &state, bool isLeader,
                                                     Instant changedAt, Instant now);

    // Whether onChange() will have something to send once the pause is over.
    [[nodiscard]] bool isDue(const SiteData &state) const
    {
        return inSameRegion_ && hasReportedState_ && sentRevision_ < state.revision;
    }

private:
    StateUpdate send(const SiteData &state, Instant now);

    bool inSameRegion_;
    bool hasReportedState_ = false; // the entry has said what it holds
    std::uint64_t heldRevision_ = 0; // as the entry said last
    std::uint64_t heldDocumentVersion_ = 0; // version, as the entry said last
    std::uint64_t sentRevision_ = 0;
    std::optional<Instant> sentAt_;
};

} // namespace fireflyroute::core

#endif
