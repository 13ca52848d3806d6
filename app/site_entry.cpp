// Links of an entry to the control VMs, and the state received over them.

#include "app/site_entry.h"

#include "core/site/home_choice.h"
#include "core/site/state_feed.h"
#include "net/address.h"
#include "net/site_codec.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace fireflyroute::app {

namespace {

// Interval of freshness probes. Several fit into the key lease.
constexpr std::chrono::milliseconds kProbePeriod{400};

// Time without received data after which a link is reconnected, since the connection may have
// failed without an error.
constexpr std::chrono::milliseconds kLinkTimeout{1600};

constexpr core::RecordRetention kRecordRetention{std::chrono::seconds(90),
                                                 std::chrono::minutes(10)};

} // namespace

SiteEntry::SiteEntry(boost::asio::io_context &io, const SiteSettings &settings, StructuredLog &log,
                     ConfigDecoder decode, EntryOutputs outputs)
    : io_(io)
    , settings_(settings)
    , log_(log)
    , decode_(std::move(decode))
    , outputs_(std::move(outputs))
    , probeTimer_(io)
    , freshness_(settings.keyLease)
{}

void SiteEntry::start()
{
    connectControlVms();
    sendProbes();
}

void SiteEntry::reload(const SiteSettings &settings)
{
    settings_.seeds = settings.seeds;
    connectControlVms();
}

// Opens links to the required control VMs that have none, and closes the links that are no longer
// required.
void SiteEntry::connectControlVms()
{
    directory_.setSeeds(settings_.seedVms());
    const std::set<core::VmId> required = directory_.connectionTargets(clock_.now());
    for (auto it = controlPeers_.begin(); it != controlPeers_.end();) {
        if (required.contains(it->first)) {
            ++it;
            continue;
        }
        it->second.link->stop();
        fetcher_.recordDisconnected(it->first);
        it = controlPeers_.erase(it);
    }
    for (const core::VmId &vm : required) {
        if (controlPeers_.contains(vm))
            continue;
        const auto address = net::parseAddress(settings_.linkAddress(vm));
        if (!address) {
            LogLine(log_, LogKind::Link).add("event", "bad_address").add("peer", vm.value());
            continue;
        }
        net::FrameHandlers handlers;
        handlers.onConnected = [this, vm](net::FrameLink &link) {
            controlPeers_[vm].lastReceivedAt = clock_.now();
            controlPeers_[vm].connectedAt = clock_.now();
            LogLine(log_, LogKind::Link).add("event", "regained").add("peer", vm.value());
            link.send(
                    net::encodeMessage(core::Handshake{settings_.vm, true, settings_.dataCentre}));
            link.send(net::encodeMessage(core::FreshnessProbe{nonce_, isolated_}));
        };
        handlers.onFrame = [this, vm](net::FrameLink &, std::string_view frame) {
            onFrame(vm, frame);
        };
        handlers.onDisconnected = [this, vm](net::FrameLink &) {
            LogLine(log_, LogKind::Link).add("event", "lost").add("peer", vm.value());
            fetcher_.recordDisconnected(vm);
            requestState();
        };
        const auto link = std::make_shared<net::FrameLink>(io_, handlers);
        controlPeers_[vm] = ControlPeer{link, clock_.now(), 0, clock_.now()};
        link->dial(address.value());
    }
}

void SiteEntry::sendProbes()
{
    const core::Instant now = clock_.now();
    freshness_.probeSent(++nonce_, now);
    const std::string bytes = net::encodeMessage(core::FreshnessProbe{nonce_, isolated_});
    for (auto &[vm, peer] : controlPeers_) {
        // A large message may take longer than the timeout to arrive.
        const std::uint64_t receivedTotal = peer.link->receivedTotal();
        if (std::exchange(peer.receivedTotal, receivedTotal) != receivedTotal) {
            peer.lastReceivedAt = now;
            fetcher_.recordProgress(vm, now);
        }
        if (peer.link->isOpen() && now - peer.lastReceivedAt > kLinkTimeout) {
            LogLine(log_, LogKind::Link)
                    .add("event", "timed_out")
                    .add("peer", vm.value())
                    .add("silent_ms", core::toMillis(now - peer.lastReceivedAt));
            peer.lastReceivedAt = now;
            peer.link->reset();
        } else {
            peer.link->send(bytes);
        }
    }
    publishFreshness();
    requestState();
    dropObsoleteEndpoints();
    probeTimer_.expires_after(kProbePeriod);
    probeTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            sendProbes();
    });
}

void SiteEntry::onFrame(const core::VmId &vm, std::string_view frame)
{
    const net::Result<core::SiteMessage> message = net::decodeMessage(frame);
    const auto peer = controlPeers_.find(vm);
    if (peer == controlPeers_.end())
        return;
    if (!message) {
        LogLine(log_, LogKind::Link).add("event", "malformed").add("peer", vm.value());
        peer->second.link->reset();
        return;
    }
    peer->second.lastReceivedAt = clock_.now();
    if (std::holds_alternative<core::StateUpdate>(message.value())) {
        ++stateUpdates_;
        stateBytes_ += frame.size();
    }
    std::visit([&](const auto &typed) { handleMessage(vm, typed); }, message.value());
}

void SiteEntry::handleMessage(const core::VmId &vm, const core::FreshnessReply &message)
{
    for (const core::VmId &member : message.controlVms)
        directory_.recordContact(member, clock_.now());
    if (message.authoritative) {
        leader_ = vm;
        directory_.setMembers(message.controlVms);
        freshness_.replyReceived(message.nonce, message.latestRevision, state_.revision);
        publishFreshness();
    }
    connectControlVms();
}

void SiteEntry::handleMessage(const core::VmId &vm, const core::StateAnnouncement &message)
{
    controlPeers_[vm].isSameRegion = message.sameRegion;
    fetcher_.recordAnnouncement(vm, message, clock_.now());
    requestState();
}

void SiteEntry::handleMessage(const core::VmId &vm, const core::StateUpdate &message)
{
    fetcher_.recordAnswer(vm, message.data.revision);
    applyState(vm, message);
    requestState();
}

// Requests the state from a control VM if a newer one was announced than this entry holds.
void SiteEntry::requestState()
{
    const std::optional<core::VmId> vm = fetcher_.startRequest(state_.revision, clock_.now());
    if (!vm)
        return;
    const auto peer = controlPeers_.find(*vm);
    if (peer != controlPeers_.end())
        peer->second.link->send(
                net::encodeMessage(core::StateRequest{state_.revision, state_.documentVersion()}));
}

void SiteEntry::applyState(const core::VmId &vm, const core::StateUpdate &message)
{
    std::optional<core::SiteData> next = core::StateFeed::merge(state_, message);
    if (!next) {
        LogLine(log_, LogKind::Config)
                .add("event", "ignored")
                .add("version", core::describeDocumentVersion(message.data))
                .add("revision", static_cast<std::int64_t>(message.data.revision))
                .add("held_version", core::describeDocumentVersion(state_))
                .add("held_revision", static_cast<std::int64_t>(state_.revision))
                .add("from", vm.value());
        return;
    }
    if (next->document && next->documentVersion() != state_.documentVersion()) {
        auto config = decode_(next->document->bytes.value());
        LogLine(log_, LogKind::Config)
                .add("event", config ? "taken" : "unreadable")
                .add("version", static_cast<std::int64_t>(next->document->version))
                .add("revision", static_cast<std::int64_t>(message.data.revision))
                .add("from", vm.value());
        if (!config)
            return;
        table_ = std::make_shared<const core::SiteTable>(std::move(config));
    }
    for (const auto &[service, rollout] : message.data.rollouts) {
        const auto current = state_.rollouts.find(service);
        if (current != state_.rollouts.end() && current->second == rollout)
            continue;
        LogLine(log_, LogKind::Rollout)
                .add("service", service.value())
                .add("target", rollout.target.value())
                .add("stage", core::nameOf(rollout.stage))
                .add("revision", static_cast<std::int64_t>(message.data.revision));
    }
    logEvacuations(message.data);
    state_ = std::move(*next);
    freshness_.revisionApplied(state_.revision);
    publishView();
    publishFreshness();
}

// Logs the orders and withdrawals by which a newer state differs from the current one.
void SiteEntry::logEvacuations(const core::SiteData &next)
{
    const auto log = [&](std::string_view order, const core::DataCentreId &dataCentre,
                         std::int64_t orderedAtMs) {
        LogLine(log_, LogKind::Evacuation)
                .add("event", order)
                .add("data_centre", dataCentre.value())
                .add("since_ms", orderedAtMs)
                .add("revision", static_cast<std::int64_t>(next.revision));
    };
    for (const auto &[dataCentre, orderedAtMs] : next.evacuations) {
        const auto current = state_.evacuations.find(dataCentre);
        if (current == state_.evacuations.end() || current->second != orderedAtMs)
            log("started", dataCentre, orderedAtMs);
    }
    for (const auto &[dataCentre, orderedAtMs] : state_.evacuations) {
        if (!next.evacuations.contains(dataCentre))
            log("finished", dataCentre, orderedAtMs);
    }
}

void SiteEntry::handleMessage(const core::VmId &vm, const core::EndpointUpdate &message)
{
    bool hasChanged = false;
    for (const core::EndpointRecord &record : message.records) {
        if (registry_.apply(record, clock_.now()) != core::RegistryChange::Changed)
            continue;
        hasChanged = true;
        LogLine(log_, LogKind::Endpoint)
                .add("endpoint", record.id.value())
                .add("address", record.address)
                .add("state", record.unresponsive ? "silent" : core::nameOf(record.state))
                .add("sequence", static_cast<std::int64_t>(record.sequence))
                .add("from", vm.value());
    }
    if (hasChanged)
        publishView();
}

void SiteEntry::handleMessage(const core::VmId & /*vm*/, const core::RelayList &message)
{
    if (message.relays == relays_)
        return;
    relays_ = message.relays;
    outputs_.relaysChanged(relays_);
}

void SiteEntry::publishView()
{
    auto view = std::make_shared<core::SiteView>();
    view->revision = state_.revision;
    view->table = table_;
    view->rollouts = state_.rollouts;
    view->evacuations = state_.evacuations;
    for (core::EndpointRecord &record : registry_.all()) {
        if (record.state != core::EndpointRecordState::Removed)
            view->endpoints[record.service].push_back(std::move(record));
    }
    outputs_.viewChanged(std::move(view));
}

// Only the leader's records are complete: another control VM may be partitioned from the endpoints.
void SiteEntry::dropObsoleteEndpoints()
{
    const auto leader = controlPeers_.find(leader_);
    if (leader == controlPeers_.end())
        return;
    const core::Instant now = clock_.now();
    const core::Instant connectedAt = leader->second.connectedAt;
    const std::vector<core::EndpointRecord> dropped =
            registry_.dropObsolete(now, connectedAt, kRecordRetention);
    for (const core::EndpointRecord &record : dropped) {
        LogLine(log_, LogKind::Endpoint)
                .add("endpoint", record.id.value())
                .add("address", record.address)
                .add("state", "dropped")
                .add("unresponsive", record.unresponsive ? "yes" : "no")
                .add("sequence", static_cast<std::int64_t>(record.sequence))
                .add("leader", leader_.value())
                .add("link_age_ms", core::toMillis(now - connectedAt));
    }
    if (!dropped.empty())
        publishView();
}

void SiteEntry::publishFreshness()
{
    const core::Instant until = freshness_.validUntil();
    const core::Instant now = clock_.now();
    outputs_.freshUntilChanged(until);
    const bool isFresh = now < until;
    if (isFresh == wasFresh_)
        return;
    wasFresh_ = isFresh;
    LogLine(log_, LogKind::Freshness)
            .add("current", isFresh ? "yes" : "no")
            .add("revision", static_cast<std::int64_t>(state_.revision))
            .add("leader", leader_.value());
}

bool SiteEntry::isReady() const
{
    return table_ && clock_.now() < freshness_.validUntil();
}

bool SiteEntry::isRolloutRunning() const
{
    return std::any_of(state_.rollouts.begin(), state_.rollouts.end(),
                       [](const auto &rollout) { return !rollout.second.isFinal(); });
}

void SiteEntry::setIsolated(bool isolated)
{
    if (std::exchange(isolated_, isolated) != isolated)
        sendProbes();
}

void SiteEntry::sendToLeader(const core::SiteMessage &report)
{
    const auto leader = controlPeers_.find(leader_);
    if (leader != controlPeers_.end())
        leader->second.link->send(net::encodeMessage(report));
}

void SiteEntry::sendToHome(const core::SiteMessage &report)
{
    const core::Instant now = clock_.now();
    std::vector<core::HomeCandidate> candidates;
    for (const auto &[vm, peer] : controlPeers_) {
        if (peer.link->isOpen() && now - peer.lastReceivedAt < kLinkTimeout)
            candidates.push_back({vm, peer.isSameRegion});
    }
    const std::optional<core::VmId> home = core::chooseHome(settings_.vm, candidates);
    if (!home)
        return;
    if (*home != home_) {
        LogLine(log_, LogKind::Link)
                .add("event", "home")
                .add("peer", home->value())
                .add("previous", home_.value())
                .add("candidates", static_cast<std::int64_t>(candidates.size()));
        home_ = *home;
    }
    controlPeers_[home_].link->send(net::encodeMessage(report));
}

std::string SiteEntry::metrics() const
{
    std::size_t open = 0;
    for (const auto &[vm, peer] : controlPeers_)
        open += peer.link->isOpen() ? 1 : 0;
    return fmt::format("fireflyroute_site_revision {}\nfireflyroute_site_has_config {}\n"
                       "fireflyroute_site_config_version {}\n"
                       "fireflyroute_entry_ready {}\nfireflyroute_entry_control_links {}\n"
                       "fireflyroute_entry_state_updates_total {}\n"
                       "fireflyroute_entry_state_bytes_total {}\n"
                       "fireflyroute_entry_isolated {}\nfireflyroute_entry_relays {}\n"
                       "fireflyroute_entry_evacuations {}\n"
                       "fireflyroute_log_lines_dropped_total {}\n",
                       state_.revision, state_.document ? 1 : 0,
                       state_.documentVersion().value_or(0), isReady() ? 1 : 0, open, stateUpdates_,
                       stateBytes_, isolated_ ? 1 : 0, relays_.size(), state_.evacuations.size(),
                       log_.droppedTotal());
}

} // namespace fireflyroute::app
