// Follower: entries and snapshots received from the leader.

#include "core/group/replica.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace fireflyroute::core {

namespace {

bool isContiguous(const AppendRequest &request)
{
    LogIndex expected = request.previousIndex + 1;
    return std::all_of(request.entries.begin(), request.entries.end(),
                       [&](const LogEntry &entry) { return entry.index == expected++; });
}

} // namespace

// Records the sender as the leader of the current term. Returns false if there already is another
// one.
bool Replica::acceptLeader(const ReplicaMessage &message)
{
    const bool isConflictingLeader =
            role_ == ReplicaRole::Leader || (leader_ && *leader_ != message.from);
    if (isConflictingLeader) {
        reportInvariantViolation(fmt::format("two leaders in term {}", hardState_.term));
        return false;
    }
    setRole(ReplicaRole::Follower, message.from);
    lastLeaderContactAt_ = now_;
    resetElectionDeadline();
    return true;
}

void Replica::receive(const ReplicaMessage &message, const AppendRequest &body)
{
    if (!isContiguous(body) || !acceptLeader(message))
        return;
    const LogIndex previous = body.previousIndex;
    const std::optional<Term> term = log_.termAt(previous);
    const bool previousMatches = previous < log_.baseIndex() || term == body.previousTerm;
    if (!previousMatches) {
        const LogIndex hint = term ? log_.lastBelowTerm(previous, *term) : log_.lastIndex();
        sendAfterWrites(message.from, AppendReply{.rejected = previous,
                                                  .hint = std::max(hint, commit_),
                                                  .round = body.round});
        return;
    }
    if (!appendEntries(body.entries))
        return;
    const LogIndex match = previous + body.entries.size();
    advanceCommit(std::min(body.commit, match));
    sendAfterWrites(message.from,
                    AppendReply{.success = true, .match = match, .round = body.round});
}

// Appends entries after a position on which the logs agree. Returns false if one of them conflicts
// with a committed entry.
bool Replica::appendEntries(const std::vector<LogEntry> &entries)
{
    const auto firstNew = std::find_if(entries.begin(), entries.end(), [&](const LogEntry &entry) {
        return entry.index > log_.baseIndex() && log_.termAt(entry.index) != entry.term;
    });
    if (firstNew == entries.end())
        return true;
    if (firstNew->index <= commit_) {
        reportInvariantViolation(
                fmt::format("committed entry {} conflicts with the leader's log", firstNew->index));
        return false;
    }
    if (firstNew->index <= log_.lastIndex())
        log_.truncateFrom(firstNew->index);
    for (auto entry = firstNew; entry != entries.end(); ++entry)
        log_.append(*entry);
    writeEntries({firstNew, entries.end()});
    return true;
}

void Replica::receive(const ReplicaMessage &message, const SnapshotChunk &body)
{
    if (!acceptLeader(message))
        return;
    const AppendReply ackReply{.success = true, .match = body.meta.index, .round = body.round};
    if (body.meta.index <= commit_) {
        incomingSnapshot_.reset();
        sendAfterWrites(message.from, ackReply);
        return;
    }
    if (!incomingSnapshot_ || incomingSnapshot_->meta != body.meta
        || incomingSnapshot_->from != message.from)
        incomingSnapshot_ = IncomingSnapshot{body.meta, message.from, {}};
    if (body.offset == incomingSnapshot_->data.size())
        incomingSnapshot_->data += body.data;
    if (incomingSnapshot_->data.size() < body.totalBytes) {
        send(message.from,
             SnapshotReply{body.meta.index, incomingSnapshot_->data.size(), body.round});
        return;
    }
    installSnapshot(body.meta, std::move(incomingSnapshot_->data));
    incomingSnapshot_.reset();
    sendAfterWrites(message.from, ackReply);
}

void Replica::installSnapshot(const SnapshotMeta &meta, std::string data)
{
    if (log_.termAt(meta.index) == meta.term) {
        advanceCommit(meta.index);
        return;
    }
    log_.reset(meta);
    commit_ = meta.index;
    applied_ = meta.index;
    snapshot_ = std::make_shared<const Snapshot>(Snapshot{meta, std::move(data)});
    const LogIndex firstReplacedIndex = 1;
    const WriteToken token = writes_.begin(firstReplacedIndex);
    actions_.emplace_back(InstallSnapshot{token, snapshot_});
}

} // namespace fireflyroute::core
