// The control role.

#include "app/control_vm.h"

#include "app/settings.h"
#include "core/ledger/claim_sweep.h"
#include "net/control_json.h"
#include "net/replication_json.h"
#include "net/snapshot_json.h"
#include "net/text_json.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <random>

namespace fireflyroute::app {

namespace {

constexpr core::GroupId kControlGroup{0};
constexpr std::chrono::milliseconds kPeerTimeout{300}; // for one message between control VMs
constexpr std::chrono::milliseconds kEntryExpiryPeriod{1000};

// After a failed write or sync the contents of the disk are unknown, so no write may be
// acknowledged.
[[noreturn]] void exitOnStorageFailure(const store::StoreFailure &failure)
{
    fmt::print(stderr, "fireflyroute: storage failure or corrupt state: {}\n",
               fromStore(failure).detail);
    std::_Exit(kExitStorage);
}

void exitOnFailure(const store::Result<void> &result)
{
    if (!result)
        exitOnStorageFailure(result.error());
}

net::Result<core::ControlCommand> decode(const std::string &payload)
{
    BOOST_OUTCOME_TRY(json, net::parseJson(payload));
    return net::readControlCommand(json, "command");
}

const core::CommandId &commandIdOf(const core::ControlCommand &command)
{
    return std::visit([](const auto &typed) -> const core::CommandId & { return typed.id; },
                      command);
}

core::EventKind eventKindOf(const core::ConfigChange &change)
{
    if (std::holds_alternative<core::WithdrawVersion>(change))
        return core::EventKind::VersionWithdrawn;
    if (std::holds_alternative<core::StartRollout>(change))
        return core::EventKind::RolloutStarted;
    if (std::holds_alternative<core::StepRollout>(change))
        return core::EventKind::RolloutStepped;
    if (std::holds_alternative<core::HoldVersion>(change))
        return core::EventKind::VersionHeld;
    return core::EventKind::ConfigAccepted;
}

bool isEmpty(const core::RecoveredReplica &recovered)
{
    return recovered.hardState.term == 0 && recovered.entries.empty() && !recovered.snapshot;
}

store::Result<core::RecoveredReplica> createGroup(store::ReplicaStore &store,
                                                  const core::ReplicaId &self)
{
    core::Membership membership;
    membership.members.push_back(core::Member{self, core::MemberRole::Voter});
    core::RecoveredReplica created = core::newGroup(std::move(membership));
    BOOST_OUTCOME_TRYV(store.writeHardState(kControlGroup, created.hardState));
    BOOST_OUTCOME_TRYV(store.writeEntries(kControlGroup, created.entries));
    BOOST_OUTCOME_TRYV(store.sync());
    return created;
}

} // namespace

Result<std::unique_ptr<ControlVm>> ControlVm::open(const ServeSettings &settings,
                                                   const SystemClock &clock, ControlLoop &loop,
                                                   EventRecorder &events)
{
    std::error_code error;
    std::filesystem::create_directories(settings.dataFolder, error);
    const auto newIncarnation =
            static_cast<std::uint64_t>(clock.wallNow().time_since_epoch().count());
    store::Result<store::ReplicaStore> store =
            store::ReplicaStore::open(settings.dataFolder, core::Incarnation(newIncarnation));
    if (!store)
        return fromStore(store.error());
    core::RecoveredReplica recovered = store.value().takeRecovered(kControlGroup);
    core::ReplicaConfig config;
    config.group = kControlGroup;
    config.self = core::ReplicaId{settings.vm, store.value().incarnation()};
    for (const ControlAddress &member : settings.control)
        config.seeds.push_back(member.vm);
    const bool isSingleMember = settings.control.size() == 1;
    if (settings.initGroup && !isEmpty(recovered))
        return AppFailure{AppError::InvalidSetting, "--init_group: the data folder is not empty"};
    if (isEmpty(recovered) && (isSingleMember || settings.initGroup)) {
        store::Result<core::RecoveredReplica> created = createGroup(store.value(), config.self);
        if (!created)
            return fromStore(created.error());
        recovered = std::move(created.value());
    }
    std::unique_ptr<ControlVm> control(new ControlVm(settings, clock, loop, events,
                                                     std::move(store.value()), std::move(config),
                                                     std::move(recovered)));
    return control;
}

ControlVm::ControlVm(const ServeSettings &settings, const SystemClock &clock, ControlLoop &loop,
                     EventRecorder &events, store::ReplicaStore store, core::ReplicaConfig config,
                     core::RecoveredReplica recovered)
    : settings_(settings)
    , clock_(clock)
    , loop_(loop)
    , events_(events)
    , store_(std::move(store))
    , replica_(config, recovered, std::minstd_rand(std::random_device()()), clock.now())
    , leaseGranter_(kControlGroup)
    , entryRegistry_(clock.now())
{
    if (recovered.snapshot)
        perform(core::InstallSnapshot{0, recovered.snapshot});
    for (const ControlAddress &member : settings_.control) {
        if (member.vm != settings_.vm) {
            peers_[member.vm] = std::make_unique<net::RpcPeer>(member.address, kPeerTimeout,
                                                               settings_.clusterSecret);
        }
    }
    loop_.runEvery(kEntryExpiryPeriod, [this] { expireEntries(); });
}

void ControlVm::submit(const core::SubmitRequest &request, SubmitCallback callback)
{
    if (!isLeader()) {
        core::SubmitReply reply;
        reply.group = request.group;
        reply.leaderAddress = leaderAddress();
        reply.problem = "not the leader";
        callback(std::move(reply));
        return;
    }
    recordClaimants(request.command);
    const auto id = static_cast<core::ProposalId>(++lastProposalId_);
    proposalByCommand_[commandIdOf(request.command)] = id;
    std::string payload = net::writeJson(net::toJson(request.command));
    pendingSubmits_[id] = PendingSubmit{request, std::move(callback), std::nullopt};
    step(core::Propose{{core::Proposal{id, std::move(payload)}}});
}

// A new claim shows that its claimant is alive, even if the claimant has not sent a heartbeat to
// this leader yet. Without this the claim could be abandoned as one of a lost entry.
void ControlVm::recordClaimants(const core::ControlCommand &command)
{
    const auto *ledger = std::get_if<core::LedgerCommand>(&command);
    if (!ledger)
        return;
    for (const core::LedgerOperation &operation : ledger->operations) {
        if (const auto *claim = std::get_if<core::ClaimValue>(&operation.value))
            entryRegistry_.recordActivity({claim->claimant, claim->claimantIncarnation},
                                          clock_.now());
    }
}

void ControlVm::receive(const core::ReplicaMessage &message)
{
    // Accepts messages from configured control VMs only; any other VM could request to join the
    // group.
    const bool isConfiguredPeer =
            peers_.contains(message.from.vm) && message.group == kControlGroup;
    if (isConfiguredPeer)
        step(core::MessageReceived{message});
}

void ControlVm::commitBatch()
{
    while (unsyncedToken_ != 0) {
        exitOnFailure(store_.sync());
        step(core::SyncCompleted{std::exchange(unsyncedToken_, 0)});
    }
    scheduleTick();
}

void ControlVm::transferLeadership()
{
    if (isLeader())
        step(core::TransferLeadership{});
}

void ControlVm::step(const core::ReplicaInput &input)
{
    for (const core::ReplicaAction &action : replica_.step(input, clock_.now()))
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

void ControlVm::scheduleTick()
{
    const core::Instant due = replica_.nextDeadline();
    if (tickAt_ && *tickAt_ <= due)
        return;
    tickAt_ = due;
    loop_.postAt(due, [this] {
        tickAt_.reset();
        step(core::Tick{});
    });
}

void ControlVm::perform(const core::SendMessage &action)
{
    const auto peer = peers_.find(action.message.to.vm);
    if (peer != peers_.end())
        peer->second->call("replica", net::toJson(action.message), [](const auto &) {});
}

void ControlVm::perform(const core::WriteHardState &action)
{
    exitOnFailure(store_.writeHardState(kControlGroup, action.state));
    unsyncedToken_ = std::max(unsyncedToken_, action.token);
}

void ControlVm::perform(const core::WriteEntries &action)
{
    exitOnFailure(store_.writeEntries(kControlGroup, action.entries));
    unsyncedToken_ = std::max(unsyncedToken_, action.token);
}

void ControlVm::perform(const core::InstallSnapshot &action)
{
    const auto data = net::readSnapshot(action.snapshot->data);
    if (!data)
        exitOnStorageFailure({store::StoreError::Corrupt, "snapshot: " + data.error().detail});
    state_ = core::ControlState(data.value());
    if (action.token == 0)
        return; // recovered from disk at startup, already durable
    exitOnFailure(store_.installSnapshot(kControlGroup, *action.snapshot));
    unsyncedToken_ = std::max(unsyncedToken_, action.token);
}

void ControlVm::perform(const core::ApplyEntries &action)
{
    for (const core::LogEntry &entry : action.entries) {
        if (entry.kind == core::EntryKind::Command)
            applyCommand(entry.payload.value());
    }
}

void ControlVm::applyCommand(const std::string &payload)
{
    const net::Result<core::ControlCommand> command = decode(payload);
    if (!command)
        exitOnStorageFailure({store::StoreError::Corrupt, "log: " + command.error().detail});
    core::ControlReply reply = state_.apply(command.value());
    recordChange(command.value(), reply);
    const auto proposal = proposalByCommand_.find(commandIdOf(command.value()));
    if (proposal == proposalByCommand_.end())
        return;
    const auto pendingSubmit = pendingSubmits_.find(proposal->second);
    if (pendingSubmit != pendingSubmits_.end())
        pendingSubmit->second.reply = std::move(reply);
}

void ControlVm::perform(const core::TakeSnapshot &action)
{
    core::Snapshot snapshot;
    snapshot.meta = action.meta;
    snapshot.data = net::encodeSnapshot(state_.data());
    exitOnFailure(store_.saveSnapshot(kControlGroup, snapshot));
    // Posted so that the remaining actions of the same step run first.
    const auto saved = std::make_shared<const core::Snapshot>(std::move(snapshot));
    loop_.post([this, saved] { step(core::SnapshotCompleted{saved}); });
}

void ControlVm::perform(const core::RoleChanged &action)
{
    core::Event event;
    event.kind = action.role == core::ReplicaRole::Leader ? core::EventKind::LeaderElected
                                                          : core::EventKind::LeaderLost;
    event.detail = fmt::format("term {}, {}", action.term, core::nameOf(action.role));
    if (action.role == core::ReplicaRole::Leader) {
        leaseGranter_.startTerm(authority(), readClock());
        entryRegistry_ = core::EntryRegistry(clock_.now());
        entryAddresses_.clear();
    }
    events_.record(std::move(event));
}

void ControlVm::perform(const core::ProposalDone &action)
{
    const auto found = pendingSubmits_.find(action.id);
    if (found == pendingSubmits_.end())
        return;
    PendingSubmit pending = std::move(found->second);
    pendingSubmits_.erase(found);
    const auto latestProposal = proposalByCommand_.find(commandIdOf(pending.request.command));
    if (latestProposal != proposalByCommand_.end() && latestProposal->second == action.id)
        proposalByCommand_.erase(latestProposal);
    core::SubmitReply reply;
    reply.group = pending.request.group;
    if (action.outcome == core::ProposalOutcome::Committed && pending.reply)
        reply.reply = std::move(pending.reply);
    else
        reply.problem = action.detail.empty() ? "leadership was lost" : action.detail;
    reply.leaderAddress = leaderAddress();
    pending.callback(std::move(reply));
}

void ControlVm::perform(const core::ReadDone &) {}

void ControlVm::perform(const core::InvariantViolated &action)
{
    fmt::print(stderr, "fireflyroute: invariant of the replicated log violated: {}\n",
               action.detail);
    std::_Exit(kExitStorage);
}

void ControlVm::recordChange(const core::ControlCommand &command, const core::ControlReply &reply)
{
    const auto *config = std::get_if<core::ConfigCommand>(&command);
    const auto *outcome = std::get_if<core::ConfigReply>(&reply);
    if (!config || !outcome || !isLeader())
        return;
    core::Event event;
    event.kind = outcome->accepted ? eventKindOf(config->change) : core::EventKind::ConfigRefused;
    event.revision = outcome->revision;
    event.detail = outcome->accepted ? "by " + config->author.value() : outcome->detail;
    events_.record(std::move(event));
}

core::FollowReply ControlVm::follow(const core::FollowRequest &request)
{
    core::FollowReply reply;
    reply.group = request.group;
    reply.number = request.number;
    const core::Revision applied = state_.config().config()->revision;
    const core::VmIncarnation entry{request.entry.id, request.entry.incarnation};
    const core::LeaseRequest leaseRequest{request.group, entry, request.number, request.confirmed};
    const core::Result<core::LeaseGrant> grant =
            leaseGranter_.grant(leaseRequest, authority(), applied, readClock());
    if (!grant) {
        reply.leaderAddress = isLeader() ? "" : leaderAddress();
        return reply;
    }
    const core::EntryHeartbeat heartbeat{entry, request.number, request.entry.dataCentre,
                                         request.leaving};
    if (entryRegistry_.heartbeat(heartbeat, clock_.now()) == core::EntryChange::Joined) {
        core::Event event;
        event.kind = core::EventKind::EntryJoined;
        event.detail = request.entry.id.value();
        events_.record(std::move(event));
    }
    entryAddresses_[request.entry.id] = request.entry;
    reply.granted = true;
    reply.term = grant.value().term;
    reply.lease = grant.value().duration;
    reply.revision = grant.value().revision;
    if (request.confirmed < applied)
        reply.config = *state_.config().config();
    for (const core::EntryStatus &status : entryRegistry_.all(clock_.now())) {
        if (status.liveness == core::VmLiveness::Alive)
            reply.entries.push_back(entryAddresses_[status.lastHeartbeat.id.vm]);
    }
    return reply;
}

// Removes entries whose heartbeats timed out and marks their running claims as unknown.
void ControlVm::expireEntries()
{
    if (!isLeader())
        return;
    for (const core::VmIncarnation &expiredEntry : entryRegistry_.expire(clock_.now())) {
        core::Event event;
        event.kind = core::EventKind::EntryFailed;
        event.detail = expiredEntry.vm.value();
        events_.record(std::move(event));
    }
    if (authority().caughtUp)
        abandonClaims();
}

void ControlVm::abandonClaims()
{
    for (const core::ClaimCommand &command :
         core::abandonLostClaims(state_.ledger(), entryRegistry_, readClock())) {
        core::SubmitRequest request;
        request.group = kControlGroup;
        request.command = command;
        submit(request, [](const core::SubmitReply &) {});
    }
}

core::InForceReport ControlVm::inForce()
{
    core::InForceReport report;
    report.revision = state_.config().config()->revision;
    if (isLeader())
        report.inForce = leaseGranter_.inForce().poll(report.revision, readClock());
    return report;
}

bool ControlVm::isLeader() const
{
    return replica_.role() == core::ReplicaRole::Leader;
}

std::string ControlVm::leaderAddress() const
{
    const std::optional<core::ReplicaId> &leader = replica_.leader();
    for (const ControlAddress &member : settings_.control) {
        if (leader && member.vm == leader->vm && member.vm != settings_.vm)
            return member.address;
    }
    return "";
}

core::LeaderAuthority ControlVm::authority() const
{
    const std::optional<core::Instant> until = replica_.leaseUntil(clock_.now());
    core::LeaderAuthority authority;
    authority.term = replica_.term();
    authority.validUntil = until.value_or(core::Instant());
    authority.caughtUp = until.has_value();
    return authority;
}

core::ClockReading ControlVm::readClock() const
{
    return core::ClockReading{clock_.now(), clock_.wallNow()};
}

} // namespace fireflyroute::app
