// Splits event streams and filters events by id.

#include "core/event_stream.h"

#include <algorithm>
#include <charconv>

namespace fireflyroute::core {

namespace {

// Returns the position after the blank line that ends the first event and that begins at `from` or
// later; npos if the event is incomplete.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view kIdField = "id:";
    std::size_t at = 0;
    while (at < event.size()) {
        const std::size_t end = event.find('\n', at);
        std::string_view line = event.substr(at, end - at);
        if (line.starts_with(kIdField)) {
            line.remove_prefix(kIdField.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
            return parsed.ec == std::errc() ? std::optional(id) : std::nullopt;
        }
        if (end == std::string_view::npos)
            break;
        at = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<StreamEvent> EventSplitter::push(std::string_view bytes)
{
    constexpr std::size_t kMaxTerminator = 3; // "\n\r\n"
    pending_ += bytes;
    std::vector<StreamEvent> events;
    std::string_view remaining = pending_;
    for (std::size_t end = endOfEvent(remaining, searchFrom_); end != std::string_view::npos;
         end = endOfEvent(remaining, searchFrom_)) {
        StreamEvent event;
        event.bytes = std::string(remaining.substr(0, end));
        event.id = parseEventId(event.bytes);
        events.push_back(std::move(event));
        remaining.remove_prefix(end);
        searchFrom_ = 0;
    }
    searchFrom_ = remaining.size() - std::min(remaining.size(), kMaxTerminator - 1);
    if (!events.empty())
        pending_ = std::string(remaining);
    return events;
}

SpliceDecision StreamSplice::accept(const StreamEvent &event)
{
    if (!event.id)
        return SpliceDecision::Relay;
    if (lastId_ && *event.id <= *lastId_)
        return SpliceDecision::Repeated;
    if (lastId_ && *event.id != *lastId_ + 1)
        return SpliceDecision::Gap;
    lastId_ = event.id;
    return SpliceDecision::Relay;
}

} // namespace fireflyroute::core
