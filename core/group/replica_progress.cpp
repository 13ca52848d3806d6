// Replication progress of the members, and majorities over it.

#include "core/group/replica_progress.h"

#include "core/group/replica_membership.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace fireflyroute::core {

namespace {

// Returns the largest value that a majority of the voters has reached, and at least `minVoters` of
// them if there are that many. `valueOf` returns the value of a voter.
template<typename Value, typename ValueOf>
Value majorityValue(const Membership &membership, const ValueOf &valueOf, std::size_t minVoters = 1)
{
    std::vector<Value> values;
    for (const Member &member : membership.members) {
        if (member.role == MemberRole::Voter)
            values.push_back(valueOf(member.id));
    }
    if (values.empty())
        return Value{};
    std::sort(values.begin(), values.end(), std::greater<Value>());
    const std::size_t requiredCount =
            std::max(quorumSize(membership), std::min(minVoters, values.size()));
    return values[requiredCount - 1];
}

} // namespace

bool PeerProgress::canSend(std::size_t maxBatches, std::size_t maxBytes) const
{
    switch (mode) {
    case ProgressMode::Probe:
        return !probeInFlight;
    case ProgressMode::Replicate:
        return inFlight.size() < maxBatches && inFlightBytes < maxBytes;
    case ProgressMode::Snapshot:
        return false;
    }
    return false;
}

void PeerProgress::recordSent(LogIndex last, std::size_t bytes)
{
    if (mode == ProgressMode::Probe) {
        probeInFlight = true;
        return;
    }
    if (last < next)
        return;
    inFlight.push_back({last, bytes});
    inFlightBytes += bytes;
    next = last + 1;
}

void PeerProgress::recordMatch(LogIndex index)
{
    match = std::max(match, index);
    next = std::max(next, match + 1);
    while (!inFlight.empty() && inFlight.front().last <= match) {
        inFlightBytes -= inFlight.front().bytes;
        inFlight.pop_front();
    }
    if (mode == ProgressMode::Snapshot && match < snapshot->meta.index)
        return;
    if (mode != ProgressMode::Replicate)
        next = match + 1;
    mode = ProgressMode::Replicate;
    probeInFlight = false;
    snapshot.reset();
}

bool PeerProgress::recordRejection(LogIndex rejected, LogIndex hint)
{
    if (mode == ProgressMode::Snapshot || rejected <= match)
        return false;
    if (mode == ProgressMode::Probe && rejected != next - 1)
        return false;
    next = std::max(match + 1, std::min(rejected, hint + 1));
    mode = ProgressMode::Probe;
    probeInFlight = false;
    clearInFlight();
    return true;
}

void PeerProgress::startSnapshot(SnapshotPtr toSend)
{
    mode = ProgressMode::Snapshot;
    snapshot = std::move(toSend);
    snapshotOffset = 0;
    clearInFlight();
}

void PeerProgress::clearInFlight()
{
    inFlight.clear();
    inFlightBytes = 0;
}

void ProgressTable::updateMembers(const Membership &membership, const ReplicaId &self,
                                  LogIndex next, Instant now)
{
    std::erase_if(peers_, [&](const auto &peer) { return !findMember(membership, peer.first); });
    for (const Member &member : membership.members) {
        if (member.id == self || peers_.contains(member.id))
            continue;
        PeerProgress progress;
        progress.next = next;
        progress.lastReplyAt = now;
        peers_.emplace(member.id, std::move(progress));
    }
}

PeerProgress *ProgressTable::find(const ReplicaId &id)
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

const PeerProgress *ProgressTable::find(const ReplicaId &id) const
{
    const auto found = peers_.find(id);
    return found == peers_.end() ? nullptr : &found->second;
}

LogIndex ProgressTable::quorumMatch(const Membership &membership, const ReplicaId &self,
                                    LogIndex localSyncedIndex, std::size_t minCopies) const
{
    const auto matchOf = [&](const ReplicaId &id) {
        return id == self ? localSyncedIndex : peers_.at(id).match;
    };
    return majorityValue<LogIndex>(membership, matchOf, minCopies);
}

std::optional<Instant> ProgressTable::quorumConfirmedAt(const Membership &membership,
                                                        const ReplicaId &self, Instant now) const
{
    return majorityValue<std::optional<Instant>>(membership, [&](const ReplicaId &id) {
        return id == self ? std::optional(now) : peers_.at(id).confirmedAt;
    });
}

std::uint64_t ProgressTable::quorumRound(const Membership &membership, const ReplicaId &self,
                                         std::uint64_t localRound) const
{
    return majorityValue<std::uint64_t>(membership, [&](const ReplicaId &id) {
        return id == self ? localRound : peers_.at(id).confirmedRound;
    });
}

Instant ProgressTable::quorumLastReplyAt(const Membership &membership, const ReplicaId &self,
                                         Instant now) const
{
    return majorityValue<Instant>(membership, [&](const ReplicaId &id) {
        return id == self ? now : peers_.at(id).lastReplyAt;
    });
}

} // namespace fireflyroute::core
