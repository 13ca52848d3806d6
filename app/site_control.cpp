// Control VMs of a site.

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

// Heartbeats may come seconds late, so silence is believed only after some of them.
constexpr std::chrono::milliseconds kSilence{5000};

// How long ended and silent endpoints are remembered, so that late reports of them are known.
constexpr std::chrono::seconds kRetention{60};

constexpr std::chrono::milliseconds kExpirePeriod{500};
constexpr std::chrono::milliseconds kJudgePeriod{200};

// Work that an entry reported counts for some of its reports.
constexpr std::chrono::milliseconds kWorkLifetime{1000};

// The pause before a process ends for a failed disk: it is started again at once.
constexpr std::chrono::milliseconds kStorageRetry{700};

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
        self->changedAt_ = self->clock_.now();
        self->publishState();
    };
    hooks.save = [self] { return net::encodeSiteData(self->state_.data()); };
    hooks.send = [self](const core::ReplicaMessage &message) { self->send(message); };
    hooks.roleChanged = [self](const core::RoleChanged &changed) { self->onRole(changed); };
    hooks.membershipChanged = [self](const core::Membership &membership) {
        LogLine(self->log_, LogKind::Group).add("members", core::describe(membership));
        self->connectMembers();
    };
    hooks.failed = [self](const std::string &detail) {
        LogLine(self->log_, LogKind::Process).add("event", "stop").add("cause", detail);
        std::this_thread::sleep_for(kStorageRetry);
        std::_Exit(kExitStorage);
    };
    ReplicaSettings replica;
    replica.folder = settings.dataFolder;
    replica.self = settings.vm;
    replica.seeds = settings.seedVms();
    replica.mayFound = settings.firstStart;
    replica.tolerated = settings.toleratedLosses;
    BOOST_OUTCOME_TRY(driver, ReplicaDriver::open(io, replica, std::move(hooks)));
    control->driver_ = std::move(driver);
    return control;
}

SiteControl::SiteControl(asio::io_context &io, const SiteSettings &settings, StructuredLog &log)
    : io_(io)
    , settings_(settings)
    , log_(log)
    , exchange_(kWorkLifetime)
{}

Result<void> SiteControl::start()
{
    net::FrameHandlers handlers;
    handlers.frame = [this](net::FrameLink &link, std::string_view frame) { onFrame(link, frame); };
    handlers.lost = [this](net::FrameLink &link) { accepted_.erase(&link); };
    const net::Result<void> listening =
            net::acceptLinks(io_, settings_.linkAddress(settings_.vm), handlers,
                             [this](const std::shared_ptr<net::FrameLink> &link) {
                                 accepted_[link.get()].link = link;
                             });
    if (!listening)
        return fromNet(listening.error());
    driver_->start();
    connectMembers();
    every(kExpirePeriod, [this] { expireSoftState(); });
    every(kJudgePeriod, [this] { judgeRollouts(); });
    return core::outcome::success();
}

void SiteControl::every(std::chrono::milliseconds period, const std::function<void()> &task)
{
    const auto timer = std::make_shared<asio::steady_timer>(io_);
    timers_.push_back(timer);
    const auto arm = std::make_shared<std::function<void()>>();
    *arm = [timer, period, task, weak = std::weak_ptr(arm)] {
        timer->expires_after(period);
        timer->async_wait([task, held = weak.lock()](const boost::system::error_code &error) {
            if (error || !held)
                return;
            task();
            (*held)();
        });
    };
    (*arm)();
}

// --- Calls ---------------------------------------------------------------------------------------

void SiteControl::call(const core::ControlCall &call, Answered answered)
{
    std::visit([&](const auto &typed) { answer(typed, answered); }, call);
}

core::ControlAnswer SiteControl::notLeader() const
{
    const std::optional<core::ReplicaId> &leader = driver_->replica().leader();
    core::ControlAnswer answer;
    if (!leader || leader->vm == settings_.vm) {
        answer.problem = "no leader is known";
        return answer;
    }
    answer.status = core::ControlStatus::Elsewhere;
    const std::string &own = settings_.controlAddress;
    answer.address = leader->vm.value() + own.substr(own.rfind(':'));
    return answer;
}

void SiteControl::propose(const core::SiteCommand &command, const std::string &what,
                          const Answered &answered)
{
    if (!driver_->isLeader()) {
        answered(notLeader());
        return;
    }
    const core::Instant began = clock_.now();
    driver_->propose(net::encodeCommand(command),
                     [this, what, answered, began](core::ProposalOutcome outcome) {
                         LogLine(log_, LogKind::Config)
                                 .add("order", what)
                                 .add("outcome", core::nameOf(outcome))
                                 .add("took_ms", core::toMillis(clock_.now() - began));
                         core::ControlAnswer answer;
                         if (outcome == core::ProposalOutcome::Committed)
                             answer.status = core::ControlStatus::Done;
                         else
                             answer.problem = core::nameOf(outcome);
                         answered(answer);
                     });
}

void SiteControl::answer(const core::ReplaceConfigCall &call, const Answered &answered)
{
    const core::ConfigDocument &known = state_.data().document;
    if (driver_->isLeader() && call.document.version <= known.version) {
        LogLine(log_, LogKind::Config)
                .add("order", fmt::format("config {}", call.document.version))
                .add("outcome", "known")
                .add("held_version", static_cast<std::int64_t>(known.version));
        core::ControlAnswer answer;
        answer.status = core::ControlStatus::Done;
        answered(answer);
        return;
    }
    propose(core::PutDocument{call.document}, fmt::format("config {}", call.document.version),
            answered);
}

void SiteControl::answer(const core::ReadConfigCall & /*call*/, const Answered &answered)
{
    if (!driver_->hasLease()) {
        answered(notLeader());
        return;
    }
    core::ControlAnswer answer;
    const core::ConfigDocument &document = state_.data().document;
    if (document.version != 0) {
        answer.status = core::ControlStatus::Done;
        answer.document = document.bytes;
    }
    answered(answer);
}

void SiteControl::answer(const core::StartRolloutCall &call, const Answered &answered)
{
    core::Rollout rollout;
    rollout.service = call.service;
    rollout.target = call.target;
    rollout.durationMs = call.durationMs;
    rollout.orderedAtMs = clock_.wallNow().time_since_epoch().count();
    propose(core::StartRollout{rollout},
            fmt::format("rollout {} to {}", call.service.value(), call.target.value()), answered);
}

void SiteControl::answer(const core::ReadRolloutCall &call, const Answered &answered)
{
    if (!driver_->hasLease()) {
        answered(notLeader());
        return;
    }
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::NotFound;
    const auto found = state_.data().rollouts.find(call.service);
    if (found != state_.data().rollouts.end()) {
        answer.status = core::ControlStatus::Done;
        answer.rollout = found->second;
    }
    answered(answer);
}

void SiteControl::answer(const core::HeartbeatCall &call, const Answered &answered)
{
    ++heartbeats_;
    noteRecord(call.record, registry_.apply(call.record, clock_.now()), true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    answered(answer);
}

void SiteControl::answer(const core::LeaveCall &call, const Answered &answered)
{
    const core::RegistryChange change = registry_.leave(call.id, call.bornMs, clock_.now());
    if (const core::EndpointRecord *record = registry_.find(call.id))
        noteRecord(*record, change, true);
    core::ControlAnswer answer;
    answer.status = core::ControlStatus::Done;
    answered(answer);
}

void SiteControl::answer(const core::InvalidCall &call, const Answered &answered)
{
    LogLine(log_, LogKind::Config).add("order", "invalid").add("problem", call.problem);
    core::ControlAnswer answer;
    answer.status = call.isUnknown ? core::ControlStatus::NotFound : core::ControlStatus::Invalid;
    answer.problem = call.problem;
    answered(answer);
}

// --- Endpoints -----------------------------------------------------------------------------------

// Every control VM hears each report, so that silence is judged on all of them; entries hear what
// is new.
void SiteControl::noteRecord(const core::EndpointRecord &record, core::RegistryChange change,
                             bool fromEndpoint)
{
    if (change == core::RegistryChange::Outdated)
        return;
    const core::EndpointUpdate update{{record}};
    if (fromEndpoint)
        toControlVms(update);
    if (change != core::RegistryChange::Changed)
        return;
    LogLine(log_, LogKind::Endpoint)
            .add("endpoint", record.id.value())
            .add("service", record.service.value())
            .add("address", record.address)
            .add("version", record.version.value())
            .add("state", record.silent ? "silent" : core::nameOf(record.state))
            .add("born_ms", static_cast<std::int64_t>(record.bornMs))
            .add("sequence", static_cast<std::int64_t>(record.sequence));
    toEntries(update);
}

// Only the leader tells of silence: a control VM that is cut off hears nothing either.
void SiteControl::expireSoftState()
{
    connectMembers();
    const std::vector<core::EndpointRecord> silent =
            registry_.expire(clock_.now(), kSilence, kRetention);
    if (!driver_->hasLease())
        return;
    for (const core::EndpointRecord &record : silent)
        noteRecord(record, core::RegistryChange::Changed, false);
}

void SiteControl::toEntries(const core::SiteMessage &message)
{
    const std::string bytes = net::encodeMessage(message);
    for (auto &[link, peer] : accepted_) {
        if (peer.isEntry)
            peer.link->send(bytes);
    }
}

void SiteControl::toControlVms(const core::SiteMessage &message)
{
    const std::string bytes = net::encodeMessage(message);
    for (auto &[vm, link] : dialled_)
        link->send(bytes);
}

// --- Links ---------------------------------------------------------------------------------------

void SiteControl::onFrame(net::FrameLink &link, std::string_view frame)
{
    const auto peer = accepted_.find(&link);
    if (peer == accepted_.end())
        return;
    const net::Result<core::SiteMessage> message = net::decodeMessage(frame);
    if (!message) {
        LogLine(log_, LogKind::Link).add("event", "malformed").add("peer", peer->second.vm.value());
        link.reset();
        return;
    }
    std::visit([&](const auto &typed) { take(peer->second, typed); }, message.value());
}

void SiteControl::take(Peer &peer, const core::Greeting &message)
{
    peer.vm = message.vm;
    peer.isEntry = message.isEntry;
    LogLine(log_, LogKind::Link)
            .add("event", "regained")
            .add("peer", peer.vm.value())
            .add("peer_role", core::nameOf(peer.isEntry ? Role::Entry : Role::Control));
    if (!peer.isEntry)
        return;
    peer.feed = core::StateFeed(isNear(message.dataCentre));
    core::EndpointUpdate update{registry_.all()};
    // Without a lease this VM may be the one that hears nothing.
    if (!driver_->hasLease()) {
        for (core::EndpointRecord &record : update.records)
            record.silent = false;
    }
    peer.link->send(net::encodeMessage(update));
}

void SiteControl::take(Peer &peer, const core::CurrencyProbe &message)
{
    core::CurrencyReply reply;
    reply.nonce = message.nonce;
    reply.newest = state_.data().revision;
    reply.authoritative = driver_->hasLease();
    for (const core::Member &member : driver_->replica().membership().members)
        reply.controlVms.push_back(member.id.vm);
    peer.feed.holds(message.revision, message.documentVersion);
    const auto update =
            peer.feed.onProbe(state_.data(), reply.authoritative, changedAt_, clock_.now());
    if (update)
        peer.link->send(net::encodeMessage(*update));
    peer.link->send(net::encodeMessage(reply));
}

void SiteControl::take(Peer & /*peer*/, const core::EndpointUpdate &message)
{
    for (const core::EndpointRecord &record : message.records)
        noteRecord(record, registry_.apply(record, clock_.now()), false);
}

void SiteControl::take(Peer &peer, const core::OutcomeReport &message)
{
    judge_.observe(peer.vm, message, clock_.now());
}

// The answer goes out at once: an entry learns what the others have sent as often as it reports.
void SiteControl::take(Peer &peer, const core::WorkReport &message)
{
    const core::Instant now = clock_.now();
    exchange_.receive(peer.vm, message, now);
    peer.link->send(net::encodeMessage(exchange_.othersOf(peer.vm, now)));
}

// To all entries but the one that told it.
void SiteControl::take(Peer &peer, const core::EntryNews &message)
{
    const std::string bytes = net::encodeMessage(message);
    for (auto &[link, other] : accepted_) {
        if (other.isEntry && &other != &peer)
            other.link->send(bytes);
    }
}

void SiteControl::take(Peer & /*peer*/, const core::ReplicaMessage &message)
{
    // The sender can be answered over an own link only, and may be unknown: a leader to a VM that
    // has lost its disk, or a VM that asks to join.
    const core::VmId &from = message.from.vm;
    directory_.heardOf(from, clock_.now());
    if (!dialled_.contains(from))
        connectMembers();
    driver_->receive(message);
}

void SiteControl::send(const core::ReplicaMessage &message)
{
    const auto found = dialled_.find(message.to.vm);
    if (found != dialled_.end())
        found->second->send(net::encodeMessage(message));
}

// Dials wanted control VMs that have no link yet, and lets go of the others.
void SiteControl::connectMembers()
{
    std::vector<core::VmId> members;
    for (const core::Member &member : driver_->replica().membership().members)
        members.push_back(member.id.vm);
    directory_.setMembers(members);
    directory_.setSeeds(settings_.seedVms());
    std::set<core::VmId> wanted = directory_.wanted(clock_.now());
    wanted.erase(settings_.vm);
    for (auto it = dialled_.begin(); it != dialled_.end();) {
        if (!wanted.contains(it->first)) {
            it->second->stop();
            it = dialled_.erase(it);
        } else {
            ++it;
        }
    }
    for (const core::VmId &vm : wanted) {
        if (dialled_.contains(vm))
            continue;
        const auto address = net::parseAddress(settings_.linkAddress(vm));
        if (!address)
            continue;
        net::FrameHandlers handlers;
        handlers.frame = [](net::FrameLink &, std::string_view) {};
        handlers.opened = [this](net::FrameLink &link) {
            link.send(
                    net::encodeMessage(core::Greeting{settings_.vm, false, settings_.dataCentre}));
            link.send(net::encodeMessage(core::EndpointUpdate{registry_.all()}));
        };
        handlers.lost = [this, vm](net::FrameLink &) {
            LogLine(log_, LogKind::Link).add("event", "lost").add("peer", vm.value());
        };
        const auto link = std::make_shared<net::FrameLink>(io_, handlers);
        dialled_.emplace(vm, link);
        link->dial(address.value());
    }
}

void SiteControl::reload(const SiteSettings &settings)
{
    settings_.seeds = settings.seeds;
    connectMembers();
}

void SiteControl::leave()
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
    ++commits_;
    state_.apply(command.value());
    changedAt_ = clock_.now();
    publishState();
}

// Sends the state to the entries that get it from here, soon. A burst of changes makes one message
// for each pause.
void SiteControl::publishState()
{
    if (publishing_)
        return;
    publishing_ = true;
    asio::post(io_, [this] {
        publishing_ = false;
        bool isBehind = false;
        for (auto &[link, peer] : accepted_) {
            if (const auto update = peer.feed.onChange(state_.data(), clock_.now()))
                peer.link->send(net::encodeMessage(*update));
            isBehind = isBehind || peer.feed.isDue(state_.data());
        }
        if (!isBehind)
            return;
        publishing_ = true;
        const auto timer = std::make_shared<asio::steady_timer>(io_, core::StateFeed::kPause);
        timer->async_wait([this, timer](const boost::system::error_code &) {
            publishing_ = false;
            publishState();
        });
    });
}

bool SiteControl::isNear(const core::DataCentreId &dataCentre) const
{
    return core::isSameRegion(settings_.regions, settings_.dataCentre, dataCentre);
}

void SiteControl::onRole(const core::RoleChanged &changed)
{
    LogLine(log_, LogKind::Group)
            .add("role", core::nameOf(changed.role))
            .add("term", static_cast<std::int64_t>(changed.term))
            .add("leader", changed.leader ? changed.leader->vm.value() : std::string());
    if (changed.role == core::ReplicaRole::Leader)
        judge_ = core::RolloutJudge();
}

void SiteControl::judgeRollouts()
{
    if (!driver_->hasLease())
        return;
    for (const core::MoveRollout &move :
         judge_.step(state_.data(), clock_.now(), clock_.wallNow())) {
        LogLine(log_, LogKind::Rollout)
                .add("service", move.service.value())
                .add("stage", core::nameOf(move.stage))
                .add("evidence", judge_.describe(move.service));
        propose(move, fmt::format("rollout {}", move.service.value()),
                [](const core::ControlAnswer &) {});
    }
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
    gauge("control_commands_total", commits_);
    gauge("control_heartbeats_total", heartbeats_);
    gauge("control_links_accepted", accepted_.size());
    gauge("control_endpoints", registry_.all().size());
    gauge("site_revision", state_.data().revision);
    gauge("site_config_version", state_.data().document.version);
    gauge("log_lines_dropped_total", log_.dropped());
    return text;
}

} // namespace fireflyroute::app
