// Links of the control role to entries and to other control VMs: their messages, the announcement
// of the state, and what is relayed between them.

#include "app/site_control.h"

#include "net/address.h"
#include "net/site_codec.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <set>
#include <utility>

namespace fireflyroute::app {

namespace asio = boost::asio;

void SiteControl::onFrame(net::FrameLink &link, std::string_view frame)
{
    const auto peer = incomingLinks_.find(&link);
    if (peer == incomingLinks_.end())
        return;
    const net::Result<core::SiteMessage> message = net::decodeMessage(frame);
    if (!message) {
        LogLine(log_, LogKind::Link).add("event", "malformed").add("peer", peer->second.vm.value());
        link.reset();
        return;
    }
    std::visit([&](const auto &typed) { handleMessage(peer->second, typed); }, message.value());
}

void SiteControl::onDisconnected(net::FrameLink &link)
{
    const auto node = incomingLinks_.extract(&link);
    if (node.empty() || !node.mapped().isEntry)
        return;
    // An entry that reconnects may have a new link before its old one is closed.
    const Peer &peer = node.mapped();
    const bool hasOther = std::any_of(incomingLinks_.begin(), incomingLinks_.end(),
                                      [&](const auto &item) { return item.second.vm == peer.vm; });
    if (!hasOther && relayDirectory_.recordDisconnected(peer.vm))
        logPath(peer.vm, peer.dataCentre);
}

void SiteControl::handleMessage(Peer &peer, const core::Handshake &message)
{
    peer.vm = message.vm;
    peer.isEntry = message.isEntry;
    peer.dataCentre = message.dataCentre;
    peer.holdsVersionZero = message.holdsVersionZero;
    LogLine(log_, LogKind::Link)
            .add("event", "regained")
            .add("peer", peer.vm.value())
            .add("peer_role", core::nameOf(peer.isEntry ? Role::Entry : Role::Control));
    if (!peer.isEntry)
        return;
    relayDirectory_.recordConnected(peer.vm, peer.dataCentre);
    peer.feed = core::StateFeed(isInSameRegion(message.dataCentre));
    if (const auto announcement = peer.feed.onChange(state_.data(), clock_.now()))
        peer.link->send(net::encodeMessage(*announcement));
    core::EndpointUpdate update{registry_.all()};
    // Without a leader lease this VM may be partitioned and miss heartbeats itself, so endpoints
    // are not reported as unresponsive.
    if (!driver_->hasLease()) {
        for (core::EndpointRecord &record : update.records)
            record.unresponsive = false;
    }
    peer.link->send(net::encodeMessage(update));
    if (driver_->hasLease())
        peer.link->send(net::encodeMessage(crashAttribution_.state(clock_.now())));
}

void SiteControl::handleMessage(Peer &peer, const core::FreshnessProbe &message)
{
    if (relayDirectory_.recordProbe(peer.vm, message.isolated, clock_.now()))
        logPath(peer.vm, peer.dataCentre);
    core::FreshnessReply reply;
    reply.nonce = message.nonce;
    reply.latestRevision = state_.data().revision;
    reply.authoritative = driver_->hasLease();
    for (const core::Member &member : driver_->replica().membership().members)
        reply.controlVms.push_back(member.id.vm);
    core::ColdGrants grants;
    if (reply.authoritative && peer.isEntry)
        grants = coldGrantor_.grantTo(peer.vm, message.nonce, message.isolated, clock_.now());
    // A link that is closed while sending leaves incomingLinks_, and its peer with it.
    const std::shared_ptr<net::FrameLink> link = peer.link;
    link->send(net::encodeMessage(reply));
    if (!grants.grants.empty())
        link->send(net::encodeMessage(grants));
}

void SiteControl::handleMessage(Peer &peer, const core::StateRequest &message)
{
    const std::optional<core::StateUpdate> update = core::StateFeed::answer(message, state_.data());
    if (!update)
        return;
    if (update->documentOmitted) {
        peer.link->send(net::encodeMessage(*update));
        return;
    }
    if (encodedRevision_ != update->data.revision) {
        encodedState_ = net::encodeMessage(*update);
        encodedRevision_ = update->data.revision;
    }
    peer.link->send(encodedState_);
}

void SiteControl::handleMessage(Peer & /*peer*/, const core::EndpointUpdate &message)
{
    for (const core::EndpointRecord &record : message.records)
        publishRecord(record, registry_.apply(record, clock_.now()), false);
}

void SiteControl::handleMessage(Peer &peer, const core::OutcomeReport &message)
{
    rolloutEvaluator_.observe(peer.vm, message, clock_.now());
}

// Replies to entries immediately, so an entry receives the work of the others at its own report
// rate.
void SiteControl::handleMessage(Peer &peer, const core::WorkReport &message)
{
    const core::Instant now = clock_.now();
    if (!peer.isEntry) {
        workExchange_.receiveFromControlVm(peer.vm, message, now);
        return;
    }
    workExchange_.receive(peer.vm, message, now);
    const std::string bytes = net::encodeMessage(workExchange_.workOfOthers(peer.vm, now));
    workBytesToEntries_ += bytes.size();
    peer.link->send(bytes);
}

void SiteControl::handleMessage(Peer &peer, const core::EntryUpdate &message)
{
    if (peer.isEntry)
        updateRelay_.addFromEntry(message);
    else
        updateRelay_.addFromControlVm(message);
}

void SiteControl::handleMessage(Peer & /*peer*/, const core::ReplicaMessage &message)
{
    // Replies need an outgoing link to the sender. The sender may be unknown: a leader, if this VM
    // lost its disk, or a VM that requests to join.
    const core::VmId &from = message.from.vm;
    directory_.recordContact(from, clock_.now());
    if (!outgoingLinks_.contains(from))
        connectControlVms();
    driver_->receive(message);
}

void SiteControl::send(const core::ReplicaMessage &message)
{
    const auto found = outgoingLinks_.find(message.to.vm);
    if (found != outgoingLinks_.end())
        found->second->send(net::encodeMessage(message));
}

void SiteControl::sendToEntries(const core::SiteMessage &message)
{
    const std::string bytes = net::encodeMessage(message);
    for (auto &[link, peer] : incomingLinks_) {
        if (peer.isEntry)
            peer.link->send(bytes);
    }
}

void SiteControl::sendToControlVms(const core::SiteMessage &message)
{
    const std::string bytes = net::encodeMessage(message);
    for (auto &[vm, link] : outgoingLinks_)
        link->send(bytes);
}

// Opens links to the required control VMs that have none, and closes the links that are no longer
// required.
void SiteControl::connectControlVms()
{
    std::vector<core::VmId> members;
    for (const core::Member &member : driver_->replica().membership().members)
        members.push_back(member.id.vm);
    directory_.setMembers(members);
    directory_.setSeeds(settings_.seedVms());
    std::set<core::VmId> required = directory_.connectionTargets(clock_.now());
    required.erase(settings_.vm);
    for (auto it = outgoingLinks_.begin(); it != outgoingLinks_.end();) {
        if (!required.contains(it->first)) {
            it->second->stop();
            it = outgoingLinks_.erase(it);
        } else {
            ++it;
        }
    }
    for (const core::VmId &vm : required) {
        if (outgoingLinks_.contains(vm))
            continue;
        const auto address = net::parseAddress(settings_.linkAddress(vm));
        if (!address)
            continue;
        net::FrameHandlers handlers;
        handlers.onFrame = [](net::FrameLink &, std::string_view) {};
        handlers.onConnected = [this](net::FrameLink &link) {
            link.send(net::encodeMessage(
                    core::Handshake{settings_.vm, false, settings_.dataCentre, true}));
            link.send(net::encodeMessage(core::EndpointUpdate{registry_.all()}));
        };
        handlers.onDisconnected = [this, vm](net::FrameLink &) {
            LogLine(log_, LogKind::Link).add("event", "lost").add("peer", vm.value());
        };
        const auto link = std::make_shared<net::FrameLink>(io_, handlers);
        outgoingLinks_.emplace(vm, link);
        link->dial(address.value());
    }
}

// Announces the state to the entries. Changes within one StateFeed::kMinAnnounceInterval are
// combined into one announcement.
void SiteControl::announceState()
{
    if (isAnnouncementScheduled_)
        return;
    isAnnouncementScheduled_ = true;
    asio::post(io_, [this] {
        isAnnouncementScheduled_ = false;
        bool hasPendingAnnouncements = false;
        for (auto &[link, peer] : incomingLinks_) {
            if (!peer.isEntry)
                continue;
            if (const auto announcement = peer.feed.onChange(state_.data(), clock_.now()))
                peer.link->send(net::encodeMessage(*announcement));
            hasPendingAnnouncements = hasPendingAnnouncements || peer.feed.isDue(state_.data());
        }
        if (!hasPendingAnnouncements)
            return;
        isAnnouncementScheduled_ = true;
        const auto timer =
                std::make_shared<asio::steady_timer>(io_, core::StateFeed::kMinAnnounceInterval);
        timer->async_wait([this, timer](const boost::system::error_code &) {
            isAnnouncementScheduled_ = false;
            announceState();
        });
    });
}

bool SiteControl::isInSameRegion(const core::DataCentreId &dataCentre) const
{
    return core::isSameRegion(settings_.regions, settings_.dataCentre, dataCentre);
}

void SiteControl::logPath(const core::VmId &entry, const core::DataCentreId &dataCentre)
{
    if (!driver_->hasLease())
        return;
    LogLine(log_, LogKind::Relay)
            .add("entry", entry.value())
            .add("data_centre", dataCentre.value())
            .add("path", core::nameOf(relayDirectory_.pathOf(entry)))
            .add("isolated", static_cast<std::int64_t>(relayDirectory_.isolatedCount()));
}

void SiteControl::evaluateRelays()
{
    const std::vector<core::VmId> lost = relayDirectory_.expire(clock_.now());
    for (const auto &[link, peer] : incomingLinks_) {
        if (std::find(lost.begin(), lost.end(), peer.vm) != lost.end())
            logPath(peer.vm, peer.dataCentre);
    }
    if (!driver_->hasLease())
        return;
    const std::vector<core::VmId> changed = relayDirectory_.update();
    if (changed.empty())
        return;
    const std::set<core::VmId> changedEntries(changed.begin(), changed.end());
    // A link that is closed while sending leaves incomingLinks_.
    std::vector<std::pair<std::shared_ptr<net::FrameLink>, core::RelayList>> messages;
    for (const auto &[link, peer] : incomingLinks_) {
        if (changedEntries.contains(peer.vm))
            messages.emplace_back(peer.link, core::RelayList{relayDirectory_.relaysOf(peer.vm)});
    }
    for (const auto &[link, list] : messages)
        link->send(net::encodeMessage(list));
    relayListsSent_ += messages.size();
}

// The entries at home here are those that report their work here.
void SiteControl::relayUpdates()
{
    const core::UpdateRelay::Batch batch = updateRelay_.take();
    if (!batch.forControlVms.isEmpty()) {
        const std::string bytes = net::encodeMessage(batch.forControlVms);
        updateBytesToControlVms_ += bytes.size() * outgoingLinks_.size();
        for (const auto &[vm, link] : outgoingLinks_)
            link->send(bytes);
    }
    if (batch.forEntries.isEmpty())
        return;
    const std::string bytes = net::encodeMessage(batch.forEntries);
    for (const auto &[link, peer] : incomingLinks_) {
        if (!peer.isEntry || !workExchange_.isReporting(peer.vm))
            continue;
        updateBytesToEntries_ += bytes.size();
        peer.link->send(bytes);
    }
}

void SiteControl::relayWork()
{
    const core::WorkReport work = workExchange_.workOfEntries(clock_.now());
    const std::string bytes = net::encodeMessage(work);
    workBytesToControlVms_ += bytes.size() * outgoingLinks_.size();
    for (const auto &[vm, link] : outgoingLinks_)
        link->send(bytes);
}

} // namespace fireflyroute::app
