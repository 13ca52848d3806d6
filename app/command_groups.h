// The operator commands, one function each, grouped by source file (app/command_GROUP.cpp). Each
// function returns the exit code of the process. The table of their names is in app/commands.cpp.

#ifndef FIREFLYROUTE_APP_COMMAND_GROUPS_H
#define FIREFLYROUTE_APP_COMMAND_GROUPS_H

#include "app/settings.h"

namespace fireflyroute::app {

int showStatus(const CommandSettings &settings);

int showConfig(const CommandSettings &settings);
int setConfig(const CommandSettings &settings);
int listConfigHistory(const CommandSettings &settings);

int addException(const CommandSettings &settings);
int removeException(const CommandSettings &settings);
int listExceptions(const CommandSettings &settings);

int startRollout(const CommandSettings &settings);
int advanceRollout(const CommandSettings &settings);
int holdRollout(const CommandSettings &settings);
int resumeRollout(const CommandSettings &settings);
int withdrawVersion(const CommandSettings &settings);

int listEndpoints(const CommandSettings &settings);

int exportBills(const CommandSettings &settings);
int showClaims(const CommandSettings &settings);

int showTimeline(const CommandSettings &settings);

int runLoadCommand(const CommandSettings &settings);

int makeKey(const CommandSettings &settings);

} // namespace fireflyroute::app

#endif
