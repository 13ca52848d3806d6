// Control-plane client of an entry.

#include "app/entry_control.h"

#include "net/endpoint_json.h"
#include "net/usage_json.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

core::Event endpointEvent(core::EventKind kind, const core::EndpointId &endpoint)
{
    core::Event event;
    event.kind = kind;
    event.endpoint = endpoint;
    return event;
}

std::optional<core::EventKind> eventKindOf(core::DirectoryChange change)
{
    switch (change) {
    case core::DirectoryChange::Joined:
        return core::EventKind::EndpointJoined;
    case core::DirectoryChange::Changed:
        return core::EventKind::EndpointChanged;
    case core::DirectoryChange::Leaving:
        return core::EventKind::EndpointLeaving;
    default:
        return std::nullopt;
    }
}

} // namespace

EntryControl::EntryControl(core::VmAddress self, std::string secret, const SystemClock &clock,
                           ControlLoop &loop, std::shared_ptr<ControlLink> link, ViewHolder &views,
                           AdmissionGate &admission, EventRecorder &events)
    : self_(std::move(self))
    , secret_(std::move(secret))
    , clock_(clock)
    , loop_(loop)
    , link_(std::move(link))
    , views_(views)
    , admission_(admission)
    , events_(events)
    , config_(std::make_shared<core::FleetConfig>())
    , lease_(core::GroupId(0), core::VmIncarnation{self_.id, self_.incarnation})
{}

void EntryControl::start()
{
    loop_.runEvery(kFollowPeriod, [this] { follow(); });
    loop_.runEvery(kPublishPeriod, [this] { publish(); });
    loop_.runEvery(kSendPeriod, [this] {
        sendAnnouncements();
        sendUsage();
    });
}

void EntryControl::handleAnnouncement(const core::EndpointAnnouncement &announcement,
                                      core::Duration age, bool fromEndpoint)
{
    const core::Instant now = clock_.now();
    const core::DirectoryChange change = directory_.announce(announcement, age, now);
    if (change == core::DirectoryChange::None)
        return;
    const std::optional<core::EventKind> kind = eventKindOf(change);
    if (kind)
        events_.record(endpointEvent(*kind, announcement.id));
    if (fromEndpoint)
        unsentAnnouncements_[announcement.id] = core::EndpointState{announcement, now - age};
    if (!kind)
        return;
    // Joined, leaving and changed endpoints take effect immediately, on all entries.
    publish();
    if (fromEndpoint)
        sendAnnouncements();
}

void EntryControl::drain()
{
    draining_ = true;
    publish();
    follow();
}

void EntryControl::follow()
{
    if (followInFlight_)
        return;
    followInFlight_ = true;
    const core::LeaseRequest lease = lease_.request(readClock());
    core::FollowRequest request;
    request.group = lease.group;
    request.entry = self_;
    request.number = lease.number;
    request.confirmed = lease.heldRevision;
    request.leaving = draining_;
    link_->follow(request, [this](const net::Result<core::FollowReply> &answer) {
        loop_.post([this, answer] { onFollowReply(answer); });
    });
}

void EntryControl::onFollowReply(const net::Result<core::FollowReply> &answer)
{
    followInFlight_ = false;
    if (!answer || !answer.value().granted)
        return;
    const core::FollowReply &reply = answer.value();
    entries_ = reply.entries;
    applyGrant(reply);
}

// Publishes the view first, then records the revision in the lease, and only then confirms it to
// the leader. So nothing is dispatched under an older revision after the leader has received the
// confirmation of the newer one.
void EntryControl::applyGrant(const core::FollowReply &reply)
{
    const bool isNewer = reply.config && reply.config->revision > config_->revision;
    if (isNewer) {
        config_ = std::make_shared<core::FleetConfig>(*reply.config);
        admission_.configure(*config_);
        publish();
    }
    lease_.handleGrant(core::LeaseGrant{reply.group,
                                        {self_.id, self_.incarnation},
                                        reply.number,
                                        reply.term,
                                        reply.revision,
                                        reply.lease});
    lease_.activateRevision(config_->revision);
    publish();
    // Confirms a new configuration immediately instead of with the next heartbeat.
    if (isNewer)
        follow();
}

void EntryControl::sendAnnouncements()
{
    if (unsentAnnouncements_.empty())
        return;
    const core::Instant now = clock_.now();
    Json::Value message;
    message["announcements"] = Json::Value(Json::arrayValue);
    for (const auto &[id, state] : unsentAnnouncements_) {
        Json::Value announcementJson;
        announcementJson["announcement"] = net::toJson(state.lastAnnouncement);
        const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - state.announcedAt);
        announcementJson["age_ms"] = Json::Int64(age.count());
        message["announcements"].append(announcementJson);
    }
    unsentAnnouncements_.clear();
    sendToEntries("announcements", message);
}

void EntryControl::sendUsage()
{
    const core::UsageReport report = admission_.usageReport();
    if (!report.lines.empty())
        sendToEntries("usage", net::toJson(report));
}

void EntryControl::sendToEntries(const std::string &method, const Json::Value &message)
{
    for (const core::VmAddress &entry : entries_) {
        if (entry.id != self_.id)
            peerFor(entry.address)->call(method, message, [](const auto &) {});
    }
}

core::ClockReading EntryControl::readClock() const
{
    return core::ClockReading{clock_.now(), clock_.wallNow()};
}

void EntryControl::publish()
{
    const core::Instant now = clock_.now();
    for (const core::EndpointId &expired : directory_.expire(now))
        events_.record(endpointEvent(core::EventKind::EndpointExpired, expired));
    recordLeaseChange();
    auto view = std::make_shared<RoutingView>();
    view->config = config_;
    view->directory = directory_.view(now);
    view->index = std::make_shared<core::EndpointIndex>(view->directory, self_.dataCentre,
                                                        core::distanceByName);
    view->permit = lease_.permit();
    view->entries = entries_;
    view->draining = draining_;
    admission_.setCapacity(*view->directory, config_->defaults.endpointConcurrency,
                           entries_.size());
    views_.set(std::move(view));
}

void EntryControl::recordLeaseChange()
{
    const bool valid = lease_.isValid(readClock());
    if (valid == leaseWasValid_)
        return;
    leaseWasValid_ = valid;
    core::Event event;
    event.kind = valid ? core::EventKind::LeaseRenewed : core::EventKind::LeaseExpired;
    event.revision = config_->revision;
    events_.record(std::move(event));
}

std::shared_ptr<net::RpcPeer> EntryControl::peerFor(const std::string &address)
{
    std::shared_ptr<net::RpcPeer> &cached = peers_[address];
    if (!cached)
        cached = std::make_shared<net::RpcPeer>(address, ControlLink::kCallTimeout, secret_);
    return cached;
}

} // namespace fireflyroute::app
