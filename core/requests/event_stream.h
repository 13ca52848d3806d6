// Splits the bytes of an event stream into complete events, and joins the streams of several
// attempts of one request without gaps or duplicates.
//
//   EventSplitter splitter;
//   for (const StreamEvent &event : splitter.push(bytes))
//       if (splice.accept(event) == SpliceDecision::Relay)
//           send(event.bytes);
//
// An attempt may fail in the middle of an event; an incomplete event is never relayed.

#ifndef FIREFLYROUTE_CORE_REQUESTS_EVENT_STREAM_H
#define FIREFLYROUTE_CORE_REQUESTS_EVENT_STREAM_H

#include "core/common/enum_names.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

// One event, including the blank line that ends it.
struct StreamEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id;
    // Whether each line has the form of a field or comment, and an event with content has an id.
    bool isWellFormed = true;

    bool operator==(const StreamEvent &) const = default;
};

class EventSplitter
{
public:
    // Limit of one event. Larger ones are not the platform's, and a peer may send bytes without
    // end.
    static constexpr std::size_t kMaxEventBytes = 256U << 10U;

    // Appends bytes and returns the events that are now complete. To be ended if isOversized().
    std::vector<StreamEvent> push(std::string_view bytes);

    [[nodiscard]] bool isOversized() const { return pending_.size() > kMaxEventBytes; }

    // Returns whether the buffer contains an incomplete event.
    [[nodiscard]] bool hasIncompleteEvent() const { return !pending_.empty(); }

private:
    std::string pending_; // incomplete event
    std::size_t searchFrom_ = 0; // no event of pending_ ends before this position
};

// Relay: the next event in order, or a comment. Repeated: the caller already received it. Gap:
// earlier events are missing. Foreign: no event of a numbered stream, but an error text, for
// example.
enum class SpliceDecision { Relay, Repeated, Gap, Foreign };

template<>
struct EnumNames<SpliceDecision>
{
    static constexpr std::array table{
            EnumName{SpliceDecision::Relay, "relay"},
            EnumName{SpliceDecision::Repeated, "repeated"},
            EnumName{SpliceDecision::Gap, "gap"},
            EnumName{SpliceDecision::Foreign, "foreign"},
    };
};

// Tracks the event ids that a caller has received, over all attempts.
class StreamSplice
{
public:
    // `lastEvent`: the last event that the caller received before this request.
    explicit StreamSplice(std::optional<std::uint64_t> lastEvent = std::nullopt)
        : lastId_(lastEvent)
    {}

    SpliceDecision accept(const StreamEvent &event);

    [[nodiscard]] std::optional<std::uint64_t> lastEvent() const { return lastId_; }

private:
    std::optional<std::uint64_t> lastId_;
};

} // namespace fireflyroute::core

#endif
