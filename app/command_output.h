// Common functions of all operator commands: printing results, mapping failures to exit codes,
// reading files, and submitting a change and waiting until it is in force.
//
//   const Result<core::FleetConfig> config = OperatorClient(settings).config();
//   if (!config)
//       return reportFailure(config.error());

#ifndef FIREFLYROUTE_APP_COMMAND_OUTPUT_H
#define FIREFLYROUTE_APP_COMMAND_OUTPUT_H

#include "app/errors.h"
#include "app/operator_client.h"
#include "app/settings.h"
#include "core/config/control_command.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::app {

// Print the failure to standard error and return the corresponding exit code.
int reportFailure(const AppFailure &failure);
int reportUsage(const std::string &problem);

// Prints indented JSON to standard output.
void printJson(const Json::Value &json);

// Reads JSON from a file, or from standard input for "-"; fails with InvalidSetting.
[[nodiscard]] Result<Json::Value> readJsonFile(const std::string &path);

[[nodiscard]] bool isBlank(const std::string &text);

// Prints the result of a change, waits until it is in force, and returns the exit code.
int finishChange(const CommandSettings &settings, const OperatorClient &client,
                 const core::ConfigReply &reply);

// Submits a change based on the current revision, then calls finishChange().
int submitChange(const CommandSettings &settings, const core::ConfigChange &change);

// Returns true if --yes is set; otherwise prints the change that a dangerous command would make and
// returns false.
[[nodiscard]] bool confirmChange(const CommandSettings &settings, const std::string &effect);

} // namespace fireflyroute::app

#endif
