// The control role of a site.

#include "app/site_control.h"

#include "net/address.h"
#include "net/site_codec.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace fireflyroute::app {

namespace asio = boost::asio;

namespace {

// Heartbeats may be delayed by seconds, so an endpoint is considered unresponsive only after
// several missed ones.
constexpr std::chrono::milliseconds kHeartbeatTimeout{5000};

// How long records of deregistered and unresponsive endpoints are kept, so that delayed reports
// about them are recognised.
constexpr std::chrono::seconds kRecordRetention{60};

constexpr std::chrono::milliseconds kExpiryPeriod{500};
constexpr std::chrono::milliseconds kRolloutEvaluationPeriod{200};
constexpr std::chrono::milliseconds kRolloutLogPeriod{1000};
constexpr std::chrono::milliseconds kCrashEvaluationPeriod{100};

// How long reported work counts. Covers several report intervals.
constexpr std::chrono::milliseconds kWorkReportLifetime{1000};

// Interval of the sums of work that control VMs send each other.
constexpr std::chrono::milliseconds kWorkRelayPeriod{100};

// How long updates of entries are collected before they are forwarded.
constexpr std::chrono::milliseconds kUpdateRelayPeriod{50};

// How often entries get new lists of relays at most, if there are changes.
constexpr std::chrono::milliseconds kRelayUpdatePeriod{200};

// How long an entry's report of its path to the endpoints counts. Covers several probes.
constexpr std::chrono::milliseconds kPathReportLifetime{1600};

// Delay before the process exits after a storage failure. The process is restarted immediately, so
// without a delay it could restart in a tight loop.
constexpr std::chrono::milliseconds kStorageExitDelay{700};

} // namespace

Result<std::unique_ptr<SiteControl>>
SiteControl::open(asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
{
    std::unique_ptr<SiteControl> control(new SiteControl(io, settings, log));
    SiteControl *self = control.get();
    ReplicaHooks hooks;
    hooks.apply = [self](const std::string &payload) { self->apply(payload); };
    hooks.load = [self](const std::string &state) {
        const net::Result<core::SiteData> data = net::decodeSiteData(state);
        if (!data) {
            LogLine(self->log_, LogKind::Process).add("event", "bad_snapshot");
            std::_Exit(kExitStorage);
        }
        self->state_ = core::SiteState(data.value());
        self->announceState();
    };
    hooks.save = [self] { return net::encodeSiteData(self->state_.data()); };
    hooks.send = [self](const core::ReplicaMessage &message) { self->send(message); };
    hooks.roleChanged = [self](const core::RoleChanged &changed) { self->onRoleChanged(changed); };
    hooks.membershipChanged = [self](const core::Membership &membership) {
        LogLine(self->log_, LogKind::Group).add("members", core::describe(membership));
        self->connectControlVms();
    };
    hooks.failed = [self](const std::string &detail) {
        LogLine(self->log_, LogKind::Process).add("event", "stop").add("cause", detail);
        std::this_thread::sleep_for(kStorageExitDelay);
        std::_Exit(kExitStorage);
    };
    ReplicaSettings replica;
    replica.folder = settings.dataFolder;
    replica.self = settings.vm;
    replica.seeds = settings.seedVms();
    replica.mayCreateGroup = settings.firstStart;
    replica.toleratedLosses = settings.toleratedLosses;
    BOOST_OUTCOME_TRY(driver, ReplicaDriver::open(io, replica, std::move(hooks)));
    control->driver_ = std::move(driver);
    return control;
}

SiteControl::SiteControl(asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
    : io_(io)
    , settings_(settings)
    , log_(log)
    , workExchange_(kWorkReportLifetime)
    , relayDirectory_(settings.regions, kPathReportLifetime)
{}

Result<void> SiteControl::start()
{
    net::FrameHandlers handlers;
    handlers.onFrame = [this](net::FrameLink &link, std::string_view frame) {
        onFrame(link, frame);
    };
    handlers.onDisconnected = [this](net::FrameLink &link) { onDisconnected(link); };
    const net::Result<void> listening =
            net::acceptLinks(io_, settings_.linkAddress(settings_.vm), handlers,
                             [this](const std::shared_ptr<net::FrameLink> &link) {
                                 incomingLinks_[link.get()].link = link;
                             });
    if (!listening)
        return fromNet(listening.error());
    driver_->start();
    connectControlVms();
    runEvery(kExpiryPeriod, [this] { expireSoftState(); });
    runEvery(kRolloutEvaluationPeriod, [this] { evaluateRollouts(); });
    runEvery(kRolloutLogPeriod, [this] { logRollouts(); });
    runEvery(kWorkRelayPeriod, [this] { relayWork(); });
    runEvery(kUpdateRelayPeriod, [this] { relayUpdates(); });
    runEvery(kCrashEvaluationPeriod, [this] { evaluateCrashes(); });
    runEvery(kRelayUpdatePeriod, [this] { evaluateRelays(); });
    return core::outcome::success();
}

void SiteControl::runEvery(std::chrono::milliseconds period, const std::function<void()> &task)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timers_.push_back(timer);
    const auto scheduleNext = std::make_shared<std::function<void()>>();
    *scheduleNext = [timer, period, task, weak = std::weak_ptr(scheduleNext)] {
        timer->expires_after(period);
        timer->async_wait([task, locked = weak.lock()](const boost::system::error_code &error) {
            if (error || !locked)
                return;
            task();
            (*locked)();
        });
    };
    (*scheduleNext)();
}

// --- Calls ---------------------------------------------------------------------------------------

void SiteControl::call(const core::ControlCall &call, AnswerCallback callback)
{
    std::visit([&](const auto &typed) { handleCall(typed, callback); }, call);
}

core::ControlAnswer SiteControl::notLeaderAnswer() const
{
    const std::optional<core::ReplicaId> &leader = driver_->replica().leader();
    core::ControlAnswer answer;
    if (!leader || leader->vm == settings_.vm) {
        answer.problem = "no leader is known";
        return answer;
    }
    answer.status = core::ControlStatus::Redirect;
    const std::string &localAddress = settings_.controlAddress;
    answer.address = leader->vm.value() + localAddress.substr(localAddress.rfind(':'));
    return answer;
}

void SiteControl::propose(const core::SiteCommand &command, const std::string &description,
                          const AnswerCallback &callback)
{
    if (!driver_->isLeader()) {
        callback(notLeaderAnswer());
        return;
    }
    const core::Instant startedAt = clock_.now();
    driver_->propose(net::encodeCommand(command),
                     [this, description, callback, startedAt](core::ProposalOutcome outcome) {
                         LogLine(log_, LogKind::Config)
                                 .add("order", description)
                                 .add("outcome", core::nameOf(outcome))
                                 .add("took_ms", core::toMillis(clock_.now() - startedAt));
                         core::ControlAnswer answer;
                         if (outcome == core::ProposalOutcome::Committed)
                             answer.status = core::ControlStatus::Done;
                         else
                             answer.problem = core::nameOf(outcome);
                         callback(answer);
                     });
}

void SiteControl::handleCall(const core::ReplaceConfigCall &call, const AnswerCallback &callback)
{
    const core::ConfigDocument &current = state_.data().document;
    if (driver_->isLeader() && call.document.version <= current.version) {
        LogLine(log_, LogKind::Config)
                .add("order", fmt::format("config {}", call.document.version))
                .add("outcome", "known")
                .add("held_version", static_cast<std::int64_t>(current.version));
        core::ControlAnswer answer;
        answer.status = core::ControlStatus::Done;
        callback(answer);
        return;
    }
    propose(core::PutDocument{call.document}, fmt::format("config {}", call.document.version),
            callback);
}

void SiteControl::handleCall(const core::ReadConfigCall & /*call*/, const AnswerCallback &callback)
{
    if (!driver_->hasLease()) {
        callback(notLeaderAnswer());
        return;
    }
    core::ControlAnswer answer;
    const core::ConfigDocument &document = state_.data().document;
    if (document.version != 0) {
        answer.status = core::ControlStatus::Done;
        answer.document = document.bytes;
    }
    callback(answer);
}

void SiteControl::handleCall(const core::StartRolloutCall &call, const AnswerCallback &callback)
{
    core::SiteRollout rollout;
    rollout.service = call.service;
    rollout.target = call.target;
    rollout.durationMs = call.durationMs;
    rollout.orderedAtMs = clock_.wallNow().time_since_epoch().count();
    propose(core::StartSiteRollout{rollout},
            fmt::format("rollout {} to {}", call.service.value(), call.target.value()), callback);
}

void SiteControl::handleCall(const core::ReadRolloutCall &call, const AnswerCallback &callback)
{
    if (!driver_->hasLease()) {
        callback(notLeaderAnswer());
        return;
    }
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::NotFound;
    const auto found = state_.data().rollouts.find(call.service);
    if (found != state_.data().rollouts.end()) {
        answer.status = core::ControlStatus::Done;
        answer.rollout = found->second;
    }
    callback(answer);
}

void SiteControl::handleCall(const core::HeartbeatCall &call, const AnswerCallback &callback)
{
    ++heartbeats_;
    publishRecord(call.record, registry_.apply(call.record, clock_.now()), true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    callback(answer);
}

void SiteControl::handleCall(const core::DeregisterCall &call, const AnswerCallback &callback)
{
    const core::RegistryChange change =
            registry_.deregister(call.id, call.startedAtMs, clock_.now());
    if (const core::EndpointRecord *record = registry_.find(call.id))
        publishRecord(*record, change, true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    callback(answer);
}

void SiteControl::handleCall(const core::InvalidCall &call, const AnswerCallback &callback)
{
    LogLine(log_, LogKind::Config).add("order", "invalid").add("problem", call.problem);
    core::ControlAnswer answer;
    answer.status = call.isUnknown ? core::ControlStatus::NotFound : core::ControlStatus::Invalid;
    answer.problem = call.problem;
    callback(answer);
}

// --- Endpoints -----------------------------------------------------------------------------------

// Forwards each report of an endpoint to all control VMs, so that each of them can detect missing
// heartbeats. Entries receive changes only.
void SiteControl::publishRecord(const core::EndpointRecord &record, core::RegistryChange change,
                                bool fromEndpoint)
{
    if (change == core::RegistryChange::Outdated)
        return;
    const core::EndpointUpdate update{{record}};
    if (fromEndpoint)
        sendToControlVms(update);
    if (change != core::RegistryChange::Changed)
        return;
    LogLine(log_, LogKind::Endpoint)
            .add("endpoint", record.id.value())
            .add("service", record.service.value())
            .add("address", record.address)
            .add("version", record.version.value())
            .add("state", record.unresponsive ? "silent" : core::nameOf(record.state))
            .add("born_ms", static_cast<std::int64_t>(record.startedAtMs))
            .add("sequence", static_cast<std::int64_t>(record.sequence));
    sendToEntries(update);
}

// Only the leader publishes missing heartbeats: a control VM that is partitioned misses all
// heartbeats.
void SiteControl::expireSoftState()
{
    connectControlVms();
    const std::vector<core::EndpointRecord> timedOut =
            registry_.expire(clock_.now(), kHeartbeatTimeout, kRecordRetention);
    if (!driver_->hasLease())
        return;
    for (const core::EndpointRecord &record : timedOut)
        publishRecord(record, core::RegistryChange::Changed, false);
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

// --- Links ---------------------------------------------------------------------------------------

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

void SiteControl::handleMessage(Peer &peer, const core::Handshake &message)
{
    peer.vm = message.vm;
    peer.isEntry = message.isEntry;
    peer.dataCentre = message.dataCentre;
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
    peer.link->send(net::encodeMessage(reply));
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

void SiteControl::handleMessage(Peer &peer, const core::CrashReport &message)
{
    const core::Instant now = clock_.now();
    for (const core::EndpointCrash &crash : message.crashes) {
        LogLine(log_, LogKind::Quarantine)
                .add("event", "crash")
                .add("endpoint", crash.endpoint.value())
                .add("born_ms", static_cast<std::int64_t>(crash.startedAtMs))
                .add("from", peer.vm.value())
                .add("traits", core::describe(crash.traits));
        crashAttribution_.recordCrash(crash, now);
    }
    crashAttribution_.recordAnswers(message, now);
    for (const core::QuarantinedTrait &quarantined : message.quarantined)
        crashAttribution_.recordQuarantined(quarantined, now);
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
            link.send(
                    net::encodeMessage(core::Handshake{settings_.vm, false, settings_.dataCentre}));
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

void SiteControl::reload(const SiteSettings &settings)
{
    settings_.seeds = settings.seeds;
    driver_->setSeeds(settings_.seedVms());
    connectControlVms();
}

void SiteControl::transferLeadership()
{
    driver_->transferLeadership();
}

// --- State ---------------------------------------------------------------------------------------

void SiteControl::apply(const std::string &payload)
{
    const net::Result<core::SiteCommand> command = net::decodeCommand(payload);
    if (!command) {
        LogLine(log_, LogKind::Process).add("event", "bad_log_entry");
        std::_Exit(kExitStorage);
    }
    ++appliedCommands_;
    state_.apply(command.value());
    announceState();
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

void SiteControl::onRoleChanged(const core::RoleChanged &changed)
{
    LogLine(log_, LogKind::Group)
            .add("role", core::nameOf(changed.role))
            .add("term", static_cast<std::int64_t>(changed.term))
            .add("leader", changed.leader ? changed.leader->vm.value() : std::string());
    if (changed.role == core::ReplicaRole::Leader) {
        rolloutEvaluator_ = core::RolloutJudge();
        crashAttribution_ = core::CrashAttribution();
        relayDirectory_.forgetLists();
    }
}

void SiteControl::evaluateRollouts()
{
    if (!driver_->hasLease())
        return;
    for (const core::SetRolloutStage &transition :
         rolloutEvaluator_.step(state_.data(), clock_.now(), clock_.wallNow())) {
        LogLine(log_, LogKind::Rollout)
                .add("service", transition.service.value())
                .add("stage", core::nameOf(transition.stage))
                .add("evidence", rolloutEvaluator_.describe(transition.service));
        propose(transition, fmt::format("rollout {}", transition.service.value()),
                [](const core::ControlAnswer &) {});
    }
}

void SiteControl::logRollouts()
{
    if (!driver_->hasLease())
        return;
    for (const auto &[service, rollout] : state_.data().rollouts) {
        if (rollout.isFinal())
            continue;
        LogLine(log_, LogKind::Rollout)
                .add("service", service.value())
                .add("stage", core::nameOf(rollout.stage))
                .add("target", rollout.target.value())
                .add("evidence", rolloutEvaluator_.describe(service));
    }
}

void SiteControl::evaluateCrashes()
{
    const core::Instant now = clock_.now();
    if (!driver_->hasLease() || !crashAttribution_.update(now))
        return;
    const core::QuarantineState state = crashAttribution_.state(now);
    LogLine(log_, LogKind::Quarantine)
            .add("event", "changed")
            .add("watched", core::describe(state.watched))
            .add("quarantined", core::describe(state.quarantined));
    sendToEntries(state);
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

std::string SiteControl::metrics() const
{
    const core::Replica &replica = driver_->replica();
    std::string text;
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text += fmt::format("fireflyroute_{} {}\n", name, value);
    };
    gauge("control_leader", driver_->isLeader() ? 1 : 0);
    gauge("control_lease", driver_->hasLease() ? 1 : 0);
    gauge("control_term", replica.term());
    gauge("control_commit_index", replica.commitIndex());
    gauge("control_members", replica.membership().members.size());
    gauge("control_voters", core::voterCount(replica.membership()));
    gauge("control_commands_total", appliedCommands_);
    gauge("control_heartbeats_total", heartbeats_);
    gauge("control_links_accepted", incomingLinks_.size());
    gauge("control_endpoints", registry_.all().size());
    gauge("control_quarantined", crashAttribution_.state(clock_.now()).quarantined.size());
    gauge("control_entries_isolated", relayDirectory_.isolatedCount());
    gauge("control_relay_lists_sent_total", relayListsSent_);
    gauge("control_update_bytes_to_entries_total", updateBytesToEntries_);
    gauge("control_update_bytes_to_control_vms_total", updateBytesToControlVms_);
    gauge("control_work_bytes_to_entries_total", workBytesToEntries_);
    gauge("control_work_bytes_to_control_vms_total", workBytesToControlVms_);
    gauge("control_prompts_dropped_total", updateRelay_.droppedPrompts());
    gauge("site_revision", state_.data().revision);
    gauge("site_config_version", state_.data().document.version);
    gauge("log_lines_dropped_total", log_.droppedTotal());
    return text;
}

} // namespace fireflyroute::app
