// Inputs and actions of a Replica (core/replica.h): what the control thread tells it, and what it
// asks the control thread to do.

#ifndef FIREFLYROUTE_CORE_REPLICA_ACTIONS_H
#define FIREFLYROUTE_CORE_REPLICA_ACTIONS_H

#include "core/replica_membership.h"
#include "core/replication_types.h"

namespace fireflyroute::core {

// Number of a write; grows with each write that a replica asks for.
using WriteToken = std::uint64_t;

// Numbers that the caller gives to its proposals and reads, to know their outcomes again.
enum class ProposalId : std::uint64_t {};
enum class ReadId : std::uint64_t {};

// --- Inputs
// ---------------------------------------------------------------------------------------

// Time has passed. Due at Replica::nextDeadline(); earlier and later ones do no harm.
struct Tick
{};

struct MessageReceived
{
    ReplicaMessage message;
};

// Everything that was asked for with a token up to this one is on disk.
struct SyncCompleted
{
    WriteToken token = 0;
};

struct Proposal
{
    ProposalId id{0};
    std::string payload;
};

// Commands to put into the log, in order; each one gets its own ProposalDone.
struct Propose
{
    std::vector<Proposal> proposals;
};

// A change by one member; gets a ProposalDone.
struct ChangeMembership
{
    ProposalId id{0};
    MembershipChange change;
};

// Asks for a point at which a read sees everything acknowledged before; gets a ReadDone.
struct ReadBarrier
{
    ReadId id{0};
};

// The answer to TakeSnapshot once the snapshot is on disk.
struct SnapshotCompleted
{
    SnapshotPtr snapshot;
};

// Hands leadership to the most caught-up voter, before a graceful shutdown.
struct TransferLeadership
{};

using ReplicaInput = std::variant<Tick, MessageReceived, SyncCompleted, Propose, ChangeMembership,
                                  ReadBarrier, SnapshotCompleted, TransferLeadership>;

// --- Actions
// --------------------------------------------------------------------------------------

// Follower: knows or awaits a leader. PreCandidate: asks whether an election could succeed.
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

// How a proposal ended. Unknown: leadership was lost first, so it may or may not be committed.
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

// Write these entries, replacing every stored entry from the first one's index on. Never empty.
struct WriteEntries
{
    WriteToken token = 0;
    std::vector<LogEntry> entries;
};

// Store a snapshot that came from the leader in place of the whole log, and load the state machine
// from it.
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

// The log has grown: store a snapshot of the state machine as it is after the actions before this
// one, then answer with SnapshotCompleted.
struct TakeSnapshot
{
    SnapshotMeta meta;
};

struct RoleChanged
{
    ReplicaRole role = ReplicaRole::Follower;
    Term term = 0;
    std::optional<ReplicaId> leader; // as far as known

    bool operator==(const RoleChanged &) const = default;
};

struct ProposalDone
{
    ProposalId id{0};
    ProposalOutcome outcome = ProposalOutcome::Refused;
    std::string detail; // why it was refused
};

// `ready`: the state machine, as it is after the actions before this one, may be read.
struct ReadDone
{
    ReadId id{0};
    bool ready = false;
};

// The replica met a state that the protocol excludes; the process has to stop.
struct InvariantViolated
{
    std::string detail;
};

using ReplicaAction =
        std::variant<SendMessage, WriteHardState, WriteEntries, InstallSnapshot, ApplyEntries,
                     TakeSnapshot, RoleChanged, ProposalDone, ReadDone, InvariantViolated>;

} // namespace fireflyroute::core

#endif
