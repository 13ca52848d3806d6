// Inputs that the control thread passes to a Replica (core/group/replica.h), and actions that the
// Replica requests from the control thread.

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_ACTIONS_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_ACTIONS_H

#include "core/group/replica_membership.h"
#include "core/group/replication_types.h"

namespace fireflyroute::core {

// Token of a write. Tokens increase with each write that a replica requests.
using WriteToken = std::uint64_t;

// Ids that the caller assigns to its proposals and reads, to match them with their outcomes.
enum class ProposalId : std::uint64_t {};
enum class ReadId : std::uint64_t {};

// --- Inputs -----------------------------------------------------------------------------------

// Time has passed. Due at Replica::nextDeadline(); earlier or later ticks are harmless.
struct Tick
{};

struct MessageReceived
{
    ReplicaMessage message;
};

// All writes with tokens up to this one are on disk.
struct SyncCompleted
{
    WriteToken token = 0;
};

struct Proposal
{
    ProposalId id{0};
    SharedBytes payload;
};

// Commands to append to the log, in order. Each command gets its own ProposalDone.
struct Propose
{
    std::vector<Proposal> proposals;
};

// A change of a single member. The outcome is reported by ProposalDone.
struct ChangeMembership
{
    ProposalId id{0};
    MembershipChange change;
};

// Requests a point at which a read observes everything acknowledged before. The outcome is reported
// by ReadDone.
struct ReadBarrier
{
    ReadId id{0};
};

// Response to TakeSnapshot once the snapshot is on disk.
struct SnapshotCompleted
{
    SnapshotPtr snapshot;
};

// Transfers leadership to the most up-to-date voter, before a graceful shutdown.
struct TransferLeadership
{};

using ReplicaInput = std::variant<Tick, MessageReceived, SyncCompleted, Propose, ChangeMembership,
                                  ReadBarrier, SnapshotCompleted, TransferLeadership>;

// --- Actions ----------------------------------------------------------------------------------

// Follower: has a leader or waits for one. PreCandidate: checks whether an election could succeed.
enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

template<>
struct EnumNames<ReplicaRole>
{
    static constexpr std::array table{
            EnumName{ReplicaRole::Follower, "follower"},
            EnumName{ReplicaRole::PreCandidate, "pre_candidate"},
            EnumName{ReplicaRole::Candidate, "candidate"},
            EnumName{ReplicaRole::Leader, "leader"},
    };
};

// Outcome of a proposal. Unknown: leadership was lost before the outcome was known, so the proposal
// may or may not be committed.
enum class ProposalOutcome { Committed, Refused, Unknown };

template<>
struct EnumNames<ProposalOutcome>
{
    static constexpr std::array table{
            EnumName{ProposalOutcome::Committed, "committed"},
            EnumName{ProposalOutcome::Refused, "refused"},
            EnumName{ProposalOutcome::Unknown, "unknown"},
    };
};

struct SendMessage
{
    ReplicaMessage message;
};

struct WriteHardState
{
    WriteToken token = 0;
    HardState state;
};

// Write these entries and discard every stored entry from the index of the first one on. Never
// empty.
struct WriteEntries
{
    WriteToken token = 0;
    std::vector<LogEntry> entries;
};

// Replace the complete log by a snapshot received from the leader, and load the state machine from
// it.
struct InstallSnapshot
{
    WriteToken token = 0;
    SnapshotPtr snapshot;
};

// Apply committed entries to the state machine, in order. Never empty.
struct ApplyEntries
{
    std::vector<LogEntry> entries;
};

// The log has reached the snapshot threshold: store a snapshot of the state machine as of the
// preceding actions, then respond with SnapshotCompleted.
struct TakeSnapshot
{
    SnapshotMeta meta;
};

struct RoleChanged
{
    ReplicaRole role = ReplicaRole::Follower;
    Term term = 0;
    std::optional<ReplicaId> leader; // if known

    bool operator==(const RoleChanged &) const = default;
};

struct ProposalDone
{
    ProposalId id{0};
    ProposalOutcome outcome = ProposalOutcome::Refused;
    std::string detail; // reason if it was refused
};

// `ready`: the state machine, as of the preceding actions, may be read.
struct ReadDone
{
    ReadId id{0};
    bool ready = false;
};

// The replica detected a state that the protocol rules out; the process must stop.
struct InvariantViolated
{
    std::string detail;
};

using ReplicaAction =
        std::variant<SendMessage, WriteHardState, WriteEntries, InstallSnapshot, ApplyEntries,
                     TakeSnapshot, RoleChanged, ProposalDone, ReadDone, InvariantViolated>;

} // namespace fireflyroute::core

#endif
