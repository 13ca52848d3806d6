// Inputs, terms, writes, and actions after a commit.

#include "core/group/replica.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace fireflyroute::core {

namespace {

SnapshotMeta snapshotMetaOf(const RecoveredReplica &recovered)
{
    return recovered.snapshot ? recovered.snapshot->meta : SnapshotMeta{};
}

} // namespace

Replica::Replica(ReplicaConfig config, RecoveredReplica recovered, std::minstd_rand rng,
                 Instant now)
    : config_(std::move(config))
    , rng_(rng)
    , now_(now)
    , hardState_(std::move(recovered.hardState))
    , log_(snapshotMetaOf(recovered))
    , commit_(log_.baseIndex())
    , applied_(log_.baseIndex())
    , snapshot_(std::move(recovered.snapshot))
    , lastLeaderContactAt_(now)
    , joinDeadline_(now)
{
    for (LogEntry &entry : recovered.entries)
        log_.append(std::move(entry));
    resetElectionDeadline();
    if (isSoleVoter())
        electionDeadline_ = now;
}

std::vector<ReplicaAction> Replica::step(const ReplicaInput &input, Instant now)
{
    now_ = std::max(now_, now);
    std::visit([this](const auto &typed) { handle(typed); }, input);
    return std::exchange(actions_, {});
}

Instant Replica::nextDeadline() const
{
    if (role_ == ReplicaRole::Leader)
        return transfer_ ? std::min(heartbeatDeadline_, transfer_->deadline) : heartbeatDeadline_;
    Instant deadline = Instant::max();
    if (isElectable())
        deadline = electionDeadline_;
    if (needsToJoin())
        deadline = std::min(deadline, joinDeadline_);
    return deadline;
}

void Replica::handle(const Tick & /*tick*/)
{
    if (role_ == ReplicaRole::Leader)
        tickLeader();
    else if (isElectable() && now_ >= electionDeadline_)
        startPreVote();
    if (needsToJoin() && now_ >= joinDeadline_)
        sendJoinRequests();
}

void Replica::handle(const MessageReceived &input)
{
    const ReplicaMessage &message = input.message;
    if (message.group != config_.group || message.to.vm != config_.self.vm)
        return;
    if (const auto *join = std::get_if<JoinRequest>(&message.body)) {
        receive(message, *join);
        return;
    }
    if (message.to != config_.self || !checkTerm(message))
        return;
    std::visit([&](const auto &body) { receive(message, body); }, message.body);
}

// Compares the term of the sender with the local term. Returns false if the message must not be
// processed further.
bool Replica::checkTerm(const ReplicaMessage &message)
{
    if (std::holds_alternative<PreVoteRequest>(message.body))
        return true;
    const auto *voteRequest = std::get_if<VoteRequest>(&message.body);
    if (message.term > hardState_.term) {
        if (voteRequest && !voteRequest->transfer && refusesVotes())
            return false;
        becomeFollower(message.term, std::nullopt);
        return true;
    }
    if (message.term == hardState_.term)
        return true;
    const bool isFromStaleLeader = std::holds_alternative<AppendRequest>(message.body)
                                   || std::holds_alternative<SnapshotChunk>(message.body);
    if (isFromStaleLeader)
        send(message.from, AppendReply{});
    if (voteRequest)
        send(message.from, VoteReply{});
    return false;
}

void Replica::handle(const SyncCompleted &input)
{
    writes_.complete(input.token);
    for (ReplicaMessage &message : deferredMessages_.takeReady(writes_))
        actions_.emplace_back(SendMessage{std::move(message)});
    if (role_ == ReplicaRole::Candidate)
        countLocalVote();
    if (role_ == ReplicaRole::Leader)
        commitByCounting();
}

void Replica::handle(const Propose &input)
{
    const bool canPropose = role_ == ReplicaRole::Leader && !transfer_;
    if (!canPropose) {
        for (const Proposal &proposal : input.proposals)
            actions_.emplace_back(ProposalDone{proposal.id, ProposalOutcome::Refused,
                                               std::string(nameOf(CoreError::NotLeader))});
        return;
    }
    if (!canHold(input)) {
        for (const Proposal &proposal : input.proposals)
            actions_.emplace_back(ProposalDone{proposal.id, ProposalOutcome::Refused,
                                               "too much of the log is in no snapshot"});
        // The others commit without this disk, so that one of them can go on.
        if (writes_.durableIndex(log_.lastIndex()) < commit_)
            handle(TransferLeadership{});
        return;
    }
    std::vector<LogEntry> entries;
    LogIndex index = log_.lastIndex();
    for (const Proposal &proposal : input.proposals) {
        entries.push_back(LogEntry{.kind = EntryKind::Command, .payload = proposal.payload});
        proposals_.emplace(++index, proposal.id);
    }
    appendAsLeader(std::move(entries));
}

// Whether the log may grow by the proposals. A single one is allowed whatever its size.
bool Replica::canHold(const Propose &input) const
{
    const std::uint64_t uncovered = log_.bytesAfter(snapshotIndex());
    std::uint64_t added = 0;
    for (const Proposal &proposal : input.proposals)
        added += proposal.payload.size();
    return uncovered == 0 || uncovered + added <= config_.limits.maxUncoveredBytes;
}

void Replica::handle(const ChangeMembership &input)
{
    const Result<void> changed = tryChange(input.change);
    if (changed)
        proposals_.emplace(log_.lastIndex(), input.id);
    else
        actions_.emplace_back(
                ProposalDone{input.id, ProposalOutcome::Refused, changed.error().detail});
}

void Replica::handle(const SnapshotCompleted &input)
{
    snapshotRequested_ = false;
    const LogIndex index = input.snapshot->meta.index;
    if (index <= snapshotIndex())
        return;
    snapshot_ = input.snapshot;
    log_.compactTo(
            log_.baseToRetain(index, config_.limits.retainedEntries, config_.limits.retainedBytes));
    if (role_ == ReplicaRole::Leader)
        replaceUnusedSnapshots();
    requestSnapshot(); // entries applied meanwhile may suffice for the next one
}

void Replica::becomeFollower(Term term, const std::optional<ReplicaId> &leader)
{
    if (role_ == ReplicaRole::Leader) {
        resetLeaderState();
        resetElectionDeadline();
    }
    if (term > hardState_.term) {
        hardState_ = HardState{term, std::nullopt};
        deferredMessages_.clear();
        incomingSnapshot_.reset();
        writeHardState();
    }
    setRole(ReplicaRole::Follower, leader);
}

void Replica::setRole(ReplicaRole role, const std::optional<ReplicaId> &leader)
{
    const RoleChanged changed{role, hardState_.term, leader};
    const bool hasChanged = role != role_ || leader != leader_;
    role_ = role;
    leader_ = leader;
    if (hasChanged)
        actions_.emplace_back(changed);
}

void Replica::writeHardState()
{
    hardStateToken_ = writes_.begin();
    actions_.emplace_back(WriteHardState{hardStateToken_, hardState_});
}

void Replica::writeEntries(std::vector<LogEntry> entries)
{
    const WriteToken token = writes_.begin(entries.front().index);
    actions_.emplace_back(WriteEntries{token, std::move(entries)});
}

// Sends the message once the current term is on disk.
void Replica::send(const ReplicaId &to, MessageBody body)
{
    ReplicaMessage message{config_.group, config_.self, to, hardState_.term, std::move(body)};
    if (writes_.isComplete(hardStateToken_))
        actions_.emplace_back(SendMessage{std::move(message)});
    else
        deferredMessages_.defer(hardStateToken_, std::move(message));
}

// Sends the message once all writes so far are on disk. Used for messages that acknowledge written
// data.
void Replica::sendAfterWrites(const ReplicaId &to, MessageBody body)
{
    ReplicaMessage message{config_.group, config_.self, to, hardState_.term, std::move(body)};
    if (writes_.isComplete(writes_.last()))
        actions_.emplace_back(SendMessage{std::move(message)});
    else
        deferredMessages_.defer(writes_.last(), std::move(message));
}

void Replica::reportInvariantViolation(std::string detail)
{
    actions_.emplace_back(InvariantViolated{std::move(detail)});
}

void Replica::advanceCommit(LogIndex index)
{
    if (index <= commit_)
        return;
    commit_ = index;
    applyCommitted();
}

void Replica::applyCommitted()
{
    const auto unlimited = std::numeric_limits<std::size_t>::max();
    actions_.emplace_back(ApplyEntries{log_.slice(applied_ + 1, commit_ - applied_, unlimited)});
    applied_ = commit_;
    completeProposals();
    requestSnapshot();
    if (role_ != ReplicaRole::Leader)
        return;
    confirmReads();
    const bool isRemoved =
            log_.membershipIndex() <= commit_ && !isVoter(membership(), config_.self);
    if (isRemoved)
        becomeFollower(hardState_.term, std::nullopt);
}

void Replica::completeProposals()
{
    while (!proposals_.empty() && proposals_.begin()->first <= commit_) {
        actions_.emplace_back(
                ProposalDone{proposals_.begin()->second, ProposalOutcome::Committed, {}});
        proposals_.erase(proposals_.begin());
    }
}

void Replica::requestSnapshot()
{
    const ReplicaLimits &limits = config_.limits;
    const std::uint64_t appliedBytes = log_.bytesAfter(snapshotIndex()) - log_.bytesAfter(applied_);
    const bool isDue = applied_ >= snapshotIndex() + limits.snapshotAfterEntries
                       || appliedBytes >= limits.snapshotAfterBytes;
    if (snapshotRequested_ || !isDue)
        return;
    snapshotRequested_ = true;
    actions_.emplace_back(
            TakeSnapshot{{applied_, *log_.termAt(applied_), log_.membershipAt(applied_)}});
}

} // namespace fireflyroute::core
