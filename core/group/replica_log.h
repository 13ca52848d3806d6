// The in-memory log of one replica: the entries after the last snapshot, and the membership that
// was in effect at each entry. The journal on disk mirrors it (store/replica_store.h).
//
//   ReplicaLog log(snapshotMeta);
//   log.append(entry);                 // entry.index is lastIndex() + 1
//   log.truncateFrom(7);               // removes entry 7 and all entries after it
//   log.compactTo(5);                  // entries up to 5 are in a snapshot now

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_LOG_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_LOG_H

#include "core/group/replication_types.h"

#include <deque>
#include <map>

namespace fireflyroute::core {

class ReplicaLog
{
public:
    explicit ReplicaLog(const SnapshotMeta &base = {});

    // Index before the first stored entry.
    [[nodiscard]] LogIndex baseIndex() const { return baseIndex_; }
    [[nodiscard]] LogIndex lastIndex() const { return baseIndex_ + entries_.size(); }
    [[nodiscard]] Term lastTerm() const;

    // Term of the entry at `index`, or nullopt if it was compacted or does not exist yet.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;

    // The entry at `index`, which must be stored here.
    [[nodiscard]] const LogEntry &at(LogIndex index) const;

    // Returns entries from `first` on: at most `maxEntries`, and at most `maxBytes` of payload
    // unless the first entry alone is larger.
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex first, std::size_t maxEntries,
                                              std::size_t maxBytes) const;

    // Payload of the entries after `index`, which is at least the base index.
    [[nodiscard]] std::uint64_t bytesAfter(LogIndex index) const;

    // Returns the base index that keeps at most `maxEntries` entries up to `index`, and at most
    // `maxBytes` of payload.
    [[nodiscard]] LogIndex baseToRetain(LogIndex index, LogIndex maxEntries,
                                        std::uint64_t maxBytes) const;

    // Returns the largest index, at most `from`, of an entry whose term is below `term`, or the
    // base index if there is none.
    [[nodiscard]] LogIndex lastBelowTerm(LogIndex from, Term term) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);
    void compactTo(LogIndex index);
    void reset(const SnapshotMeta &base);

    // The membership in force: that of the newest membership entry, whether or not it is committed.
    [[nodiscard]] const Membership &membership() const { return memberships_.rbegin()->second; }
    // Index of the entry that set it, or the base index if it comes from the snapshot.
    [[nodiscard]] LogIndex membershipIndex() const { return memberships_.rbegin()->first; }
    [[nodiscard]] const Membership &membershipAt(LogIndex index) const;

private:
    LogIndex baseIndex_ = 0;
    Term baseTerm_ = 0;
    std::deque<LogEntry> entries_; // entries_[i].index == baseIndex_ + 1 + i
    // endBytes_[i] - baseBytes_ is the payload of the entries up to entries_[i].
    std::deque<std::uint64_t> endBytes_;
    std::uint64_t baseBytes_ = 0;
    std::map<LogIndex, Membership> memberships_; // never empty; the first is at the base index
};

} // namespace fireflyroute::core

#endif
