// Exceptions as text for operators.

#ifndef FIREFLYROUTE_APP_COMMAND_EXCEPTION_TEXT_H
#define FIREFLYROUTE_APP_COMMAND_EXCEPTION_TEXT_H

#include "core/config/fleet_config.h"

#include <string>

namespace fireflyroute::app {

// Formats an exception in several lines: effect, scope, reason, author and age at `now`.
[[nodiscard]] std::string exceptionText(const core::ConfigException &exception, core::WallTime now);

} // namespace fireflyroute::app

#endif
