// Selection of the control VM that an entry fetches the state from.

#include "core/site/state_fetch.h"

#include <algorithm>
#include <tuple>

namespace fireflyroute::core {

void StateFetcher::recordAnnouncement(const VmId &vm, const StateAnnouncement &announcement,
                                      Instant now)
{
    Source &source = sources_[vm];
    source.sameRegion = announcement.sameRegion;
    if (announcement.revision <= source.revision)
        return;
    source.revision = announcement.revision;
    source.announcedAt = now;
}

void StateFetcher::recordProgress(const VmId &vm, Instant now)
{
    if (request_ && request_->vm == vm)
        request_->progressAt = now;
}

void StateFetcher::recordAnswer(const VmId &vm, std::uint64_t revision)
{
    answeredRevision_ = std::max(answeredRevision_, revision);
    if (const auto source = sources_.find(vm); source != sources_.end())
        source->second.stalled = false;
    if (request_ && request_->vm == vm)
        request_.reset();
}

void StateFetcher::recordDisconnected(const VmId &vm)
{
    sources_.erase(vm);
    if (request_ && request_->vm == vm)
        request_.reset();
}

std::optional<VmId> StateFetcher::startRequest(std::uint64_t heldRevision, Instant now)
{
    if (request_) {
        if (now - request_->progressAt < kStallTimeout)
            return std::nullopt;
        sources_[request_->vm].stalled = true;
        request_.reset();
    }
    const VmId *vm = bestSource(std::max(heldRevision, answeredRevision_), now);
    if (!vm)
        return std::nullopt;
    request_ = Request{*vm, now};
    return *vm;
}

// Prefers control VMs that did not stall, then the newest revision, then the earliest announcement,
// which tends to come from the nearest VM. Returns null if there is none to ask now.
const VmId *StateFetcher::bestSource(std::uint64_t aboveRevision, Instant now) const
{
    const bool hasSameRegion = std::any_of(sources_.begin(), sources_.end(), [](const auto &item) {
        return item.second.sameRegion && !item.second.stalled;
    });
    const auto rank = [](const Source &source) {
        return std::tuple(source.stalled, !source.sameRegion, ~source.revision, source.announcedAt);
    };
    const VmId *best = nullptr;
    const Source *bestSource = nullptr;
    for (const auto &[vm, source] : sources_) {
        const bool mustWait =
                hasSameRegion && !source.sameRegion && now - source.announcedAt < kOtherRegionDelay;
        if (source.revision <= aboveRevision || mustWait)
            continue;
        if (!bestSource || rank(source) < rank(*bestSource)) {
            best = &vm;
            bestSource = &source;
        }
    }
    return best;
}

} // namespace fireflyroute::core
