// JSON encoding of endpoint announcements, which endpoints send to entries and entries send to each
// other.

#ifndef FIREFLYROUTE_NET_ENDPOINT_JSON_H
#define FIREFLYROUTE_NET_ENDPOINT_JSON_H

#include "core/endpoints/endpoint.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::EndpointAnnouncement &announcement);
[[nodiscard]] Result<core::EndpointAnnouncement> readAnnouncement(const Json::Value &value,
                                                                  const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
