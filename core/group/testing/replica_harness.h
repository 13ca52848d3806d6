// Runs replicas on a fake network, fake disks and skewed clocks, and checks the safety properties
// after every action. A violation throws SafetyViolation.
//
//   ReplicaHarness harness(seed);
//   harness.startGroup(3);
//   harness.run(2s);                       // without faults: ticks, delivers and syncs everything
//   harness.propose(*harness.leader());
//
// A test may instead trigger ticks, deliveries, syncs and crashes individually in any order.

#ifndef FIREFLYROUTE_CORE_GROUP_TESTING_REPLICA_HARNESS_H
#define FIREFLYROUTE_CORE_GROUP_TESTING_REPLICA_HARNESS_H

#include "core/group/replica.h"

#include <fmt/format.h>
#include <functional>
#include <set>
#include <stdexcept>

namespace fireflyroute::core {

struct SafetyViolation : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

inline void checkSafety(bool condition, const std::string &description)
{
    if (!condition)
        throw SafetyViolation(description);
}

// A state machine that stores only the index of the last applied entry and a hash over all applied
// entries.
struct FakeState
{
    LogIndex applied = 0;
    std::size_t hash = 0;

    void apply(const LogEntry &entry)
    {
        applied = entry.index;
        const auto kind = static_cast<std::size_t>(entry.kind);
        hash = std::hash<std::string>()(
                fmt::format("{} {} {} {}", hash, entry.term, kind, entry.payload.value()));
    }

    [[nodiscard]] std::string save() const { return fmt::format("{}", hash); }
};

// A disk with its synced contents and the pending writes.
struct FakeDisk
{
    using Write = std::variant<WriteHardState, WriteEntries, InstallSnapshot>;

    HardState hardState;
    SnapshotPtr snapshot;
    std::map<LogIndex, LogEntry> entries;
    std::vector<Write> pending;

    void perform(const Write &write)
    {
        if (const auto *state = std::get_if<WriteHardState>(&write))
            hardState = state->state;
        if (const auto *appended = std::get_if<WriteEntries>(&write)) {
            entries.erase(entries.lower_bound(appended->entries.front().index), entries.end());
            for (const LogEntry &entry : appended->entries)
                entries[entry.index] = entry;
        }
        if (const auto *installed = std::get_if<InstallSnapshot>(&write)) {
            snapshot = installed->snapshot;
            entries.clear();
        }
    }

    void sync(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            perform(pending[i]);
        pending.erase(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count));
    }

    [[nodiscard]] RecoveredReplica recover() const
    {
        RecoveredReplica recovered{hardState, snapshot, {}};
        LogIndex next = snapshot ? snapshot->meta.index + 1 : 1;
        const auto atBase = entries.find(next - 1);
        const bool conflictsWithSnapshot =
                snapshot && atBase != entries.end() && atBase->second.term != snapshot->meta.term;
        for (auto it = entries.find(next); !conflictsWithSnapshot && it != entries.end(); ++it)
            recovered.entries.push_back(it->second);
        return recovered;
    }
};

struct FakeVm
{
    ReplicaId id;
    FakeDisk disk;
    FakeState state;
    std::optional<Replica> replica; // empty while the VM is down
    double clockRate = 1;
    Duration clockOffset{0};
};

class ReplicaHarness
{
public:
    explicit ReplicaHarness(std::uint64_t seed)
        : rng(seed)
    {
        config.limits.snapshotAfterEntries = 12;
        config.limits.retainedEntries = 4;
        config.limits.maxBatchEntries = 3;
        config.limits.maxInFlightBatches = 2;
        config.limits.maxCaughtUpLag = 2;
        config.limits.snapshotChunkBytes = 7;
    }

    // --- Set-up -------------------------------------------------------------------------------

    // Starts `count` VMs that are all initial voters.
    void startGroup(std::size_t count)
    {
        Membership membership;
        for (std::size_t i = 0; i < count; ++i)
            membership.members.push_back(Member{vmId(i), MemberRole::Voter});
        for (std::size_t i = 0; i < count; ++i)
            addVm(newGroup(membership));
    }

    // Adds a VM with the given disk contents. A VM with an empty disk requests to join.
    FakeVm &addVm(const RecoveredReplica &recovered)
    {
        vms.push_back({});
        FakeVm &vm = vms.back();
        vm.id = vmId(vms.size() - 1);
        config.seeds.push_back(vm.id.vm);
        vm.disk.hardState = recovered.hardState;
        for (const LogEntry &entry : recovered.entries)
            vm.disk.entries[entry.index] = entry;
        start(vm);
        return vm;
    }

    static ReplicaId vmId(std::size_t number)
    {
        return ReplicaId{VmId(fmt::format("vm{}", number)), Incarnation{1}};
    }

    // --- Faults -------------------------------------------------------------------------------

    void start(FakeVm &vm)
    {
        ReplicaConfig vmConfig = config;
        vmConfig.self = vm.id;
        vm.state = FakeState{};
        if (vm.disk.snapshot)
            load(vm, *vm.disk.snapshot);
        vm.replica.emplace(vmConfig, vm.disk.recover(),
                           std::minstd_rand(static_cast<std::uint32_t>(rng())), clockOf(vm));
    }

    // Stops a VM. The first `surviving` of its pending writes reach the disk.
    void crash(FakeVm &vm, std::size_t surviving)
    {
        vm.replica.reset();
        vm.disk.sync(std::min(surviving, vm.disk.pending.size()));
        vm.disk.pending.clear();
    }

    // Stops a VM and erases its data directory. It restarts with a new incarnation.
    void loseDisk(FakeVm &vm)
    {
        vm.replica.reset();
        vm.disk = FakeDisk{};
        vm.id.incarnation = Incarnation{static_cast<std::uint64_t>(vm.id.incarnation) + 1};
    }

    // --- Single steps -------------------------------------------------------------------------

    void step(FakeVm &vm, const ReplicaInput &input)
    {
        if (!vm.replica)
            return;
        for (const ReplicaAction &action : vm.replica->step(input, clockOf(vm))) {
            if (crashBeforeAction && crashBeforeAction(vm, action)) {
                crash(vm, rng() % (vm.disk.pending.size() + 1));
                return;
            }
            std::visit([&](const auto &typed) { perform(vm, typed); }, action);
            if (!vm.replica)
                return;
        }
        checkLeases();
    }

    void sync(FakeVm &vm)
    {
        if (!vm.replica || vm.disk.pending.empty())
            return;
        const WriteToken token =
                std::visit([](const auto &write) { return write.token; }, vm.disk.pending.back());
        vm.disk.sync(vm.disk.pending.size());
        if (crashAfterSync && crashAfterSync(vm)) {
            crash(vm, 0);
            return;
        }
        step(vm, SyncCompleted{token});
    }

    // Delivers the message at a position of the network queue, and removes it unless it is to be
    // repeated.
    void deliver(std::size_t position, bool repeat = false)
    {
        const ReplicaMessage message = network[position];
        if (!repeat)
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(position));
        FakeVm *to = find(message.to.vm);
        if (to && !disconnectedLinks.contains({message.from.vm, message.to.vm}))
            step(*to, MessageReceived{message});
    }

    // Proposes a command of at least `minBytes`.
    void propose(FakeVm &vm, std::size_t minBytes = 0)
    {
        const ProposalId id{++lastProposal_};
        proposedPayloads_[id] = fmt::format("command {:<{}}", lastProposal_, minBytes);
        step(vm, Propose{{Proposal{id, proposedPayloads_[id]}}});
    }

    void read(FakeVm &vm)
    {
        const ReadId id{++lastRead_};
        requiredReadIndexes_[id] = acknowledgedIndex;
        step(vm, ReadBarrier{id});
    }

    void change(FakeVm &vm, ChangeKind kind, const ReplicaId &id)
    {
        step(vm, ChangeMembership{ProposalId{++lastProposal_}, MembershipChange{kind, id}});
    }

    // --- Fault-free operation -----------------------------------------------------------------

    // Runs for the given time without faults other than disconnected links and VMs that are down.
    void run(Duration duration)
    {
        constexpr Duration kStep = std::chrono::milliseconds(10);
        for (Duration elapsed{0}; elapsed < duration; elapsed += kStep) {
            time += kStep;
            for (FakeVm &vm : vms) {
                if (vm.replica && clockOf(vm) >= vm.replica->nextDeadline())
                    step(vm, Tick{});
                sync(vm);
            }
            for (std::size_t remaining = network.size(); remaining > 0; --remaining)
                deliver(0);
            for (FakeVm &vm : vms)
                sync(vm);
        }
    }

    // Disconnects a VM from all others in both directions.
    void isolate(const FakeVm &vm)
    {
        for (const FakeVm &other : vms) {
            disconnectedLinks.insert({vm.id.vm, other.id.vm});
            disconnectedLinks.insert({other.id.vm, vm.id.vm});
        }
    }

    // --- Queries ------------------------------------------------------------------------------

    // Returns the leader with the highest term, or null.
    FakeVm *leader()
    {
        FakeVm *newestLeader = nullptr;
        for (FakeVm &vm : vms) {
            const bool isLeader = vm.replica && vm.replica->role() == ReplicaRole::Leader;
            if (isLeader && (!newestLeader || vm.replica->term() > newestLeader->replica->term()))
                newestLeader = &vm;
        }
        return newestLeader;
    }

    FakeVm *find(const VmId &id)
    {
        for (FakeVm &vm : vms) {
            if (vm.id.vm == id)
                return &vm;
        }
        return nullptr;
    }

    [[nodiscard]] Instant clockOf(const FakeVm &vm) const
    {
        const auto ticks = static_cast<double>(time.count()) * vm.clockRate;
        return Instant(std::chrono::hours(1) + Duration(static_cast<Duration::rep>(ticks))
                       + vm.clockOffset);
    }

    std::mt19937_64 rng;
    ReplicaConfig config;
    std::deque<FakeVm> vms;
    std::vector<ReplicaMessage> network;
    std::set<std::pair<VmId, VmId>> disconnectedLinks; // links that drop all messages
    Duration time{0}; // simulated real time
    bool clocksWithinMargin = true; // whether the guarantees of leases apply
    LogIndex acknowledgedIndex = 0; // largest index acknowledged to a proposer
    std::size_t acknowledgements = 0;
    std::size_t reads = 0; // reads that were served
    std::size_t snapshotsInstalled = 0;
    std::function<bool(FakeVm &, const ReplicaAction &)> crashBeforeAction;
    std::function<bool(FakeVm &)> crashAfterSync;

private:
    void perform(FakeVm & /*vm*/, const SendMessage &action) { network.push_back(action.message); }
    void perform(FakeVm &vm, const WriteHardState &action) { vm.disk.pending.emplace_back(action); }
    void perform(FakeVm &vm, const WriteEntries &action) { vm.disk.pending.emplace_back(action); }

    void perform(FakeVm &vm, const InstallSnapshot &action)
    {
        vm.disk.pending.emplace_back(action);
        load(vm, *action.snapshot);
        ++snapshotsInstalled;
    }

    void perform(FakeVm &vm, const ApplyEntries &action)
    {
        for (const LogEntry &entry : action.entries) {
            checkSafety(entry.index == vm.state.applied + 1,
                        "entry applied out of order or with a gap");
            vm.state.apply(entry);
            const auto [recorded, isNew] = stateHashes_.emplace(entry.index, vm.state.hash);
            checkSafety(
                    recorded->second == vm.state.hash,
                    fmt::format("{} applied a different entry {}", vm.id.vm.value(), entry.index));
            if (isNew && entry.kind == EntryKind::Command)
                commitIndexes_.emplace(entry.payload.value(), entry.index);
        }
    }

    void perform(FakeVm &vm, const TakeSnapshot &action)
    {
        checkSafety(action.meta.index == vm.state.applied,
                    "snapshot index differs from the applied index");
        auto snapshot = std::make_shared<const Snapshot>(Snapshot{action.meta, vm.state.save()});
        vm.disk.snapshot = snapshot;
        step(vm, SnapshotCompleted{snapshot});
    }

    void perform(FakeVm &vm, const RoleChanged &action)
    {
        if (action.role != ReplicaRole::Leader)
            return;
        const auto [recorded, isNew] = leadersByTerm_.emplace(action.term, vm.id);
        checkSafety(isNew, fmt::format("second leader in term {}", action.term));
    }

    void perform(FakeVm & /*vm*/, const ProposalDone &action)
    {
        if (action.outcome != ProposalOutcome::Committed || !proposedPayloads_.contains(action.id))
            return;
        const auto found = commitIndexes_.find(proposedPayloads_.at(action.id));
        checkSafety(found != commitIndexes_.end(),
                    "proposal acknowledged before its entry was applied");
        acknowledgedIndex = std::max(acknowledgedIndex, found->second);
        ++acknowledgements;
    }

    void perform(FakeVm &vm, const ReadDone &action)
    {
        if (!action.ready)
            return;
        ++reads;
        checkSafety(!clocksWithinMargin || vm.state.applied >= requiredReadIndexes_.at(action.id),
                    "read misses an acknowledged entry");
    }

    void perform(FakeVm & /*vm*/, const InvariantViolated &action)
    {
        throw SafetyViolation(action.detail);
    }

    void load(FakeVm &vm, const Snapshot &snapshot) const
    {
        const auto expected = stateHashes_.find(snapshot.meta.index);
        checkSafety(expected != stateHashes_.end(), "snapshot of an uncommitted state");
        vm.state = FakeState{snapshot.meta.index, expected->second};
        checkSafety(vm.state.save() == snapshot.data,
                    "snapshot content differs from the committed state");
    }

    void checkLeases() const
    {
        if (!clocksWithinMargin)
            return;
        std::size_t holders = 0;
        for (const FakeVm &vm : vms)
            holders += vm.replica && vm.replica->hasLease(clockOf(vm)) ? 1U : 0U;
        checkSafety(holders <= 1, "two replicas hold the leader lease");
    }

    std::map<LogIndex, std::size_t> stateHashes_; // state hash after each committed entry
    std::map<std::string, LogIndex> commitIndexes_;
    std::map<Term, ReplicaId> leadersByTerm_;
    std::map<ProposalId, std::string> proposedPayloads_;
    std::map<ReadId, LogIndex> requiredReadIndexes_; // index that each read must include
    std::uint64_t lastProposal_ = 0;
    std::uint64_t lastRead_ = 0;
};

} // namespace fireflyroute::core

#endif
