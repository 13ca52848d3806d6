// Writes that a replica has requested and that are not on disk yet, and messages that are deferred
// until a write is complete.
//
//   WriteToken token = writes.begin(firstIndex);   // a write of entries from firstIndex on
//   writes.complete(token);                        // this and all earlier writes are on disk
//   LogIndex durable = writes.durableIndex(log.lastIndex());

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_WRITES_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_WRITES_H

#include "core/group/replica_actions.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace fireflyroute::core {

class PendingWrites
{
public:
    // Starts a write that changes no entry.
    WriteToken begin() { return ++last_; }

    // Starts a write of entries from `first` on.
    WriteToken begin(LogIndex first)
    {
        pending_.emplace_back(++last_, first);
        return last_;
    }

    // Records that all writes up to `token` are on disk.
    void complete(WriteToken token)
    {
        completed_ = std::max(completed_, std::min(token, last_));
        while (!pending_.empty() && pending_.front().first <= completed_)
            pending_.pop_front();
    }

    [[nodiscard]] WriteToken last() const { return last_; }
    [[nodiscard]] bool isComplete(WriteToken token) const { return token <= completed_; }

    // Returns the index up to which the log on disk equals the log in memory, whose last index is
    // given.
    [[nodiscard]] LogIndex durableIndex(LogIndex lastIndex) const
    {
        LogIndex durable = lastIndex;
        for (const auto &[token, first] : pending_)
            durable = std::min(durable, first - 1);
        return durable;
    }

private:
    WriteToken last_ = 0;
    WriteToken completed_ = 0; // never above last_
    std::deque<std::pair<WriteToken, LogIndex>> pending_; // increasing tokens above completed_
};

// Messages that must not be sent before a write is on disk.
class DeferredMessages
{
public:
    void defer(WriteToken token, ReplicaMessage message)
    {
        deferredMessages_.emplace_back(token, std::move(message));
    }

    void clear() { deferredMessages_.clear(); }

    // Removes and returns the messages whose writes are complete, in the order in which they were
    // deferred.
    std::vector<ReplicaMessage> takeReady(const PendingWrites &writes)
    {
        std::vector<ReplicaMessage> ready;
        std::deque<std::pair<WriteToken, ReplicaMessage>> remaining;
        for (auto &[token, message] : deferredMessages_) {
            if (writes.isComplete(token))
                ready.push_back(std::move(message));
            else
                remaining.emplace_back(token, std::move(message));
        }
        deferredMessages_.swap(remaining);
        return ready;
    }

private:
    std::deque<std::pair<WriteToken, ReplicaMessage>> deferredMessages_;
};

} // namespace fireflyroute::core

#endif
