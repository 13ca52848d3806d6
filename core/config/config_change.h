// Applies single configuration changes: computes the configuration that results from a ConfigChange
// and rejects changes that are not allowed.

#ifndef FIREFLYROUTE_CORE_CONFIG_CONFIG_CHANGE_H
#define FIREFLYROUTE_CORE_CONFIG_CONFIG_CHANGE_H

#include "core/config/control_command.h"

#include <string>

namespace fireflyroute::core {

// A configuration after a change, with the summary and reason for its history entry.
struct ChangedConfig
{
    FleetConfig config; // revision not incremented yet
    std::string summary;
    std::string reason;
};

// Applies the change of a command to `current` and validates the result. A withdrawn version stays
// withdrawn regardless of the change.
[[nodiscard]] Result<ChangedConfig> applyChange(const FleetConfig &current,
                                                const ConfigCommand &command);

} // namespace fireflyroute::core

#endif
