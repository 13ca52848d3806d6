// One member of a replication group. The protocol is a variant of Raft: a leader elected by a
// majority replicates the log, and an entry is committed once a majority has it on disk.
//
//   Replica replica(config, recovered, std::minstd_rand(seed), clock.now());
//   std::vector<ReplicaAction> actions = replica.step(Propose{{Proposal{id, bytes}}}, clock.now());
//
// The owner (the control thread) runs this loop:
//   1. Wait for an input or until replica.nextDeadline(), and call step() with the input or a Tick.
//   2. Execute the actions in order. Writes of several steps and groups may be batched; after one
//      sync, call step() with SyncCompleted and the largest token. The replica itself defers every
//      message that must not be sent before a write is on disk.
//   3. After a failed write or sync, or InvariantViolated, stop the process.
// Several inputs may be processed before their actions are executed, as long as the order is kept.
//
// The following holds if messages are lost, delayed, duplicated or reordered and replicas restart
// from disk:
//   - There is at most one leader per term, all logs agree on the committed prefix, and a proposal
//     with the outcome Committed is in the log of every later leader.
//   - ReadDone{ready} is returned only after everything acknowledged before the ReadBarrier has
//     been applied. If the read uses the lease, this requires that clocks drift apart by less than
//     ReplicaTiming::driftMargin. Nothing else depends on clocks.
//
// Lifecycle of a group: its first members start with newGroup(), which contains all of them as
// voters, or a single VM does so. Every other VM starts with an empty RecoveredReplica and `seeds`:
// it requests to join, becomes a learner, catches up, and is then promoted to voter automatically
// within the limits of MembershipPolicy. A VM that lost its data directory does the same under a
// larger Incarnation, and its earlier incarnation is removed in the process. A voter that is
// permanently lost is replaced by a spare learner.

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_H

#include "core/common/clock.h"
#include "core/group/replica_actions.h"
#include "core/group/replica_config.h"
#include "core/group/replica_election.h"
#include "core/group/replica_log.h"
#include "core/group/replica_progress.h"
#include "core/group/replica_writes.h"

#include <deque>
#include <map>
#include <random>

namespace fireflyroute::core {

class Replica
{
public:
    // `rng` samples the election timeouts. `recovered` is the state on disk; the owner has already
    // loaded the state machine from its snapshot. Later entries are delivered again by
    // ApplyEntries.
    Replica(ReplicaConfig config, RecoveredReplica recovered, std::minstd_rand rng, Instant now);

    // Processes one input and returns the actions to execute. Time never decreases here: a `now`
    // before the previous one is treated as equal to it.
    [[nodiscard]] std::vector<ReplicaAction> step(const ReplicaInput &input, Instant now);

    // When the next Tick is due.
    [[nodiscard]] Instant nextDeadline() const;

    // Replaces the seeds that receive join requests.
    void setSeeds(std::vector<VmId> seeds) { config_.seeds = std::move(seeds); }

    // Returns the end of the leader lease, before which no other leader can be elected. Nullopt if
    // this replica is not the leader, has not yet committed an entry of its term, gave up the lease
    // for a leadership transfer, or has no recent heartbeat round that a majority confirmed.
    [[nodiscard]] std::optional<Instant> leaseUntil(Instant now) const;
    [[nodiscard]] bool hasLease(Instant now) const;

    [[nodiscard]] ReplicaRole role() const { return role_; }
    [[nodiscard]] Term term() const { return hardState_.term; }
    [[nodiscard]] const std::optional<ReplicaId> &leader() const { return leader_; }
    [[nodiscard]] const ReplicaId &self() const { return config_.self; }
    [[nodiscard]] LogIndex commitIndex() const { return commit_; }
    [[nodiscard]] LogIndex appliedIndex() const { return applied_; }
    [[nodiscard]] const ReplicaLog &log() const { return log_; }
    // The newest snapshot on disk; null if there is none.
    [[nodiscard]] const SnapshotPtr &snapshot() const { return snapshot_; }
    [[nodiscard]] const Membership &membership() const { return log_.membership(); }
    [[nodiscard]] bool isTransferring() const { return transfer_.has_value(); }

private:
    struct PendingRead
    {
        ReadId id{0};
        std::uint64_t round = 0; // round that a majority must confirm
        LogIndex index = 0; // index that must be applied
    };

    struct Transfer
    {
        ReplicaId target;
        // If the target has not taken over by then, the leader steps down and an election follows.
        Instant deadline;
        bool timeoutNowSent = false; // TimeoutNow was sent; no lease for the rest of the term
    };

    struct IncomingSnapshot
    {
        SnapshotMeta meta;
        ReplicaId from;
        std::string data; // contiguous bytes from the start
    };

    // Inputs (replica.cpp).
    [[nodiscard]] bool checkTerm(const ReplicaMessage &message);
    void handle(const Tick &tick);
    void handle(const MessageReceived &input);
    void handle(const SyncCompleted &input);
    void handle(const Propose &input);
    void handle(const ChangeMembership &input);
    void handle(const ReadBarrier &input);
    void handle(const SnapshotCompleted &input);
    void handle(const TransferLeadership &input);

    // Terms and roles (replica.cpp).
    void becomeFollower(Term term, const std::optional<ReplicaId> &leader);
    void setRole(ReplicaRole role, const std::optional<ReplicaId> &leader);
    void writeHardState();
    void writeEntries(std::vector<LogEntry> entries);
    void send(const ReplicaId &to, MessageBody body);
    void sendAfterWrites(const ReplicaId &to, MessageBody body);
    void reportInvariantViolation(std::string detail);

    // Commit and apply (replica.cpp).
    void advanceCommit(LogIndex index);
    void applyCommitted();
    void completeProposals();
    void requestSnapshot();
    [[nodiscard]] LogIndex snapshotIndex() const { return snapshot_ ? snapshot_->meta.index : 0; }
    [[nodiscard]] bool canHold(const Propose &input) const;

    // Elections (replica_campaign.cpp).
    [[nodiscard]] bool isElectable() const;
    [[nodiscard]] bool isSoleVoter() const;
    [[nodiscard]] bool needsToJoin() const;
    [[nodiscard]] bool refusesVotes() const;
    [[nodiscard]] bool isUpToDate(LogIndex lastIndex, Term lastTerm) const;
    void resetElectionDeadline();
    void startPreVote();
    void startElection(bool transfer);
    void countLocalVote();
    void checkElectionWon();
    void receive(const ReplicaMessage &message, const PreVoteRequest &body);
    void receive(const ReplicaMessage &message, const VoteRequest &body);
    void receive(const ReplicaMessage &message, const VoteReply &body);
    void receive(const ReplicaMessage &message, const TimeoutNow &body);
    void sendJoinRequests();
    void forwardJoinRequest(const ReplicaMessage &message, const JoinRequest &body);

    // Follower (replica_follower.cpp).
    [[nodiscard]] bool acceptLeader(const ReplicaMessage &message);
    void receive(const ReplicaMessage &message, const AppendRequest &body);
    void receive(const ReplicaMessage &message, const SnapshotChunk &body);
    [[nodiscard]] bool appendEntries(const std::vector<LogEntry> &entries);
    void installSnapshot(const SnapshotMeta &meta, std::string data);

    // Leader (replica_leader.cpp).
    void becomeLeader();
    void resetLeaderState();
    void appendAsLeader(std::vector<LogEntry> entries);
    void startHeartbeatRound();
    void sendEntries(const ReplicaId &to, PeerProgress &peer);
    void sendHeartbeat(const ReplicaId &to, PeerProgress &peer);
    void sendSnapshotChunk(const ReplicaId &to, PeerProgress &peer);
    void replicate();
    void replaceUnusedSnapshots();
    void commitByCounting();
    void recordPeerReply(PeerProgress &peer, std::uint64_t round);
    void receive(const ReplicaMessage &message, const AppendReply &body);
    void receive(const ReplicaMessage &message, const SnapshotReply &body);
    void receive(const ReplicaMessage &message, const JoinRequest &body);
    void tickLeader();
    [[nodiscard]] std::optional<ReplicaId> findReplaceableVoter() const;
    void removeLostLearner();
    void promoteLearners();
    bool startJoinStep(const ReplicaId &id, MemberRole role);
    void confirmReads();
    void sendTimeoutNowWhenReady();
    [[nodiscard]] bool isCaughtUp(const ReplicaId &id) const;
    [[nodiscard]] bool hasCommittedInTerm() const;
    [[nodiscard]] Result<void> tryChange(const MembershipChange &change);

    ReplicaConfig config_;
    std::minstd_rand rng_;
    Instant now_; // the latest instant passed to step()
    std::vector<ReplicaAction> actions_; // actions of the current step

    HardState hardState_; // every change is written immediately
    ReplicaLog log_;
    PendingWrites writes_;
    WriteToken hardStateToken_ = 0; // token of the newest write of hardState_
    DeferredMessages deferredMessages_; // messages of the current term that wait for a write

    ReplicaRole role_ = ReplicaRole::Follower;
    std::optional<ReplicaId> leader_; // leader of the current term
    LogIndex commit_ = 0; // never decreases
    LogIndex applied_ = 0; // never above commit_
    SnapshotPtr snapshot_; // newest snapshot on disk; null if none
    bool snapshotRequested_ = false;
    std::optional<IncomingSnapshot> incomingSnapshot_;

    Instant lastLeaderContactAt_; // initially the start time, as earlier contacts are unknown
    Instant electionDeadline_;
    Instant joinDeadline_;
    VoteTally tally_;

    // Valid only while this replica is the leader.
    ProgressTable peers_;
    LogIndex termStartIndex_ = 0; // first entry of the current term
    std::uint64_t round_ = 0; // newest heartbeat round
    std::deque<Instant> roundStarts_; // start times of the rounds from firstRound_ on
    std::uint64_t firstRound_ = 1;
    Instant heartbeatDeadline_;
    std::map<LogIndex, ProposalId> proposals_; // proposals not committed yet
    std::deque<PendingRead> pendingReads_;
    std::optional<Transfer> transfer_;
};

} // namespace fireflyroute::core

#endif
