// Event loop of a replica.

#include "app/replica_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace fireflyroute::app {

namespace asio = boost::asio;

namespace {

constexpr core::GroupId kSiteGroup{1};

// All seeds create the same group independently, so the first incarnation has the same number on
// each of them.
constexpr core::Incarnation kFirstIncarnation{1};

// 2n+1 voters keep a majority after n losses: five voters tolerate two.
constexpr std::size_t kVotersPerLoss = 2;

// Two journal segments and two snapshots have to fit on a disk of 128 MB.
constexpr std::uint64_t kSegmentBytes = 8U << 20U;

// Configurations are large entries, of up to 4 MB. Frequent snapshots bound the journal, and what
// of it is in memory, by their size and not only by their number.
constexpr core::LogIndex kSnapshotAfterEntries = 100;
constexpr std::uint64_t kSnapshotAfterBytes = 8U << 20U;
constexpr core::LogIndex kRetainedEntries = 40;
constexpr std::uint64_t kRetainedBytes = 8U << 20U;
constexpr std::uint64_t kMaxUncoveredBytes = 24U << 20U;
constexpr std::size_t kMaxInFlightBytes = 4U << 20U;

// Maximum time between two ticks of a replica without an earlier deadline.
constexpr std::chrono::seconds kMaxTickInterval{10};

core::ReplicaTiming timing()
{
    core::ReplicaTiming timing;
    // More than twice the round trip between regions (24 ms), with margin for a lost packet.
    timing.heartbeat = std::chrono::milliseconds(120);
    timing.electionMin = std::chrono::milliseconds(550);
    timing.electionMax = std::chrono::milliseconds(950);
    timing.joinInterval = std::chrono::milliseconds(250);
    return timing;
}

core::MembershipPolicy membershipPolicy(std::size_t toleratedLosses)
{
    core::MembershipPolicy policy;
    policy.maxVoters = kVotersPerLoss * toleratedLosses + 1;
    policy.minCopies = toleratedLosses + 1;
    // Longer than a restart after a kill, so that only VMs that are really lost are replaced.
    policy.replaceVoterAfter = std::chrono::milliseconds(2500);
    policy.removeLearnerAfter = std::chrono::seconds(20);
    policy.promotesLearners = true;
    return policy;
}

bool isEmpty(const core::RecoveredReplica &recovered)
{
    return recovered.hardState.term == 0 && !recovered.snapshot && recovered.entries.empty();
}

std::uint64_t sizeOf(const core::RecoveredReplica &recovered)
{
    std::uint64_t bytes = recovered.snapshot ? recovered.snapshot->data.size() : 0;
    for (const core::LogEntry &entry : recovered.entries)
        bytes += entry.payload.size();
    return bytes;
}

core::Membership initialMembership(const std::vector<core::VmId> &seeds)
{
    core::Membership membership;
    for (const core::VmId &seed : seeds) {
        const core::ReplicaId id{seed, kFirstIncarnation};
        membership.members.push_back(core::Member{id, core::MemberRole::Voter});
    }
    std::sort(membership.members.begin(), membership.members.end());
    return membership;
}

store::Result<core::RecoveredReplica> createGroup(store::ReplicaStore &store,
                                                  const std::vector<core::VmId> &seeds)
{
    core::RecoveredReplica created = core::newGroup(initialMembership(seeds));
    BOOST_OUTCOME_TRYV(store.writeHardState(kSiteGroup, created.hardState));
    BOOST_OUTCOME_TRYV(store.writeEntries(kSiteGroup, created.entries));
    BOOST_OUTCOME_TRYV(store.sync());
    return created;
}

} // namespace

Result<std::unique_ptr<ReplicaDriver>>
ReplicaDriver::open(asio::io_context &io, const ReplicaSettings &settings, ReplicaHooks hooks)
{
    std::error_code error;
    std::filesystem::create_directories(settings.folder, error);
    if (error)
        return AppFailure{AppError::StorageFailed, settings.folder.string() + error.message()};
    const auto isSelf = [&](const core::VmId &seed) { return seed == settings.self; };
    const bool mayCreate = settings.mayCreateGroup
                           && std::any_of(settings.seeds.begin(), settings.seeds.end(), isSelf);
    const auto newIncarnation =
            static_cast<std::uint64_t>(BootClock().wallNow().time_since_epoch().count());
    const core::Incarnation incarnation =
            mayCreate ? kFirstIncarnation : core::Incarnation(newIncarnation);
    store::StoreLimits limits;
    limits.segmentBytes = kSegmentBytes;
    store::Result<store::ReplicaStore> store =
            store::ReplicaStore::open(settings.folder, incarnation, limits);
    if (!store)
        return fromStore(store.error());
    core::RecoveredReplica recovered = store.value().takeRecovered(kSiteGroup);
    const bool isFirstIncarnation = mayCreate && store.value().incarnation() == kFirstIncarnation;
    if (isEmpty(recovered) && isFirstIncarnation) {
        store::Result<core::RecoveredReplica> created = createGroup(store.value(), settings.seeds);
        if (!created)
            return fromStore(created.error());
        recovered = std::move(created.value());
    }
    core::ReplicaConfig config;
    config.group = kSiteGroup;
    config.self = core::ReplicaId{settings.self, store.value().incarnation()};
    config.seeds = settings.seeds;
    config.timing = timing();
    config.limits.snapshotAfterEntries = kSnapshotAfterEntries;
    config.limits.snapshotAfterBytes = kSnapshotAfterBytes;
    config.limits.retainedEntries = kRetainedEntries;
    config.limits.retainedBytes = kRetainedBytes;
    config.limits.maxUncoveredBytes = kMaxUncoveredBytes;
    config.limits.maxInFlightBytes = kMaxInFlightBytes;
    config.membershipPolicy = membershipPolicy(settings.toleratedLosses);
    return std::unique_ptr<ReplicaDriver>(new ReplicaDriver(
            io, std::move(hooks), std::move(store.value()), config, std::move(recovered)));
}

ReplicaDriver::ReplicaDriver(asio::io_context &io, ReplicaHooks hooks, store::ReplicaStore store,
                             const core::ReplicaConfig &config, core::RecoveredReplica recovered)
    : io_(io)
    , timer_(io)
    , hooks_(std::move(hooks))
    , store_(std::move(store))
    , recoveredBytes_(sizeOf(recovered))
    , replica_(config, std::move(recovered), std::minstd_rand(std::random_device()()), clock_.now())
{}

void ReplicaDriver::start()
{
    if (const core::SnapshotPtr &snapshot = replica_.snapshot())
        hooks_.load(snapshot->data);
    reportMembershipChange();
    scheduleTick();
}

void ReplicaDriver::propose(std::string payload, ProposalCallback callback)
{
    const core::ProposalId id{++lastProposal_};
    proposals_.emplace(id, std::move(callback));
    step(core::Propose{{core::Proposal{id, std::move(payload)}}});
}

void ReplicaDriver::receive(const core::ReplicaMessage &message)
{
    step(core::MessageReceived{message});
}

void ReplicaDriver::transferLeadership()
{
    if (isLeader())
        step(core::TransferLeadership{});
}

bool ReplicaDriver::isLeader() const
{
    return replica_.role() == core::ReplicaRole::Leader;
}

bool ReplicaDriver::hasLease() const
{
    return replica_.hasLease(clock_.now());
}

// Hooks may post further inputs. These are queued until the current actions are complete.
void ReplicaDriver::step(core::ReplicaInput input)
{
    inputs_.push_back(std::move(input));
    if (isStepping_)
        return;
    isStepping_ = true;
    while (!inputs_.empty()) {
        const core::ReplicaInput next = std::move(inputs_.front());
        inputs_.pop_front();
        stepReplica(next);
    }
    isStepping_ = false;
    if (!isWriteInFlight_ && !pendingWrites_.empty())
        flush();
    scheduleTick();
}

void ReplicaDriver::stepReplica(const core::ReplicaInput &input)
{
    for (const core::ReplicaAction &action : replica_.step(input, clock_.now()))
        std::visit([this](const auto &typed) { perform(typed); }, action);
    reportMembershipChange();
}

// Passes all pending writes to the disk thread, followed by one sync.
void ReplicaDriver::flush()
{
    isWriteInFlight_ = true;
    auto batch = std::make_shared<std::vector<DiskWrite>>(std::exchange(pendingWrites_, {}));
    const core::WriteToken token = lastWriteToken_;
    const std::vector<core::SnapshotPtr> saved = std::exchange(pendingSnapshots_, {});
    disk_.post([this, batch, token, saved] {
        store::Result<void> result = core::outcome::success();
        for (const DiskWrite &write : *batch) {
            if (result)
                result = write(store_);
        }
        if (result)
            result = store_.sync();
        const std::string problem = result ? std::string() : result.error().detail;
        asio::post(io_, [this, token, saved, problem] {
            isWriteInFlight_ = false;
            if (!problem.empty()) {
                hooks_.failed(problem);
                return;
            }
            for (const core::SnapshotPtr &snapshot : saved)
                step(core::SnapshotCompleted{snapshot});
            step(core::SyncCompleted{token});
        });
    });
}

void ReplicaDriver::scheduleTick()
{
    const core::Instant now = clock_.now();
    timer_.expires_after(std::min(replica_.nextDeadline(), now + kMaxTickInterval) - now);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            step(core::Tick{});
    });
}

void ReplicaDriver::reportMembershipChange()
{
    if (membership_ == replica_.membership())
        return;
    membership_ = replica_.membership();
    hooks_.membershipChanged(membership_);
}

void ReplicaDriver::perform(const core::SendMessage &action)
{
    hooks_.send(action.message);
}

void ReplicaDriver::perform(const core::WriteHardState &action)
{
    pendingWrites_.emplace_back([state = action.state](store::ReplicaStore &store) {
        return store.writeHardState(kSiteGroup, state);
    });
    lastWriteToken_ = std::max(lastWriteToken_, action.token);
}

void ReplicaDriver::perform(const core::WriteEntries &action)
{
    pendingWrites_.emplace_back([entries = action.entries](store::ReplicaStore &store) {
        return store.writeEntries(kSiteGroup, entries);
    });
    lastWriteToken_ = std::max(lastWriteToken_, action.token);
}

void ReplicaDriver::perform(const core::InstallSnapshot &action)
{
    hooks_.load(action.snapshot->data);
    pendingWrites_.emplace_back([snapshot = action.snapshot](store::ReplicaStore &store) {
        return store.installSnapshot(kSiteGroup, *snapshot);
    });
    lastWriteToken_ = std::max(lastWriteToken_, action.token);
}

void ReplicaDriver::perform(const core::ApplyEntries &action)
{
    for (const core::LogEntry &entry : action.entries) {
        if (entry.kind == core::EntryKind::Command)
            hooks_.apply(entry.payload.value());
    }
}

void ReplicaDriver::perform(const core::TakeSnapshot &action)
{
    core::Snapshot snapshot;
    snapshot.meta = action.meta;
    snapshot.data = hooks_.save();
    const auto saved = std::make_shared<const core::Snapshot>(std::move(snapshot));
    pendingWrites_.emplace_back(
            [saved](store::ReplicaStore &store) { return store.saveSnapshot(kSiteGroup, *saved); });
    pendingSnapshots_.push_back(saved);
}

void ReplicaDriver::perform(const core::RoleChanged &action)
{
    hooks_.roleChanged(action);
}

void ReplicaDriver::perform(const core::ProposalDone &action)
{
    const auto found = proposals_.find(action.id);
    if (found == proposals_.end())
        return;
    const ProposalCallback callback = std::move(found->second);
    proposals_.erase(found);
    callback(action.outcome);
}

// Reads rely on the leader lease, so the driver requests no read.
void ReplicaDriver::perform(const core::ReadDone & /*action*/) {}

void ReplicaDriver::perform(const core::InvariantViolated &action)
{
    hooks_.failed(action.detail);
}

} // namespace fireflyroute::app
