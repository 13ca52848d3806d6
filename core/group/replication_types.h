// Types and messages of the replicated log: members, log entries, and the messages between
// replicas. The protocol logic is in core/group/replica.h and the encoding in
// net/replication_json.h.
//
//   ReplicaId self{VmId("vm-1"), Incarnation(3)};
//   Membership membership{{Member{self, MemberRole::Voter}}};
//   LogEntry entry{.index = 1, .term = 1, .kind = EntryKind::Command, .payload = bytes};

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICATION_TYPES_H
#define FIREFLYROUTE_CORE_GROUP_REPLICATION_TYPES_H

#include "core/common/shared_bytes.h"
#include "core/common/types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// Election term; increases with each election.
using Term = std::uint64_t;

// Position in the log. The first entry has index 1; 0 is the position before it.
using LogIndex = std::uint64_t;

// One incarnation of a VM's data directory. A VM that lost its directory returns with a larger
// incarnation and is a different replica: votes and entries of the earlier incarnation do not count
// for it.
struct ReplicaId
{
    VmId vm;
    Incarnation incarnation{0}; // 0 in the receiver of a join request: any incarnation

    auto operator<=>(const ReplicaId &) const = default;
};

// A learner receives the log but neither votes nor counts towards a quorum.
enum class MemberRole { Voter, Learner };

template<>
struct EnumNames<MemberRole>
{
    static constexpr std::array table{
            EnumName{MemberRole::Voter, "voter"},
            EnumName{MemberRole::Learner, "learner"},
    };
};

struct Member
{
    ReplicaId id;
    MemberRole role = MemberRole::Learner;

    auto operator<=>(const Member &) const = default;
};

// The members of one replication group; each id occurs once.
struct Membership
{
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;
};

// Contents of an entry: nothing (it marks the start of a term), a command for the state machine, or
// the membership that is in force from this entry on.
enum class EntryKind { Noop, Command, Membership };

template<>
struct EnumNames<EntryKind>
{
    static constexpr std::array table{
            EnumName{EntryKind::Noop, "noop"},
            EnumName{EntryKind::Command, "command"},
            EnumName{EntryKind::Membership, "membership"},
    };
};

struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    EntryKind kind = EntryKind::Noop;
    SharedBytes payload; // opaque; used by commands only
    Membership membership; // used by membership entries only

    bool operator==(const LogEntry &) const = default;
};

// Durable state of a replica: its term and the candidate that it voted for in that term.
struct HardState
{
    Term term = 0;
    std::optional<ReplicaId> votedFor;

    bool operator==(const HardState &) const = default;
};

// The position of a snapshot in the log: it replaces all entries up to `index`.
struct SnapshotMeta
{
    LogIndex index = 0;
    Term term = 0;
    Membership membership;

    bool operator==(const SnapshotMeta &) const = default;
};

struct Snapshot
{
    SnapshotMeta meta;
    std::string data; // opaque state of the state machine

    bool operator==(const Snapshot &) const = default;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

// Checks whether an election in the next term could succeed; a reply is not binding.
struct PreVoteRequest
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;

    bool operator==(const PreVoteRequest &) const = default;
};

struct VoteRequest
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool transfer = false; // the leader requested this election and gave up its lease

    bool operator==(const VoteRequest &) const = default;
};

// Reply to both kinds of vote request.
struct VoteReply
{
    bool preVote = false;
    bool granted = false;

    bool operator==(const VoteReply &) const = default;
};

// Entries after (previousIndex, previousTerm); a heartbeat if there are no entries.
struct AppendRequest
{
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    std::vector<LogEntry> entries;
    LogIndex commit = 0;
    std::uint64_t round = 0; // heartbeat round of the leader, echoed in the reply

    bool operator==(const AppendRequest &) const = default;
};

// Sent only after all entries up to `match` are on the disk of the sender.
struct AppendReply
{
    bool success = false;
    LogIndex match = 0; // on success: last index that matches the leader's log
    LogIndex rejected = 0; // on failure: previousIndex of the rejected request
    LogIndex hint = 0; // on failure: largest index that may match
    std::uint64_t round = 0;

    bool operator==(const AppendReply &) const = default;
};

// A chunk of a snapshot, sent to a replica whose next entry was compacted by the leader.
struct SnapshotChunk
{
    SnapshotMeta meta;
    std::uint64_t totalBytes = 0;
    std::uint64_t offset = 0;
    std::string data;
    std::uint64_t round = 0;

    bool operator==(const SnapshotChunk &) const = default;
};

// Number of snapshot bytes received so far.
struct SnapshotReply
{
    LogIndex index = 0; // index of the snapshot
    std::uint64_t nextOffset = 0;
    std::uint64_t round = 0;

    bool operator==(const SnapshotReply &) const = default;
};

// Makes an up-to-date voter start an election immediately (leadership transfer).
struct TimeoutNow
{
    bool operator==(const TimeoutNow &) const = default;
};

// Requests that the leader adds the sender to the group; repeated until the sender has the role.
struct JoinRequest
{
    MemberRole role = MemberRole::Voter;

    bool operator==(const JoinRequest &) const = default;
};

using MessageBody = std::variant<PreVoteRequest, VoteRequest, VoteReply, AppendRequest, AppendReply,
                                 SnapshotChunk, SnapshotReply, TimeoutNow, JoinRequest>;

struct ReplicaMessage
{
    GroupId group{0};
    ReplicaId from;
    ReplicaId to;
    Term term = 0; // term of the sender
    MessageBody body;

    bool operator==(const ReplicaMessage &) const = default;
};

} // namespace fireflyroute::core

#endif
