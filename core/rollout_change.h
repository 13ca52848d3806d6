// The rules of roll-outs as configuration changes: what starting, stepping, holding and cancelling
// makes of the configuration, and when it is refused. When to step is decided in
// core/rollout_schedule.h.
//
//   running --advance--> running (next stage) --advance at 1000 permille, or finish--> done
//   running --hold--> held --resume--> running       running or held --cancel--> done

#ifndef FIREFLYROUTE_CORE_ROLLOUT_CHANGE_H
#define FIREFLYROUTE_CORE_ROLLOUT_CHANGE_H

#include "core/control_command.h"

namespace fireflyroute::core {

// `at` is the calendar time of the command. The first stage may not exceed
// Defaults::rolloutExposureMaxPermille, because nothing is known about the version yet.
Result<void> startRollout(FleetConfig &config, const StartRollout &command, WallTime at);

Result<void> stepRollout(FleetConfig &config, const StepRollout &command, WallTime at);

// A roll-out towards a version that is taken away ends as held, for a person to look at.
void holdRolloutToVersion(ModelSpec &model, const VersionName &version, const std::string &reason);

// Share of new sessions that the roll-out of a model gives to its new version now.
[[nodiscard]] std::uint32_t rolloutExposurePermille(const ModelSpec &model);

} // namespace fireflyroute::core

#endif
