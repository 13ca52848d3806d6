// Decides from which control VM an entry fetches the state of the site, and when. Control VMs
// announce what they hold; the entry requests the state from one of them at a time. A state with a
// large configuration takes longer to transfer than it takes to announce the next one, so copies
// that nobody asked for would saturate the entry's network link.
//
//   StateFetcher fetcher;
//   fetcher.recordAnnouncement(vm, announcement, now);
//   if (const auto vm = fetcher.startRequest(heldRevision, now))
//       send StateRequest to *vm
//   fetcher.recordProgress(vm, now);              // bytes arrived on the link to `vm`
//   fetcher.recordAnswer(vm, answer.revision);
//   fetcher.recordDisconnected(vm);
//
// startRequest() is to be called after each of these events, and periodically.

#ifndef FIREFLYROUTE_CORE_SITE_STATE_FETCH_H
#define FIREFLYROUTE_CORE_SITE_STATE_FETCH_H

#include "core/common/clock.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <map>
#include <optional>

namespace fireflyroute::core {

class StateFetcher
{
public:
    // Traffic between regions is billed and slow, so a control VM of another region is asked only
    // if none of the own region has announced the revision for this long.
    static constexpr std::chrono::milliseconds kOtherRegionDelay{300};

    // A transfer without progress for this long is abandoned in favour of another control VM.
    static constexpr std::chrono::milliseconds kStallTimeout{1000};

    void recordAnnouncement(const VmId &vm, const StateAnnouncement &announcement, Instant now);

    // Bytes of any message arrived from the control VM.
    void recordProgress(const VmId &vm, Instant now);

    // The control VM has answered the request. A state that the entry could not apply is not
    // requested again.
    void recordAnswer(const VmId &vm, std::uint64_t revision);

    void recordDisconnected(const VmId &vm);

    // Returns the control VM to request the state from now, and considers the request sent. Returns
    // nothing if the entry holds the newest announced state or has to wait.
    [[nodiscard]] std::optional<VmId> startRequest(std::uint64_t heldRevision, Instant now);

private:
    struct Source
    {
        std::uint64_t revision = 0; // newest announced
        Instant announcedAt; // when it announced that revision
        bool sameRegion = false;
        bool stalled = false; // the last transfer from it made no progress
    };

    struct Request
    {
        VmId vm;
        Instant progressAt; // last data from `vm`, or the time of the request
    };

    [[nodiscard]] const VmId *bestSource(std::uint64_t aboveRevision, Instant now) const;

    std::map<VmId, Source> sources_; // connected control VMs that have announced a revision
    std::optional<Request> request_; // at most one at a time
    std::uint64_t answeredRevision_ = 0; // newest revision received in an answer
};

} // namespace fireflyroute::core

#endif
