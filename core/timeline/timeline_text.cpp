// Renders the time line as text and HTML.

#include "core/timeline/timeline_text.h"

#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

constexpr std::string_view kPageStart =
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{0}</title>\n"
        "<style>body{{font:14px sans-serif}}table{{border-collapse:collapse}}"
        "td,th{{border:1px solid #ccc;padding:2px 6px;text-align:left}}</style>\n"
        "</head><body><h1>{0}</h1>\n<table>\n<tr><th>Time (ms)</th><th>VM</th><th>Event</th>"
        "<th>Request</th><th>Version</th><th>Endpoint</th><th>Account</th><th>Revision</th>"
        "<th>Detail</th></tr>\n";
constexpr std::string_view kPageEnd = "</table></body></html>\n";

std::string escaped(std::string_view text)
{
    std::string escapedText;
    for (const char character : text) {
        switch (character) {
        case '&':
            escapedText += "&amp;";
            break;
        case '<':
            escapedText += "&lt;";
            break;
        case '>':
            escapedText += "&gt;";
            break;
        case '"':
            escapedText += "&quot;";
            break;
        case '\'':
            escapedText += "&#39;";
            break;
        default:
            escapedText += character;
        }
    }
    return escapedText;
}

std::string timestampText(const HybridTimestamp &at)
{
    return fmt::format("{}.{:04}", at.wall.time_since_epoch().count(), at.counter);
}

std::string versionText(const ModelVersion &version)
{
    return version.model.empty() ? "" : toString(version);
}

std::string revisionText(Revision revision)
{
    return toNumber(revision) == 0 ? "" : std::to_string(toNumber(revision));
}

std::string cell(std::string_view text)
{
    return "<td>" + escaped(text) + "</td>";
}

std::string row(const Event &event)
{
    return "<tr>" + cell(timestampText(event.at)) + cell(event.vm.value())
           + cell(nameOf(event.kind)) + cell(event.request.value())
           + cell(versionText(event.version)) + cell(event.endpoint.value())
           + cell(event.account.value()) + cell(revisionText(event.revision)) + cell(event.detail)
           + "</tr>\n";
}

// Returns the field as " name=value", or an empty string if the value is empty.
std::string field(std::string_view name, const std::string &value)
{
    return value.empty() ? "" : fmt::format(" {}={}", name, value);
}

} // namespace

std::string timelineLine(const Event &event)
{
    std::string line = fmt::format("{} {:<28} {:<20}", timestampText(event.at), event.vm.value(),
                                   nameOf(event.kind));
    line += field("request", event.request.value());
    line += field("version", versionText(event.version));
    line += field("endpoint", event.endpoint.value());
    line += field("account", event.account.value());
    line += field("revision", revisionText(event.revision));
    if (!event.detail.empty())
        line += " " + event.detail;
    return line;
}

std::string timelineHtml(const std::vector<Event> &events, const std::string &title)
{
    std::string page = fmt::format(kPageStart, escaped(title));
    for (const Event &event : events)
        page += row(event);
    page += kPageEnd;
    return page;
}

} // namespace fireflyroute::core
