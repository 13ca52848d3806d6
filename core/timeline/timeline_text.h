// Renders events of the time line for display: one line of text per event, or a self-contained HTML
// page. Both are pure functions of the events, which must be merged and sorted
// (core/timeline/event_log.h).
//
//   fmt::print("{}\n", timelineLine(event));
//   file << timelineHtml(selectEvents(events, filter), "Withdrawal of returns@3");

#ifndef FIREFLYROUTE_CORE_TIMELINE_TIMELINE_TEXT_H
#define FIREFLYROUTE_CORE_TIMELINE_TIMELINE_TEXT_H

#include "core/timeline/event_log.h"

#include <string>
#include <vector>

namespace fireflyroute::core {

// Milliseconds since the epoch and the counter of the timestamp, VM, kind, and the fields that are
// set.
[[nodiscard]] std::string timelineLine(const Event &event);

// A complete HTML document. All texts of the events and the title are escaped.
[[nodiscard]] std::string timelineHtml(const std::vector<Event> &events, const std::string &title);

} // namespace fireflyroute::core

#endif
