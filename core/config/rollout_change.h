// Roll-outs as configuration changes: how starting, stepping, holding and cancelling change the
// configuration, and when a change is rejected. core/versions/rollout_schedule.h decides when to
// step.
//
//   running --advance--> running (next stage) --advance at 1000 permille, or finish--> done
//   running --hold--> held --resume--> running       running or held --cancel--> done

#ifndef FIREFLYROUTE_CORE_CONFIG_ROLLOUT_CHANGE_H
#define FIREFLYROUTE_CORE_CONFIG_ROLLOUT_CHANGE_H

#include "core/config/control_command.h"

namespace fireflyroute::core {

// `at` is the wall-clock time of the command. The first stage may not exceed
// Defaults::rolloutExposureMaxPermille, because the quality of the new version is still unknown.
Result<void> startRollout(FleetConfig &config, const StartRollout &command, WallTime at);

Result<void> stepRollout(FleetConfig &config, const StepRollout &command, WallTime at);

// Holds the running roll-out to a version that was taken out of service, so that an operator
// decides how to continue.
void holdRolloutToVersion(ModelSpec &model, const VersionName &version, const std::string &reason);

// The share of new sessions that the roll-out currently assigns to the new version of a model.
[[nodiscard]] std::uint32_t rolloutExposurePermille(const ModelSpec &model);

} // namespace fireflyroute::core

#endif
