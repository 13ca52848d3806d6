// Proposes the next step of roll-outs.

#include "core/versions/rollout_schedule.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

struct Proposal
{
    std::string_view step; // part of the command id
    ConfigChange change;
};

const RolloutEvidence *evidenceFor(const std::vector<RolloutEvidence> &evidence,
                                   const ModelVersion &version)
{
    const auto found =
            std::find_if(evidence.begin(), evidence.end(), [&](const RolloutEvidence &candidate) {
                return candidate.version == version;
            });
    return found == evidence.end() ? nullptr : &*found;
}

RolloutGate gateOf(const Rollout &rollout)
{
    return rollout.stage < rollout.gates.size() ? rollout.gates[rollout.stage] : RolloutGate{};
}

bool isLastStage(const Rollout &rollout)
{
    return rollout.stage + 1 >= rollout.stagesPermille.size();
}

// The share of a version without validation does not exceed the exposure limit.
bool mayIncreaseExposure(const FleetConfig &config, const Rollout &rollout, VersionVerdict verdict)
{
    if (verdict == VersionVerdict::Acceptable)
        return true;
    return !isLastStage(rollout)
           && rollout.stagesPermille[rollout.stage + 1]
                      <= config.defaults.rolloutExposureMaxPermille;
}

bool isStageComplete(const Rollout &rollout, const RolloutEvidence &evidence, WallTime now)
{
    const RolloutGate gate = gateOf(rollout);
    return evidence.stage == rollout.stage && evidence.ratings >= gate.minRatings
           && now - rollout.stageSince >= gate.duration;
}

std::optional<Proposal> proposeFor(const FleetConfig &config, const ModelSpec &model,
                                   const RolloutEvidence &evidence, WallTime now)
{
    const Rollout &rollout = *model.rollout;
    if (evidence.verdict == VersionVerdict::Faulty) {
        return Proposal{"withdraw",
                        WithdrawVersion{evidence.version, "bad ratings: " + evidence.summary}};
    }
    if (rollout.phase != RolloutPhase::Running)
        return std::nullopt;
    if (evidence.verdict == VersionVerdict::Suspect) {
        return Proposal{"hold", StepRollout{model.name, RolloutStep::Hold,
                                            "suspect ratings: " + evidence.summary}};
    }
    if (!isStageComplete(rollout, evidence, now)
        || !mayIncreaseExposure(config, rollout, evidence.verdict))
        return std::nullopt;
    const RolloutStep step = isLastStage(rollout) ? RolloutStep::Finish : RolloutStep::Advance;
    return Proposal{nameOf(step),
                    StepRollout{model.name, step,
                                fmt::format("stage {} complete with {} ratings: {}", rollout.stage,
                                            evidence.ratings, evidence.summary)}};
}

bool isActive(const ModelSpec &model)
{
    if (!model.rollout || model.rollout->phase == RolloutPhase::Done)
        return false;
    const VersionSpec *version = findVersion(model, model.rollout->to);
    return version && version->state != VersionState::Withdrawn;
}

} // namespace

std::optional<ConfigCommand> RolloutSchedule::propose(const FleetConfig &config,
                                                      const std::vector<RolloutEvidence> &evidence,
                                                      const ClockReading &now) const
{
    const WallTime wall = wallTime(now);
    for (const ModelSpec &model : config.models) {
        if (!isActive(model))
            continue;
        const ModelVersion version{model.name, model.rollout->to};
        const RolloutEvidence *versionEvidence = evidenceFor(evidence, version);
        const std::optional<Proposal> proposal =
                versionEvidence ? proposeFor(config, model, *versionEvidence, wall) : std::nullopt;
        if (!proposal)
            continue;
        const std::string id = fmt::format("{}/{}/{}/{}", kAuthor, toNumber(config.revision),
                                           toString(version), proposal->step);
        return ConfigCommand{CommandId(id), OperatorName(std::string(kAuthor)), wall,
                             config.revision, proposal->change};
    }
    return std::nullopt;
}

WallTime RolloutSchedule::wallTime(const ClockReading &now) const
{
    const Duration elapsed = now.monotonic - electedAt_.monotonic;
    return electedAt_.wall + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
}

} // namespace fireflyroute::core
