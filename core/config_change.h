// The rules of single configuration changes: what each ConfigChange makes of the present
// configuration, and which changes are refused.

#ifndef FIREFLYROUTE_CORE_CONFIG_CHANGE_H
#define FIREFLYROUTE_CORE_CONFIG_CHANGE_H

#include "core/control_command.h"

#include <string>

namespace fireflyroute::core {

// A configuration after a change, and what the history says about it.
struct ChangedConfig
{
    FleetConfig config; // revision not yet raised
    std::string summary;
    std::string reason;
};

// Applies the change of a command to `present`. The result is validated; a version that is
// withdrawn stays so whatever the change says.
[[nodiscard]] Result<ChangedConfig> applyChange(const FleetConfig &current,
                                                const ConfigCommand &command);

} // namespace fireflyroute::core

#endif
