// JSON encoding of the reports that entries exchange about the usage of client accounts.

#ifndef FIREFLYROUTE_NET_USAGE_JSON_H
#define FIREFLYROUTE_NET_USAGE_JSON_H

#include "core/admission/usage_exchange.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::UsageReport &report);
[[nodiscard]] Result<core::UsageReport> readUsageReport(const Json::Value &value,
                                                        const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
