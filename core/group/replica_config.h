// Settings of a replica and the state that it recovers from disk.

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_CONFIG_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_CONFIG_H

#include "core/common/clock.h"
#include "core/group/replication_types.h"

#include <optional>
#include <vector>

namespace fireflyroute::core {

struct ReplicaTiming
{
    Duration heartbeat = std::chrono::milliseconds(100);
    // A follower refuses votes for electionMin after the last contact with a leader. It starts an
    // election itself after a random time between electionMin and electionMax.
    Duration electionMin = std::chrono::milliseconds(400);
    Duration electionMax = std::chrono::milliseconds(800);
    // Maximum drift between the clocks of two VMs within electionMin. The lease is shorter by this
    // margin than the time for which followers refuse votes.
    Duration driftMargin = std::chrono::milliseconds(100);
    Duration joinInterval = std::chrono::milliseconds(500); // interval between two join requests
};

struct ReplicaLimits
{
    std::size_t maxBatchEntries = 512;
    std::size_t maxBatchBytes = 1U << 20U; // payload of one append request
    std::size_t maxInFlightBatches = 8; // per member
    // No further batch is sent to a member while as much payload is in flight to it.
    std::size_t maxInFlightBytes = 8U << 20U;
    std::size_t snapshotChunkBytes = 256U << 10U;
    // A snapshot is taken once as many entries, or as much payload, have been applied since the
    // last one.
    LogIndex snapshotAfterEntries = 10'000;
    std::uint64_t snapshotAfterBytes = 64U << 20U;
    // Entries covered by the newest snapshot that stay in memory for lagging members, and their
    // payload.
    LogIndex retainedEntries = 1'000;
    std::uint64_t retainedBytes = 32U << 20U;
    // Proposals are refused if the payload that no snapshot covers would exceed this. It does so
    // only while entries are not committed or the disk does not keep up.
    std::uint64_t maxUncoveredBytes = 256U << 20U;
    LogIndex maxCaughtUpLag = 64; // largest distance to the commit index of a caught-up learner
};

// Rules by which a leader adds and removes members automatically.
struct MembershipPolicy
{
    std::size_t maxVoters = 9; // further members that request a vote stay learners, as spares
    // Number of voter disks that must hold an entry before it is committed, if the group has that
    // many voters. It exceeds a majority while the group is small, so that acknowledged entries
    // survive the loss of minCopies - 1 disks from the start.
    std::size_t minCopies = 1;
    // A voter that has not replied for this time is replaced by a caught-up spare.
    std::optional<Duration> replaceVoterAfter;
    std::optional<Duration> removeLearnerAfter; // time without a reply until a learner is removed
    // The leader promotes caught-up learners in place of missing and replaceable voters also if no
    // join request arrives, as the seeds that a learner asks may be gone.
    bool promotesLearners = false;
};

struct ReplicaConfig
{
    GroupId group{0};
    ReplicaId self;
    MemberRole targetRole = MemberRole::Voter;
    // Control VMs that receive the join requests, besides the known members.
    std::vector<VmId> seeds;
    ReplicaTiming timing;
    ReplicaLimits limits;
    MembershipPolicy membershipPolicy;
};

// State of a group on disk.
struct RecoveredReplica
{
    HardState hardState;
    SnapshotPtr snapshot; // null if there is none
    std::vector<LogEntry> entries; // entries after the snapshot
};

// The initial state of a new group. It must be written to disk before the replica starts, and only
// once for each group: on a single VM, which the others then join, or with identical contents on
// every initial member.
[[nodiscard]] inline RecoveredReplica newGroup(Membership membership)
{
    LogEntry first{.index = 1, .term = 1, .kind = EntryKind::Membership};
    first.membership = std::move(membership);
    return RecoveredReplica{HardState{1, std::nullopt}, nullptr, {std::move(first)}};
}

} // namespace fireflyroute::core

#endif
