// Replication state that a leader keeps for each other member: how far its log matches, how many
// batches are in flight to it, and which heartbeat rounds of the leader it has confirmed.
//
//   ProgressTable peers;
//   peers.updateMembers(log.membership(), self, log.lastIndex() + 1, now);
//   LogIndex safe = peers.quorumMatch(log.membership(), self, localSyncedIndex, minCopies);

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_PROGRESS_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_PROGRESS_H

#include "core/common/clock.h"
#include "core/group/replication_types.h"

#include <deque>
#include <map>

namespace fireflyroute::core {

// Probe: one request at a time until the logs are known to match. Replicate: batches are sent
// without waiting for replies. Snapshot: the next entry was compacted, so snapshot chunks are sent.
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

// A batch of entries in flight to a member.
struct SentBatch
{
    LogIndex last = 0; // index of its last entry
    std::size_t bytes = 0; // of payload
};

// Replication progress of one member.
struct PeerProgress
{
    ProgressMode mode = ProgressMode::Probe;
    LogIndex match = 0; // last matching index on the member's disk; never decreases
    LogIndex next = 1; // index of the next entry to send; always above match
    bool probeInFlight = false;
    std::deque<SentBatch> inFlight; // in the order of their entries
    std::size_t inFlightBytes = 0; // of all batches in flight
    Instant lastReplyAt; // time of the last reply, or the start of the leadership
    std::optional<Instant> confirmedAt; // start of the newest round that the member confirmed
    std::uint64_t confirmedRound = 0;
    SnapshotPtr snapshot; // snapshot being sent; null outside Snapshot mode
    std::uint64_t snapshotOffset = 0; // number of bytes that the member has received
    Instant chunkSentAt; // time of the last sent chunk

    // Returns whether another batch may be sent now.
    [[nodiscard]] bool canSend(std::size_t maxBatches, std::size_t maxBytes) const;

    // Records that entries up to `last`, with so many bytes of payload, were sent.
    void recordSent(LogIndex last, std::size_t bytes);

    // Records that the member's disk matches the leader's log up to `index`.
    void recordMatch(LogIndex index);

    // Handles the rejection of entries after `rejected`. Returns false if the rejection is
    // outdated.
    bool recordRejection(LogIndex rejected, LogIndex hint);

    void startSnapshot(SnapshotPtr toSend);

private:
    void clearInFlight();
};

class ProgressTable
{
public:
    // Adds new members and removes former ones.
    void updateMembers(const Membership &membership, const ReplicaId &self, LogIndex next,
                       Instant now);
    void clear() { peers_.clear(); }

    // Returns null if `id` is not another member.
    [[nodiscard]] PeerProgress *find(const ReplicaId &id);
    [[nodiscard]] const PeerProgress *find(const ReplicaId &id) const;

    [[nodiscard]] std::map<ReplicaId, PeerProgress> &peers() { return peers_; }

    // The largest index that a majority of the voters, and at least `minCopies` of them, have on
    // disk.
    [[nodiscard]] LogIndex quorumMatch(const Membership &membership, const ReplicaId &self,
                                       LogIndex localSyncedIndex, std::size_t minCopies) const;

    // The latest start of a round that a majority of the voters confirmed; `now` for a sole voter.
    [[nodiscard]] std::optional<Instant>
    quorumConfirmedAt(const Membership &membership, const ReplicaId &self, Instant now) const;

    // The newest round that a majority of the voters confirmed; `localRound` for a sole voter.
    [[nodiscard]] std::uint64_t quorumRound(const Membership &membership, const ReplicaId &self,
                                            std::uint64_t localRound) const;

    // The latest instant such that a majority of the voters have replied at or after it; `now` for
    // a sole voter.
    [[nodiscard]] Instant quorumLastReplyAt(const Membership &membership, const ReplicaId &self,
                                            Instant now) const;

private:
    std::map<ReplicaId, PeerProgress> peers_; // all members except the leader
};

} // namespace fireflyroute::core

#endif
