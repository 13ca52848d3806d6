// What a leader knows about each other member: how far its log agrees, how many batches are on the
// way to it, and which of the leader's heartbeat rounds it has confirmed.
//
//   ProgressTable peers;
//   peers.follow(log.membership(), self, log.lastIndex() + 1, now);
//   LogIndex safe = peers.quorumMatch(log.membership(), self, ownSyncedIndex);

#ifndef FIREFLYROUTE_CORE_REPLICA_PROGRESS_H
#define FIREFLYROUTE_CORE_REPLICA_PROGRESS_H

#include "core/clock.h"
#include "core/replication_types.h"

#include <deque>
#include <map>

namespace fireflyroute::core {

// Probe: one request at a time until the logs are known to agree. Replicate: batches are sent ahead
// of the replies. Snapshot: the next entry is compacted away, so chunks of a snapshot are sent.
enum class ProgressMode { Probe, Replicate, Snapshot };

template<>
struct EnumNames<ProgressMode>
{
    static constexpr std::array table{
            EnumName{ProgressMode::Probe, "probe"},
            EnumName{ProgressMode::Replicate, "replicate"},
            EnumName{ProgressMode::Snapshot, "snapshot"},
    };
};

// Replication to one member.
struct PeerProgress
{
    ProgressMode mode = ProgressMode::Probe;
    LogIndex match = 0; // on the member's disk and equal to the leader's log; never decreases
    LogIndex next = 1; // next entry to send; always above match
    bool probeInFlight = false; // a probe is on the way
    std::deque<LogIndex> inFlight; // last index of each batch on the way, rising
    Instant lastReplyAt; // when a reply last came, or when the leadership began
    std::optional<Instant> confirmedAt; // start of the newest round that it confirmed
    std::uint64_t confirmedRound = 0;
    SnapshotPtr snapshot; // being sent; null outside Snapshot mode
    std::uint64_t snapshotOffset = 0; // what the member has of it
    Instant chunkSentAt; // when a chunk was last sent

    // Whether another batch may be sent now.
    [[nodiscard]] bool canSend(std::size_t maxInFlight) const;

    // Notes that entries up to `last` were sent.
    void recordSent(LogIndex last);

    // Takes in that the member's disk agrees up to `index`.
    void recordMatch(LogIndex index);

    // Takes in that the member refused entries behind `rejected`; false for an outdated refusal.
    bool recordRejection(LogIndex rejected, LogIndex hint);

    void startSnapshot(SnapshotPtr toSend);
};

class ProgressTable
{
public:
    // Adds the members that are new and drops those that left.
    void updateMembers(const Membership &membership, const ReplicaId &self, LogIndex next,
                       Instant now);
    void clear() { peers_.clear(); }

    // Null when `id` is no other member.
    [[nodiscard]] PeerProgress *find(const ReplicaId &id);
    [[nodiscard]] const PeerProgress *find(const ReplicaId &id) const;

    [[nodiscard]] std::map<ReplicaId, PeerProgress> &peers() { return peers_; }

    // The largest index that a majority of voters, and `minCopies` of them, have on disk.
    [[nodiscard]] LogIndex quorumMatch(const Membership &membership, const ReplicaId &self,
                                       LogIndex localSyncedIndex, std::size_t minCopies) const;

    // The latest start of a round that a majority of voters confirmed; `now` for a sole voter.
    [[nodiscard]] std::optional<Instant>
    quorumConfirmedAt(const Membership &membership, const ReplicaId &self, Instant now) const;

    // The newest round that a majority of voters confirmed; `localRound` for a sole voter.
    [[nodiscard]] std::uint64_t quorumRound(const Membership &membership, const ReplicaId &self,
                                            std::uint64_t localRound) const;

    // The latest instant by which replies of a majority of voters came; `now` for a sole voter.
    [[nodiscard]] Instant quorumLastReplyAt(const Membership &membership, const ReplicaId &self,
                                            Instant now) const;

private:
    std::map<ReplicaId, PeerProgress> peers_; // every member but the leader itself
};

} // namespace fireflyroute::core

#endif
