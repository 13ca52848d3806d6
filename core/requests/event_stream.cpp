// Splits event streams and filters events by id.

#include "core/requests/event_stream.h"

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

// Removes the first line and its end from the text and returns it without the end.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

// Names of fields are lower case, unlike those of a message head. A comment has an empty name.
bool isFieldName(std::string_view name)
{
    return std::all_of(name.begin(), name.end(),
                       [](char c) { return (c >= 'a' && c <= 'z') || c == '-'; });
}

std::optional<std::uint64_t> parseEventId(std::string_view value)
{
    while (value.starts_with(' '))
        value.remove_prefix(1);
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    const bool isNumber = parsed.ec == std::errc() && parsed.ptr == value.data() + value.size();
    return isNumber ? std::optional(id) : std::nullopt;
}

StreamEvent parseEvent(std::string_view bytes)
{
    StreamEvent event;
    event.bytes = std::string(bytes);
    bool hasContent = false;
    while (!bytes.empty()) {
        const std::string_view line = takeLine(bytes);
        if (line.empty())
            continue;
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos || !isFieldName(line.substr(0, colon))) {
            event.isWellFormed = false;
            continue;
        }
        const std::string_view name = line.substr(0, colon);
        if (name == "id" && !event.id)
            event.id = parseEventId(line.substr(colon + 1));
        hasContent = hasContent || !name.empty();
    }
    event.isWellFormed = event.isWellFormed && (event.id || !hasContent);
    return event;
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
        events.push_back(parseEvent(remaining.substr(0, end)));
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
    if (!event.isWellFormed)
        return SpliceDecision::Foreign;
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
