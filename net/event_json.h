// JSON encoding of timeline events.

#ifndef FIREFLYROUTE_NET_EVENT_JSON_H
#define FIREFLYROUTE_NET_EVENT_JSON_H

#include "core/timeline/event_log.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::Event &event);
[[nodiscard]] Result<core::Event> readEvent(const Json::Value &value, const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
