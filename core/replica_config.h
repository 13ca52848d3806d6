// Settings of a replica and what it recovers from disk.

#ifndef FIREFLYROUTE_CORE_REPLICA_CONFIG_H
#define FIREFLYROUTE_CORE_REPLICA_CONFIG_H

#include "core/clock.h"
#include "core/replication_types.h"

#include <optional>
#include <vector>

namespace fireflyroute::core {

struct ReplicaTiming
{
    Duration heartbeat = std::chrono::milliseconds(100);
    // A follower refuses votes for electionMin after it heard a leader, and seeks votes itself
    // after a random time between the two.
    Duration electionMin = std::chrono::milliseconds(400);
    Duration electionMax = std::chrono::milliseconds(800);
    // How far two VMs' clocks may drift apart within electionMin. The lease is that much shorter
    // than the time for which followers refuse votes.
    Duration driftMargin = std::chrono::milliseconds(100);
    Duration joinInterval = std::chrono::milliseconds(500); // between two join requests
};

struct ReplicaLimits
{
    std::size_t maxBatchEntries = 512;
    std::size_t maxBatchBytes = 1U << 20U; // of payload in one append request
    std::size_t maxInFlightBatches = 8; // per member
    std::size_t snapshotChunkBytes = 256U << 10U;
    LogIndex snapshotAfterEntries = 10'000; // applied entries between two snapshots
    LogIndex retainedEntries = 1'000; // kept in memory behind a snapshot for members that lag
    LogIndex maxCaughtUpLag = 64; // a learner within so many entries of the commit is caught up
};

// Which members a leader takes in and lets go of by itself.
struct MembershipPolicy
{
    std::size_t maxVoters = 9; // further members that want a vote stay learners, as spares
    // Copies on voters' disks that an entry needs before it is committed, if there are as many
    // voters. Above a majority while the group is small, so that an acknowledgement outlives the
    // loss of minCopies - 1 disks from the start.
    std::size_t minCopies = 1;
    // A voter that was silent for so long gives its place to a caught-up spare.
    std::optional<Duration> replaceVoterAfter;
    std::optional<Duration> removeLearnerAfter; // a silent learner is forgotten
};

struct ReplicaConfig
{
    GroupId group{0};
    ReplicaId self;
    MemberRole targetRole = MemberRole::Voter;
    std::vector<VmId> seeds; // the control VMs, asked to let this one join
    ReplicaTiming timing;
    ReplicaLimits limits;
    MembershipPolicy members;
};

// State of a group as it stands on disk.
struct RecoveredReplica
{
    HardState hardState;
    SnapshotPtr snapshot; // null when there is none
    std::vector<LogEntry> entries; // those behind the snapshot
};

// The state that a new group begins with. It has to be written to disk before the replica starts,
// and only once in the life of a group: on one VM, which the others then join, or with equal
// contents on each of the first members.
[[nodiscard]] inline RecoveredReplica newGroup(Membership membership)
{
    LogEntry first{.index = 1, .term = 1, .kind = EntryKind::Membership};
    first.membership = std::move(membership);
    return RecoveredReplica{HardState{1, std::nullopt}, nullptr, {std::move(first)}};
}

} // namespace fireflyroute::core

#endif
