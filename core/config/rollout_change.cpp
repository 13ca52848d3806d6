// State transitions of a roll-out.

#include "core/config/rollout_change.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

constexpr std::uint32_t kFullExposurePermille = 1000;

bool isBlank(const std::string &text)
{
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

CoreFailure invalid(std::string detail)
{
    return CoreFailure{CoreError::InvalidArgument, std::move(detail)};
}

ModelSpec *findMutableModel(FleetConfig &config, const ModelName &name)
{
    const auto found = std::find_if(config.models.begin(), config.models.end(),
                                    [&](const ModelSpec &model) { return model.name == name; });
    return found == config.models.end() ? nullptr : &*found;
}

bool isServing(const ModelSpec &model, const VersionName &name)
{
    const VersionSpec *version = findVersion(model, name);
    return version && version->state == VersionState::Serving;
}

void enterStage(Rollout &rollout, std::uint32_t stage, WallTime at)
{
    rollout.stage = stage;
    rollout.stageSince = at;
}

void finish(ModelSpec &model)
{
    model.stable = model.rollout->to;
    model.rollout->phase = RolloutPhase::Done;
}

Result<void> advance(ModelSpec &model, WallTime at)
{
    Rollout &rollout = *model.rollout;
    const bool lastStage = rollout.stage + 1 >= rollout.stagesPermille.size();
    if (!lastStage) {
        enterStage(rollout, rollout.stage + 1, at);
        return outcome::success();
    }
    if (rollout.stagesPermille.back() != kFullExposurePermille)
        return invalid("roll-out is in its last stage, only finish is possible");
    finish(model);
    return outcome::success();
}

Result<void> resume(Rollout &rollout, WallTime at)
{
    rollout.phase = RolloutPhase::Running;
    rollout.stageSince = at;
    return outcome::success();
}

Result<void> applyStep(ModelSpec &model, RolloutStep step, WallTime at)
{
    Rollout &rollout = *model.rollout;
    const bool running = rollout.phase == RolloutPhase::Running;
    switch (step) {
    case RolloutStep::Advance:
        if (running)
            return advance(model, at);
        break;
    case RolloutStep::Finish:
        if (running) {
            finish(model);
            return outcome::success();
        }
        break;
    case RolloutStep::Hold:
        if (running) {
            rollout.phase = RolloutPhase::Held;
            return outcome::success();
        }
        break;
    case RolloutStep::Resume:
        if (!running)
            return resume(rollout, at);
        break;
    case RolloutStep::Cancel:
        rollout.phase = RolloutPhase::Done;
        return outcome::success();
    }
    return invalid(fmt::format("roll-out is {}, can't {}", nameOf(rollout.phase), nameOf(step)));
}

} // namespace

Result<void> startRollout(FleetConfig &config, const StartRollout &command, WallTime at)
{
    if (isBlank(command.reason))
        return CoreFailure{CoreError::ReasonMissing, "reason: a written reason is required"};
    ModelSpec *model = findMutableModel(config, command.model);
    if (!model || !findVersion(*model, command.to)) {
        return CoreFailure{
                CoreError::NotFound,
                fmt::format("{}@{}: not found", command.model.value(), command.to.value())};
    }
    if (model->rollout && model->rollout->phase != RolloutPhase::Done)
        return CoreFailure{CoreError::AlreadyExists, "a roll-out of this model is under way"};
    if (!isServing(*model, command.to) || command.to == model->stable)
        return invalid("to: the version can't be rolled out");
    const std::uint32_t maxPermille = config.defaults.rolloutExposureMaxPermille;
    if (command.stagesPermille.empty() || command.stagesPermille.front() > maxPermille) {
        return invalid(fmt::format("stages_permille: the first stage has to be given and not "
                                   "above {}",
                                   maxPermille));
    }
    if (command.gates.size() > command.stagesPermille.size())
        return invalid("gates: more of them than stages");
    model->rollout = Rollout{.from = model->stable,
                             .to = command.to,
                             .phase = RolloutPhase::Running,
                             .stagesPermille = command.stagesPermille,
                             .stage = 0,
                             .reason = command.reason,
                             .gates = command.gates,
                             .stageSince = at};
    return outcome::success();
}

Result<void> stepRollout(FleetConfig &config, const StepRollout &command, WallTime at)
{
    ModelSpec *model = findMutableModel(config, command.model);
    if (!model || !model->rollout || model->rollout->phase == RolloutPhase::Done) {
        return CoreFailure{CoreError::NotFound,
                           fmt::format("roll-out of {}: not found", command.model.value())};
    }
    if (command.step != RolloutStep::Advance && isBlank(command.reason))
        return CoreFailure{CoreError::ReasonMissing, "reason: a written reason is required"};
    const bool isStopping =
            command.step == RolloutStep::Hold || command.step == RolloutStep::Cancel;
    if (!isStopping && !isServing(*model, model->rollout->to)) {
        return invalid(fmt::format("{}@{} is not serving; resume the version first",
                                   command.model.value(), model->rollout->to.value()));
    }
    BOOST_OUTCOME_TRYV(applyStep(*model, command.step, at));
    if (!isBlank(command.reason))
        model->rollout->reason = command.reason;
    return outcome::success();
}

void holdRolloutToVersion(ModelSpec &model, const VersionName &version, const std::string &reason)
{
    if (!model.rollout || model.rollout->phase != RolloutPhase::Running)
        return;
    if (model.rollout->to != version)
        return;
    model.rollout->phase = RolloutPhase::Held;
    model.rollout->reason = reason;
}

std::uint32_t rolloutExposurePermille(const ModelSpec &model)
{
    if (!model.rollout || model.rollout->phase != RolloutPhase::Running)
        return 0;
    const Rollout &rollout = *model.rollout;
    return isServing(model, rollout.to) ? rollout.stagesPermille[rollout.stage] : 0;
}

} // namespace fireflyroute::core
