// The in-memory log after a snapshot.

#include "core/group/replica_log.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

ReplicaLog::ReplicaLog(const SnapshotMeta &base)
{
    reset(base);
}

Term ReplicaLog::lastTerm() const
{
    return entries_.empty() ? baseTerm_ : entries_.back().term;
}

std::optional<Term> ReplicaLog::termAt(LogIndex index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry &ReplicaLog::at(LogIndex index) const
{
    return entries_[index - baseIndex_ - 1];
}

std::vector<LogEntry> ReplicaLog::slice(LogIndex first, std::size_t maxEntries,
                                        std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = first; index <= lastIndex() && result.size() < maxEntries; ++index) {
        bytes += at(index).payload.size();
        if (!result.empty() && bytes > maxBytes)
            break;
        result.push_back(at(index));
    }
    return result;
}

std::uint64_t ReplicaLog::bytesAfter(LogIndex index) const
{
    if (index >= lastIndex())
        return 0;
    const std::uint64_t before =
            index == baseIndex_ ? baseBytes_ : endBytes_[index - baseIndex_ - 1];
    return endBytes_.back() - before;
}

LogIndex ReplicaLog::baseToRetain(LogIndex index, LogIndex maxEntries, std::uint64_t maxBytes) const
{
    const std::uint64_t bytesBehind = bytesAfter(index);
    LogIndex base = index;
    while (base > baseIndex_ && index - base < maxEntries
           && bytesAfter(base - 1) - bytesBehind <= maxBytes)
        --base;
    return base;
}

LogIndex ReplicaLog::lastBelowTerm(LogIndex from, Term term) const
{
    LogIndex index = std::min(from, lastIndex());
    while (index > baseIndex_ && at(index).term >= term)
        --index;
    return index;
}

void ReplicaLog::append(LogEntry entry)
{
    if (entry.kind == EntryKind::Membership)
        memberships_[entry.index] = entry.membership;
    endBytes_.push_back((endBytes_.empty() ? baseBytes_ : endBytes_.back()) + entry.payload.size());
    entries_.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(LogIndex index)
{
    memberships_.erase(memberships_.lower_bound(index), memberships_.end());
    entries_.resize(index - baseIndex_ - 1);
    endBytes_.resize(entries_.size());
}

void ReplicaLog::compactTo(LogIndex index)
{
    if (index <= baseIndex_)
        return;
    const Term term = at(index).term;
    const Membership membership = membershipAt(index);
    memberships_.erase(memberships_.begin(), memberships_.upper_bound(index));
    memberships_.emplace(index, membership);
    const auto count = static_cast<std::ptrdiff_t>(index - baseIndex_);
    baseBytes_ = endBytes_[index - baseIndex_ - 1];
    entries_.erase(entries_.begin(), entries_.begin() + count);
    endBytes_.erase(endBytes_.begin(), endBytes_.begin() + count);
    baseIndex_ = index;
    baseTerm_ = term;
}

void ReplicaLog::reset(const SnapshotMeta &base)
{
    baseIndex_ = base.index;
    baseTerm_ = base.term;
    baseBytes_ = 0;
    entries_.clear();
    endBytes_.clear();
    memberships_.clear();
    memberships_.emplace(base.index, base.membership);
}

const Membership &ReplicaLog::membershipAt(LogIndex index) const
{
    return std::prev(memberships_.upper_bound(index))->second;
}

} // namespace fireflyroute::core
