// Bounded event log, event filter, and merging of several logs.

#include "core/timeline/event_log.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace fireflyroute::core {

namespace {

template<typename Value>
bool matchesField(const std::optional<Value> &expected, const Value &actual)
{
    return !expected || *expected == actual;
}

auto eventKey(const Event &event)
{
    return std::tie(event.vm, event.incarnation, event.sequence);
}

bool isBefore(const Event &left, const Event &right)
{
    if (left.at != right.at)
        return left.at < right.at;
    return eventKey(left) < eventKey(right);
}

bool hasSameKey(const Event &left, const Event &right)
{
    return eventKey(left) == eventKey(right);
}

} // namespace

bool matches(const EventFilter &filter, const Event &event)
{
    return matchesField(filter.kind, event.kind) && matchesField(filter.request, event.request)
           && matchesField(filter.version, event.version)
           && matchesField(filter.endpoint, event.endpoint)
           && matchesField(filter.account, event.account)
           && (!filter.from || event.at.wall >= *filter.from)
           && (!filter.until || event.at.wall < *filter.until);
}

std::vector<Event> selectEvents(const std::vector<Event> &events, const EventFilter &filter)
{
    std::vector<Event> selected;
    std::copy_if(events.begin(), events.end(), std::back_inserter(selected),
                 [&](const Event &event) { return matches(filter, event); });
    return selected;
}

std::vector<Event> mergeEvents(const std::vector<std::vector<Event>> &logs)
{
    std::vector<Event> merged;
    for (const std::vector<Event> &log : logs)
        merged.insert(merged.end(), log.begin(), log.end());
    std::sort(merged.begin(), merged.end(), isBefore);
    merged.erase(std::unique(merged.begin(), merged.end(), hasSameKey), merged.end());
    return merged;
}

void EventLog::record(const HybridTimestamp &at, Event event)
{
    ++recorded_;
    event.at = at;
    event.vm = vm_;
    event.incarnation = incarnation_;
    event.sequence = recorded_;
    events_.push_back(std::move(event));
}

std::vector<Event> EventLog::select(const EventFilter &filter) const
{
    std::vector<Event> selected;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(selected),
                 [&](const Event &event) { return matches(filter, event); });
    return selected;
}

std::vector<Event> EventLog::since(std::uint64_t after) const
{
    const auto isAfter = [&](const Event &event) { return event.sequence > after; };
    const auto firstAfter = std::find_if(events_.begin(), events_.end(), isAfter);
    return {firstAfter, events_.end()};
}

} // namespace fireflyroute::core
