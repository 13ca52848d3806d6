// One member of one replication group: an own protocol in the manner of Raft. The log is replicated
// by a leader that a majority elected, and an entry is committed once a majority has it on disk.
//
//   Replica replica(config, recovered, std::minstd_rand(seed), clock.now());
//   std::vector<ReplicaAction> actions = replica.step(Propose{{Proposal{id, bytes}}}, clock.now());
//
// The owner (the control thread) runs this loop:
//   1. Wait for an input or until replica.nextDeadline(), and step() with the input or a Tick.
//   2. Carry out the actions in their order. Writes may be gathered over several steps and groups;
//      after one sync, step() with SyncCompleted and the largest token. The replica itself holds
//      back each message that must not leave before a write is on disk.
//   3. After a failed write or sync, or InvariantViolated, stop the process.
// Several inputs may be stepped before the actions are carried out, as long as the order is kept.
//
// Guarantees, under lost, delayed, repeated and reordered messages and restarts from disk:
//   - at most one leader in a term; logs agree on the committed prefix; a proposal that ended as
//     Committed is in every later leader's log;
//   - ReadDone{ready} comes only when everything acknowledged before the ReadBarrier is applied. By
//     lease this rests on clocks that drift apart less than ReplicaTiming::driftMargin; nothing
//     else rests on clocks.
//
// Life of a group: its first members start with newGroup() holding all of them as voters, or one VM
// does so alone. Every other VM starts with an empty RecoveredReplica and `seeds`: it asks to join,
// becomes a learner, catches up, and then becomes a voter by itself, up to MembershipPolicy. A VM
// that lost its data folder does the same under a larger Incarnation; its earlier life is removed
// on the way. A voter that is lost for good gives its place to a spare learner.

#ifndef FIREFLYROUTE_CORE_REPLICA_H
#define FIREFLYROUTE_CORE_REPLICA_H

#include "core/clock.h"
#include "core/replica_actions.h"
#include "core/replica_config.h"
#include "core/replica_election.h"
#include "core/replica_log.h"
#include "core/replica_progress.h"
#include "core/replica_writes.h"

#include <deque>
#include <map>
#include <random>

namespace fireflyroute::core {

class Replica
{
public:
    // `rng` draws the election timeouts. `recovered` is what the disk holds; the owner has loaded
    // the state machine from its snapshot. Entries behind it come again by ApplyEntries.
    Replica(ReplicaConfig config, RecoveredReplica recovered, std::minstd_rand rng, Instant now);

    // Takes one input and returns what is to be done about it. Time never runs backwards here: an
    // earlier `now` than the last one counts as the last one.
    [[nodiscard]] std::vector<ReplicaAction> step(const ReplicaInput &input, Instant now);

    // When the next Tick is due.
    [[nodiscard]] Instant nextDeadline() const;

    // Until when no other leader can be elected: the end of the lease. Nothing when this replica is
    // no leader, has not committed an entry of its term yet, or gave the lease up for a transfer.
    [[nodiscard]] std::optional<Instant> leaseUntil(Instant now) const;
    [[nodiscard]] bool hasLease(Instant now) const;

    [[nodiscard]] ReplicaRole role() const { return role_; }
    [[nodiscard]] Term term() const { return hardState_.term; }
    [[nodiscard]] const std::optional<ReplicaId> &leader() const { return leader_; }
    [[nodiscard]] const ReplicaId &self() const { return config_.self; }
    [[nodiscard]] LogIndex commitIndex() const { return commit_; }
    [[nodiscard]] LogIndex appliedIndex() const { return applied_; }
    [[nodiscard]] const ReplicaLog &log() const { return log_; }
    [[nodiscard]] const Membership &membership() const { return log_.membership(); }
    [[nodiscard]] bool isTransferring() const { return transfer_.has_value(); }

private:
    struct PendingRead
    {
        ReadId id{0};
        std::uint64_t round = 0; // has to be confirmed by a majority
        LogIndex index = 0; // has to be applied
    };

    struct Transfer
    {
        ReplicaId target;
        Instant deadline; // steps down then, to be elected anew if the target did nothing
        bool timeoutNowSent = false; // TimeoutNow was sent; the lease is gone for this term
    };

    struct IncomingSnapshot
    {
        SnapshotMeta meta;
        ReplicaId from;
        std::string data; // the first bytes, without a gap
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

    // Following (replica_follower.cpp).
    [[nodiscard]] bool acceptLeader(const ReplicaMessage &message);
    void receive(const ReplicaMessage &message, const AppendRequest &body);
    void receive(const ReplicaMessage &message, const SnapshotChunk &body);
    [[nodiscard]] bool appendEntries(const std::vector<LogEntry> &entries);
    void installSnapshot(const SnapshotMeta &meta, std::string data);

    // Leading (replica_leader.cpp).
    void becomeLeader();
    void resetLeaderState();
    void appendAsLeader(std::vector<LogEntry> entries);
    void startHeartbeatRound();
    void sendEntries(const ReplicaId &to, PeerProgress &peer);
    void sendHeartbeat(const ReplicaId &to, PeerProgress &peer);
    void sendSnapshotChunk(const ReplicaId &to, PeerProgress &peer);
    void replicate();
    void commitByCounting();
    void recordPeerReply(PeerProgress &peer, std::uint64_t round);
    void receive(const ReplicaMessage &message, const AppendReply &body);
    void receive(const ReplicaMessage &message, const SnapshotReply &body);
    void receive(const ReplicaMessage &message, const JoinRequest &body);
    void tickLeader();
    [[nodiscard]] std::optional<ReplicaId> findReplaceableVoter() const;
    void removeLostLearner();
    void confirmReads();
    void sendTimeoutNowWhenReady();
    [[nodiscard]] bool isCaughtUp(const ReplicaId &id) const;
    [[nodiscard]] bool hasCommittedInTerm() const;
    [[nodiscard]] Result<void> tryChange(const MembershipChange &change);

    ReplicaConfig config_;
    std::minstd_rand rng_;
    Instant now_; // the largest instant seen
    std::vector<ReplicaAction> actions_; // of the step that is running

    HardState hardState_; // every change is written at once
    ReplicaLog log_;
    PendingWrites writes_;
    WriteToken hardStateToken_ = 0; // of the newest write of hardState_
    DeferredMessages deferredMessages_; // messages of the present term that wait for a write

    ReplicaRole role_ = ReplicaRole::Follower;
    std::optional<ReplicaId> leader_; // of the present term
    LogIndex commit_ = 0; // never decreases
    LogIndex applied_ = 0; // never above commit_
    SnapshotPtr snapshot_; // the newest one on disk; null when there is none
    bool snapshotRequested_ = false;
    std::optional<IncomingSnapshot> incomingSnapshot_;

    Instant lastLeaderContactAt_; // also the start: a restart forgets whom it heard
    Instant electionDeadline_;
    Instant joinDeadline_;
    VoteTally tally_;

    // Meaningful only while leading.
    ProgressTable peers_;
    LogIndex termStartIndex_ = 0; // the first entry of the own term
    std::uint64_t round_ = 0; // newest heartbeat round
    std::deque<Instant> roundStarts_; // of the rounds firstRound_, firstRound_ + 1, ...
    std::uint64_t firstRound_ = 1;
    Instant heartbeatDeadline_;
    std::map<LogIndex, ProposalId> proposals_; // own proposals that are not committed
    std::deque<PendingRead> pendingReads_;
    std::optional<Transfer> transfer_;
};

} // namespace fireflyroute::core

#endif
