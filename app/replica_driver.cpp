// The loop round a replica.

#include "app/replica_driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <utility>

namespace fireflyroute::app {

namespace asio = boost::asio;

namespace {

constexpr core::GroupId kGroup{1};

// Every seed founds the same group, so the first life has the same number on each of them.
constexpr core::Incarnation kFoundingIncarnation{1};

// Five voters keep a majority when two are lost.
constexpr std::size_t kVotersPerLoss = 2;

// A journal segment and the next one have to fit beside two snapshots on a disk of 128 MB.
constexpr std::uint64_t kSegmentBytes = 8U << 20U;

// Configurations are large entries: a snapshot for each hundred keeps the journal small.
constexpr core::LogIndex kSnapshotAfterEntries = 100;
constexpr core::LogIndex kKeptEntries = 40;

// A replica without a deadline of its own is still ticked now and then.
constexpr std::chrono::seconds kLongestWait{10};

core::ReplicaTiming timing()
{
    core::ReplicaTiming timing;
    // Above twice the round trip between regions (24 ms) with room for a lost packet.
    timing.heartbeat = std::chrono::milliseconds(120);
    timing.electionMin = std::chrono::milliseconds(550);
    timing.electionMax = std::chrono::milliseconds(950);
    timing.joinInterval = std::chrono::milliseconds(250);
    return timing;
}

core::MembershipPolicy membershipPolicy(std::size_t tolerated)
{
    core::MembershipPolicy policy;
    policy.maxVoters = kVotersPerLoss * tolerated + 1;
    policy.minCopies = tolerated + 1;
    // Longer than a restart after a kill, so that only lost VMs are replaced.
    policy.replaceVoterAfter = std::chrono::milliseconds(2500);
    policy.dropLearnerAfter = std::chrono::seconds(20);
    return policy;
}

bool isEmpty(const core::RecoveredReplica &recovered)
{
    return recovered.hardState.term == 0 && !recovered.snapshot && recovered.entries.empty();
}

core::Membership founders(const std::vector<core::VmId> &seeds)
{
    core::Membership membership;
    for (const core::VmId &seed : seeds) {
        const core::ReplicaId id{seed, kFoundingIncarnation};
        membership.members.push_back(core::Member{id, core::MemberRole::Voter});
    }
    std::sort(membership.members.begin(), membership.members.end());
    return membership;
}

store::Result<core::RecoveredReplica> found(store::ReplicaStore &store,
                                            const std::vector<core::VmId> &seeds)
{
    core::RecoveredReplica begun = core::newGroup(founders(seeds));
    BOOST_OUTCOME_TRYV(store.writeHardState(kGroup, begun.hardState));
    BOOST_OUTCOME_TRYV(store.writeEntries(kGroup, begun.entries));
    BOOST_OUTCOME_TRYV(store.sync());
    return begun;
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
    const bool founds =
            settings.mayFound && std::any_of(settings.seeds.begin(), settings.seeds.end(), isSelf);
    const auto fresh = static_cast<std::uint64_t>(BootClock().wallNow().time_since_epoch().count());
    const core::Incarnation incarnation = founds ? kFoundingIncarnation : core::Incarnation(fresh);
    store::StoreLimits limits;
    limits.segmentBytes = kSegmentBytes;
    store::Result<store::ReplicaStore> store =
            store::ReplicaStore::open(settings.folder, incarnation, limits);
    if (!store)
        return fromStore(store.error());
    core::RecoveredReplica recovered = store.value().takeRecovered(kGroup);
    const bool isFounder = founds && store.value().incarnation() == kFoundingIncarnation;
    if (isEmpty(recovered) && isFounder) {
        store::Result<core::RecoveredReplica> begun = found(store.value(), settings.seeds);
        if (!begun)
            return fromStore(begun.error());
        recovered = std::move(begun.value());
    }
    core::ReplicaConfig config;
    config.group = kGroup;
    config.self = core::ReplicaId{settings.self, store.value().incarnation()};
    config.seeds = settings.seeds;
    config.timing = timing();
    config.limits.snapshotAfterEntries = kSnapshotAfterEntries;
    config.limits.keptEntries = kKeptEntries;
    config.members = membershipPolicy(settings.tolerated);
    return std::unique_ptr<ReplicaDriver>(new ReplicaDriver(
            io, std::move(hooks), std::move(store.value()), config, std::move(recovered)));
}

ReplicaDriver::ReplicaDriver(asio::io_context &io, ReplicaHooks hooks, store::ReplicaStore store,
                             const core::ReplicaConfig &config, core::RecoveredReplica recovered)
    : io_(io)
    , timer_(io)
    , hooks_(std::move(hooks))
    , store_(std::move(store))
    , replica_(config, recovered, std::minstd_rand(std::random_device()()), clock_.now())
    , recovered_(recovered.snapshot)
{}

void ReplicaDriver::start()
{
    if (recovered_)
        hooks_.load(recovered_->data);
    noteMembership();
    scheduleTick();
}

void ReplicaDriver::propose(std::string payload, Done done)
{
    const core::ProposalId id{++lastProposal_};
    proposals_.emplace(id, std::move(done));
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

// Hooks may lead to further inputs; those wait until the actions before them are carried out.
void ReplicaDriver::step(core::ReplicaInput input)
{
    inputs_.push_back(std::move(input));
    if (stepping_)
        return;
    stepping_ = true;
    while (!inputs_.empty()) {
        const core::ReplicaInput next = std::move(inputs_.front());
        inputs_.pop_front();
        stepNow(next);
    }
    stepping_ = false;
    if (!writing_ && !writes_.empty())
        flush();
    scheduleTick();
}

void ReplicaDriver::stepNow(const core::ReplicaInput &input)
{
    for (const core::ReplicaAction &action : replica_.step(input, clock_.now()))
        std::visit([this](const auto &one) { perform(one); }, action);
    noteMembership();
}

// Gives all writes that have gathered to the disk thread, with one sync.
void ReplicaDriver::flush()
{
    writing_ = true;
    auto batch = std::make_shared<std::vector<DiskWrite>>(std::exchange(writes_, {}));
    const core::WriteToken token = written_;
    const std::vector<core::SnapshotPtr> saved = std::exchange(saved_, {});
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
            writing_ = false;
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
    timer_.expires_after(std::min(replica_.nextDeadline(), now + kLongestWait) - now);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            step(core::Tick{});
    });
}

void ReplicaDriver::noteMembership()
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
    writes_.emplace_back([state = action.state](store::ReplicaStore &store) {
        return store.writeHardState(kGroup, state);
    });
    written_ = std::max(written_, action.token);
}

void ReplicaDriver::perform(const core::WriteEntries &action)
{
    writes_.emplace_back([entries = action.entries](store::ReplicaStore &store) {
        return store.writeEntries(kGroup, entries);
    });
    written_ = std::max(written_, action.token);
}

void ReplicaDriver::perform(const core::InstallSnapshot &action)
{
    hooks_.load(action.snapshot->data);
    writes_.emplace_back([snapshot = action.snapshot](store::ReplicaStore &store) {
        return store.installSnapshot(kGroup, *snapshot);
    });
    written_ = std::max(written_, action.token);
}

void ReplicaDriver::perform(const core::ApplyEntries &action)
{
    for (const core::LogEntry &entry : action.entries) {
        if (entry.kind == core::EntryKind::Command)
            hooks_.apply(entry.payload);
    }
}

void ReplicaDriver::perform(const core::TakeSnapshot &action)
{
    core::Snapshot snapshot;
    snapshot.meta = action.meta;
    snapshot.data = hooks_.save();
    const auto saved = std::make_shared<const core::Snapshot>(std::move(snapshot));
    writes_.emplace_back(
            [saved](store::ReplicaStore &store) { return store.saveSnapshot(kGroup, *saved); });
    saved_.push_back(saved);
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
    const Done done = std::move(found->second);
    proposals_.erase(found);
    done(action.outcome);
}

// Reads go by lease here, so none is asked for.
void ReplicaDriver::perform(const core::ReadDone & /*action*/) {}

void ReplicaDriver::perform(const core::InvariantBroken &action)
{
    hooks_.failed(action.detail);
}

} // namespace fireflyroute::app
