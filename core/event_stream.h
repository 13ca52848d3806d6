// Cuts the bytes of an event stream into whole events, and joins the streams of several runs of one
// request without a gap or a repetition.
//
//   EventSplitter splitter;
//   for (const StreamEvent &event : splitter.push(bytes))
//       if (splice.accept(event) == SpliceDecision::Relay)
//           send(event.bytes);
//
// A run may break off in the middle of an event; the unfinished event is never relayed.

#ifndef FIREFLYROUTE_CORE_EVENT_STREAM_H
#define FIREFLYROUTE_CORE_EVENT_STREAM_H

#include "core/enum_names.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

// One event with its closing blank line.
struct StreamEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id;

    bool operator==(const StreamEvent &) const = default;
};

class EventSplitter
{
public:
    // Takes in bytes and returns the events that are whole now.
    std::vector<StreamEvent> push(std::string_view bytes);

    // Whether bytes of an unfinished event wait.
    [[nodiscard]] bool hasIncompleteEvent() const { return !pending_.empty(); }

private:
    std::string pending_; // less than one event
};

// Relay: the next event. Repeated: the caller has it already. Gap: events in between are missing.
enum class SpliceDecision { Relay, Repeated, Gap };

template<>
struct EnumNames<SpliceDecision>
{
    static constexpr std::array table{
            EnumName{SpliceDecision::Relay, "relay"},
            EnumName{SpliceDecision::Repeated, "repeated"},
            EnumName{SpliceDecision::Gap, "gap"},
    };
};

// Follows the event ids that a caller has got, over all runs.
class StreamSplice
{
public:
    // `lastEvent`: the last one that the caller had before this request.
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
