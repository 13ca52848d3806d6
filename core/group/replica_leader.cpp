// Leader: replication, commit by counting, lease, reads, membership and transfer.

#include "core/group/replica.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

namespace {

constexpr std::size_t kMaxRoundStarts = 1024; // older rounds confirm the leadership but not a lease

} // namespace

void Replica::becomeLeader()
{
    setRole(ReplicaRole::Leader, config_.self);
    peers_.clear();
    peers_.updateMembers(membership(), config_.self, log_.lastIndex() + 1, now_);
    roundStarts_.clear();
    firstRound_ = round_ + 1;
    termStartIndex_ = log_.lastIndex() + 1;
    startHeartbeatRound();
    appendAsLeader({LogEntry{.kind = EntryKind::Noop}});
}

void Replica::resetLeaderState()
{
    for (const auto &[index, id] : proposals_)
        actions_.emplace_back(ProposalDone{id, ProposalOutcome::Unknown, {}});
    proposals_.clear();
    for (const PendingRead &read : pendingReads_)
        actions_.emplace_back(ReadDone{read.id, false});
    pendingReads_.clear();
    transfer_.reset();
    peers_.clear();
}

void Replica::appendAsLeader(std::vector<LogEntry> entries)
{
    if (entries.empty())
        return;
    for (LogEntry &entry : entries) {
        entry.index = log_.lastIndex() + 1;
        entry.term = hardState_.term;
        log_.append(entry);
    }
    peers_.updateMembers(membership(), config_.self, log_.lastIndex(), now_);
    writeEntries(std::move(entries));
    replicate();
}

void Replica::startHeartbeatRound()
{
    ++round_;
    roundStarts_.push_back(now_);
    if (roundStarts_.size() > kMaxRoundStarts) {
        roundStarts_.pop_front();
        ++firstRound_;
    }
    heartbeatDeadline_ = now_ + config_.timing.heartbeat;
    for (auto &[id, peer] : peers_.peers())
        sendHeartbeat(id, peer);
}

void Replica::sendHeartbeat(const ReplicaId &to, PeerProgress &peer)
{
    peer.probeInFlight = false; // a probe without a reply by now is treated as lost
    const bool sendsSnapshot = peer.mode == ProgressMode::Snapshot;
    const LogIndex previous =
            sendsSnapshot ? log_.baseIndex() : std::max(peer.next - 1, log_.baseIndex());
    send(to, AppendRequest{previous, *log_.termAt(previous), {}, commit_, round_});
    if (sendsSnapshot && now_ >= peer.chunkSentAt + config_.timing.electionMin)
        sendSnapshotChunk(to, peer);
}

void Replica::sendEntries(const ReplicaId &to, PeerProgress &peer)
{
    const ReplicaLimits &limits = config_.limits;
    while (peer.canSend(limits.maxInFlightBatches, limits.maxInFlightBytes)
           && peer.next <= log_.lastIndex()) {
        const LogIndex previous = peer.next - 1;
        if (previous < log_.baseIndex()) {
            peer.startSnapshot(snapshot_);
            sendSnapshotChunk(to, peer);
            return;
        }
        std::vector<LogEntry> entries =
                log_.slice(peer.next, limits.maxBatchEntries, limits.maxBatchBytes);
        std::size_t bytes = 0;
        for (const LogEntry &entry : entries)
            bytes += entry.payload.size();
        peer.recordSent(entries.back().index, bytes);
        send(to,
             AppendRequest{previous, *log_.termAt(previous), std::move(entries), commit_, round_});
    }
}

void Replica::sendSnapshotChunk(const ReplicaId &to, PeerProgress &peer)
{
    const Snapshot &snapshot = *peer.snapshot;
    peer.chunkSentAt = now_;
    send(to,
         SnapshotChunk{snapshot.meta, snapshot.data.size(), peer.snapshotOffset,
                       snapshot.data.substr(peer.snapshotOffset, config_.limits.snapshotChunkBytes),
                       round_});
}

void Replica::replicate()
{
    for (auto &[id, peer] : peers_.peers())
        sendEntries(id, peer);
}

// Members that are away would otherwise hold an old snapshot each.
void Replica::replaceUnusedSnapshots()
{
    for (auto &[id, peer] : peers_.peers()) {
        const bool isSilent = now_ - peer.lastReplyAt >= config_.timing.electionMax;
        if (peer.mode == ProgressMode::Snapshot && isSilent)
            peer.startSnapshot(snapshot_);
    }
}

// Only entries of the current term are committed by counting copies; this also commits all entries
// before them.
void Replica::commitByCounting()
{
    const LogIndex synced = writes_.durableIndex(log_.lastIndex());
    const LogIndex index = peers_.quorumMatch(membership(), config_.self, synced,
                                              config_.membershipPolicy.minCopies);
    if (index > commit_ && log_.termAt(index) == hardState_.term)
        advanceCommit(index);
}

void Replica::recordPeerReply(PeerProgress &peer, std::uint64_t round)
{
    peer.lastReplyAt = now_;
    if (round <= peer.confirmedRound || round > round_)
        return;
    peer.confirmedRound = round;
    if (round >= firstRound_)
        peer.confirmedAt = roundStarts_[round - firstRound_];
}

void Replica::receive(const ReplicaMessage &message, const AppendReply &body)
{
    PeerProgress *peer = role_ == ReplicaRole::Leader ? peers_.find(message.from) : nullptr;
    if (!peer || body.match > log_.lastIndex())
        return;
    recordPeerReply(*peer, body.round);
    if (body.success)
        peer->recordMatch(body.match);
    else
        peer->recordRejection(body.rejected, body.hint);
    sendEntries(message.from, *peer);
    commitByCounting();
    if (role_ != ReplicaRole::Leader)
        return;
    confirmReads();
    sendTimeoutNowWhenReady();
}

void Replica::receive(const ReplicaMessage &message, const SnapshotReply &body)
{
    PeerProgress *peer = role_ == ReplicaRole::Leader ? peers_.find(message.from) : nullptr;
    if (!peer)
        return;
    recordPeerReply(*peer, body.round);
    const bool isCurrent = peer->mode == ProgressMode::Snapshot
                           && peer->snapshot->meta.index == body.index
                           && body.nextOffset != peer->snapshotOffset
                           && body.nextOffset <= peer->snapshot->data.size();
    if (!isCurrent)
        return;
    peer->snapshotOffset = body.nextOffset;
    sendSnapshotChunk(message.from, *peer);
}

// The sender repeats its request until it has its role, so a change that is refused now is retried
// later.
void Replica::receive(const ReplicaMessage &message, const JoinRequest &body)
{
    if (role_ != ReplicaRole::Leader) {
        forwardJoinRequest(message, body);
        return;
    }
    (void)startJoinStep(message.from, body.role);
}

// Starts the next change of membership by which the VM gets the role. Returns whether there was one
// that is allowed now.
bool Replica::startJoinStep(const ReplicaId &id, MemberRole role)
{
    const JoinCandidate candidate{id, role, isCaughtUp(id), config_.membershipPolicy.maxVoters,
                                  findReplaceableVoter()};
    const std::optional<MembershipChange> change = planJoin(membership(), candidate);
    return change && tryChange(*change);
}

void Replica::promoteLearners()
{
    if (!config_.membershipPolicy.promotesLearners)
        return;
    const std::vector<Member> members = membership().members;
    for (const Member &member : members) {
        const bool isWaiting = member.role == MemberRole::Learner && isCaughtUp(member.id);
        if (isWaiting && startJoinStep(member.id, MemberRole::Voter))
            return;
    }
}

// Returns the voter with the oldest last reply, if that is at least replaceVoterAfter ago.
std::optional<ReplicaId> Replica::findReplaceableVoter() const
{
    if (!config_.membershipPolicy.replaceVoterAfter)
        return std::nullopt;
    std::optional<ReplicaId> found;
    Instant lastReplyAt = now_ - *config_.membershipPolicy.replaceVoterAfter;
    for (const Member &member : membership().members) {
        const PeerProgress *peer = peers_.find(member.id);
        if (member.role != MemberRole::Voter || !peer || peer->lastReplyAt > lastReplyAt)
            continue;
        lastReplyAt = peer->lastReplyAt;
        found = member.id;
    }
    return found;
}

void Replica::removeLostLearner()
{
    if (!config_.membershipPolicy.removeLearnerAfter)
        return;
    for (const Member &member : membership().members) {
        const PeerProgress *peer = peers_.find(member.id);
        const bool isLost =
                member.role == MemberRole::Learner && peer
                && now_ - peer->lastReplyAt >= *config_.membershipPolicy.removeLearnerAfter;
        if (isLost) {
            (void)tryChange(MembershipChange{ChangeKind::Remove, member.id});
            return;
        }
    }
}

bool Replica::isCaughtUp(const ReplicaId &id) const
{
    const PeerProgress *peer = peers_.find(id);
    return peer && peer->mode == ProgressMode::Replicate
           && peer->match + config_.limits.maxCaughtUpLag >= commit_;
}

bool Replica::hasCommittedInTerm() const
{
    return commit_ >= termStartIndex_;
}

Result<void> Replica::tryChange(const MembershipChange &change)
{
    if (role_ != ReplicaRole::Leader || transfer_)
        return CoreFailure{CoreError::NotLeader, "not the leader"};
    if (!hasCommittedInTerm())
        return CoreFailure{CoreError::NotAllowed, "no entry of this term is committed yet"};
    if (log_.membershipIndex() > commit_)
        return CoreFailure{CoreError::NotAllowed, "another change of membership is under way"};
    if (change.kind == ChangeKind::Promote && !isCaughtUp(change.id))
        return CoreFailure{CoreError::NotAllowed, "the learner is not caught up"};
    BOOST_OUTCOME_TRY(next, applyChange(membership(), change));
    LogEntry entry{.kind = EntryKind::Membership};
    entry.membership = std::move(next);
    appendAsLeader({std::move(entry)});
    return outcome::success();
}

void Replica::tickLeader()
{
    const Instant lastReplyAt = peers_.quorumLastReplyAt(membership(), config_.self, now_);
    const bool hasLostQuorum = now_ > lastReplyAt + config_.timing.electionMax;
    const bool hasTransferTimedOut = transfer_ && now_ >= transfer_->deadline;
    if (hasLostQuorum || hasTransferTimedOut) {
        becomeFollower(hardState_.term, std::nullopt);
        return;
    }
    if (now_ < heartbeatDeadline_)
        return;
    startHeartbeatRound();
    replicate();
    removeLostLearner();
    promoteLearners();
}

std::optional<Instant> Replica::leaseUntil(Instant now) const
{
    const bool canHoldLease = role_ == ReplicaRole::Leader && hasCommittedInTerm()
                              && !(transfer_ && transfer_->timeoutNowSent);
    if (!canHoldLease)
        return std::nullopt;
    const std::optional<Instant> confirmedAt =
            peers_.quorumConfirmedAt(membership(), config_.self, std::max(now, now_));
    if (!confirmedAt)
        return std::nullopt;
    return *confirmedAt + config_.timing.electionMin - config_.timing.driftMargin;
}

bool Replica::hasLease(Instant now) const
{
    const std::optional<Instant> until = leaseUntil(now);
    return until && std::max(now, now_) < *until;
}

void Replica::handle(const ReadBarrier &input)
{
    if (role_ != ReplicaRole::Leader) {
        actions_.emplace_back(ReadDone{input.id, false});
        return;
    }
    if (hasLease(now_)) {
        actions_.emplace_back(ReadDone{input.id, true});
        return;
    }
    startHeartbeatRound();
    pendingReads_.push_back(PendingRead{input.id, round_, std::max(commit_, termStartIndex_)});
    confirmReads();
}

void Replica::confirmReads()
{
    const std::uint64_t confirmed = peers_.quorumRound(membership(), config_.self, round_);
    while (!pendingReads_.empty() && pendingReads_.front().round <= confirmed
           && pendingReads_.front().index <= applied_) {
        actions_.emplace_back(ReadDone{pendingReads_.front().id, true});
        pendingReads_.pop_front();
    }
}

void Replica::handle(const TransferLeadership & /*input*/)
{
    if (role_ != ReplicaRole::Leader || transfer_)
        return;
    const ReplicaId *target = nullptr;
    LogIndex bestMatch = 0;
    for (const auto &[id, peer] : peers_.peers()) {
        if (!isVoter(membership(), id) || (target && peer.match <= bestMatch))
            continue;
        target = &id;
        bestMatch = peer.match;
    }
    if (!target)
        return;
    transfer_ = Transfer{*target, now_ + config_.timing.electionMax};
    sendTimeoutNowWhenReady();
}

void Replica::sendTimeoutNowWhenReady()
{
    if (!transfer_ || transfer_->timeoutNowSent)
        return;
    const PeerProgress *peer = peers_.find(transfer_->target);
    if (!peer || peer->match < log_.lastIndex())
        return;
    transfer_->timeoutNowSent = true;
    send(transfer_->target, TimeoutNow{});
}

} // namespace fireflyroute::core
