// Directory of endpoints: keeps the newest announcement of each endpoint and expires endpoints that
// stop announcing.

#include "core/endpoints/directory.h"

#include <utility>

namespace fireflyroute::core {

namespace {

bool isNewer(const EndpointAnnouncement &left, const EndpointAnnouncement &right)
{
    return std::pair(left.incarnation, left.sequence)
           > std::pair(right.incarnation, right.sequence);
}

bool hasSameContent(const EndpointAnnouncement &left, const EndpointAnnouncement &right)
{
    return left.incarnation == right.incarnation && left.phase == right.phase
           && left.versions == right.versions && left.services == right.services
           && left.address == right.address;
}

DirectoryChange compare(const EndpointAnnouncement &before, const EndpointAnnouncement &after)
{
    if (hasSameContent(before, after))
        return DirectoryChange::Refreshed;
    if (after.phase == EndpointPhase::Leaving)
        return DirectoryChange::Leaving;
    return DirectoryChange::Changed;
}

} // namespace

DirectoryChange Directory::announce(const EndpointAnnouncement &announcement, Duration age,
                                    Instant now)
{
    const auto found = endpoints_.find(announcement.id);
    if (found == endpoints_.end()) {
        endpoints_.emplace(announcement.id, EndpointState{announcement, now - age});
        return DirectoryChange::Joined;
    }
    EndpointState &state = found->second;
    if (!isNewer(announcement, state.lastAnnouncement))
        return DirectoryChange::None;
    const DirectoryChange change = compare(state.lastAnnouncement, announcement);
    state = EndpointState{announcement, now - age};
    return change;
}

std::vector<EndpointId> Directory::expire(Instant now)
{
    std::vector<EndpointId> expired;
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        if (now - it->second.announcedAt < expiry_) {
            ++it;
            continue;
        }
        expired.push_back(it->first);
        it = endpoints_.erase(it);
    }
    return expired;
}

std::shared_ptr<const DirectoryView> Directory::view(Instant now) const
{
    auto view = std::make_shared<DirectoryView>();
    for (const auto &[id, state] : endpoints_) {
        const bool usable = state.lastAnnouncement.phase == EndpointPhase::Ready
                            && now - state.announcedAt < expiry_;
        if (!usable)
            continue;
        const auto position = static_cast<std::uint32_t>(view->endpoints.size());
        view->endpoints.push_back(state);
        for (const ModelVersion &version : state.lastAnnouncement.versions)
            view->byVersion[version].push_back(position);
        for (const ServiceName &service : state.lastAnnouncement.services)
            view->byService[service].push_back(position);
    }
    return view;
}

const EndpointState *Directory::find(const EndpointId &id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

EndpointLiveness Directory::liveness(const EndpointId &id, Instant now) const
{
    const EndpointState *state = find(id);
    if (!state)
        return EndpointLiveness::Unknown;
    if (state->lastAnnouncement.phase == EndpointPhase::Leaving)
        return EndpointLiveness::Leaving;
    if (now - state->announcedAt >= expiry_)
        return EndpointLiveness::Failed;
    return state->lastAnnouncement.phase == EndpointPhase::Ready ? EndpointLiveness::Ready
                                                                 : EndpointLiveness::Starting;
}

std::vector<EndpointState> Directory::all() const
{
    std::vector<EndpointState> states;
    for (const auto &[id, state] : endpoints_)
        states.push_back(state);
    return states;
}

} // namespace fireflyroute::core
