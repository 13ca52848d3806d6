// What all operator commands share: printing results, turning failures into exit codes, reading
// files, and submitting a change and waiting until it is in force.
//
//   const Result<core::FleetConfig> config = OperatorClient(settings).config();
//   if (!config)
//       return reportFailure(config.error());

#ifndef FIREFLYROUTE_APP_COMMAND_OUTPUT_H
#define FIREFLYROUTE_APP_COMMAND_OUTPUT_H

#include "app/errors.h"
#include "app/operator_client.h"
#include "app/settings.h"
#include "core/control_command.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::app {

// Print to standard error and return the exit code that stands for the failure.
int reportFailure(const AppFailure &failure);
int reportUsage(const std::string &problem);

// Prints indented JSON to standard output.
void printJson(const Json::Value &json);

// The JSON in a file, or on standard input for "-"; InvalidSetting when it can't be read.
[[nodiscard]] Result<Json::Value> readJsonFile(const std::string &path);

[[nodiscard]] bool isBlank(const std::string &text);

// Prints what became of a change, waits until it is in force, and returns the exit code.
int finishChange(const CommandSettings &settings, const OperatorClient &client,
                 const core::ConfigReply &reply);

// Submits a change against the present revision and finishes it.
int submitChange(const CommandSettings &settings, const core::ConfigChange &change);

// Prints what a dangerous command is about to change. True if it may go on, that is, with --yes.
[[nodiscard]] bool confirmChange(const CommandSettings &settings, const std::string &effect);

} // namespace fireflyroute::app

#endif
