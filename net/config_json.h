// JSON encoding of the fleet configuration, which operators read and write and which control VMs
// and entries exchange. A decoder reports the first invalid or unknown field.

#ifndef FIREFLYROUTE_NET_CONFIG_JSON_H
#define FIREFLYROUTE_NET_CONFIG_JSON_H

#include "core/config/fleet_config.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::FleetConfig &config);
[[nodiscard]] Json::Value toJson(const core::ConfigException &exception);
[[nodiscard]] Json::Value toJson(const core::ModelVersion &version);
[[nodiscard]] Json::Value toJson(const std::vector<core::RolloutGate> &gates);

[[nodiscard]] Result<core::FleetConfig> readFleetConfig(const Json::Value &value,
                                                        const std::string &jsonPath);
[[nodiscard]] Result<core::ConfigException> readException(const Json::Value &value,
                                                          const std::string &jsonPath);
[[nodiscard]] Result<core::RolloutGate> readRolloutGate(const Json::Value &value,
                                                        const std::string &jsonPath);
[[nodiscard]] Result<core::ModelVersion> readModelVersion(const Json::Value &value,
                                                          const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
