// Implements each kind of configuration change.

#include "core/config/config_change.h"

#include "core/config/rollout_change.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

bool isBlank(const std::string &text)
{
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

CoreFailure missingReason()
{
    return CoreFailure{CoreError::ReasonMissing, "reason: a written reason is required"};
}

ModelSpec *findMutableModel(FleetConfig &config, const ModelName &name)
{
    return const_cast<ModelSpec *>(findModel(config, name));
}

VersionSpec *findMutableVersion(FleetConfig &config, const ModelVersion &id)
{
    return const_cast<VersionSpec *>(findVersion(config, id));
}

CoreFailure notFound(const std::string &what)
{
    return CoreFailure{CoreError::NotFound, what + ": not found"};
}

// Version states and roll-outs are changed only by their own commands, so replacing the fleet
// configuration preserves them.
Result<void> preserveVersionStates(const FleetConfig &current, FleetConfig &next)
{
    for (const ModelSpec &model : current.models) {
        ModelSpec *replacement = findMutableModel(next, model.name);
        for (const VersionSpec &version : model.versions) {
            const ModelVersion id{model.name, version.name};
            VersionSpec *target = findMutableVersion(next, id);
            if (target) {
                target->state = version.state;
                target->stateReason = version.stateReason;
            } else if (version.state == VersionState::Withdrawn) {
                return CoreFailure{
                        CoreError::InvalidArgument,
                        fmt::format("models[{}].versions: {} is withdrawn and has to stay "
                                    "listed",
                                    model.name.value(), version.name.value())};
            }
        }
        if (!replacement)
            continue;
        if (model.rollout && replacement->stable != model.stable) {
            return CoreFailure{CoreError::InvalidArgument,
                               fmt::format("models[{}].stable: is {} by its roll-out",
                                           model.name.value(), model.stable.value())};
        }
        replacement->rollout = model.rollout;
    }
    return outcome::success();
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &,
                             const SetFleet &requested)
{
    FleetConfig next = requested.config;
    next.revision = current.revision;
    next.exceptions = current.exceptions;
    BOOST_OUTCOME_TRYV(preserveVersionStates(current, next));
    return ChangedConfig{std::move(next), "set fleet", ""};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &command,
                             const AddException &requested)
{
    if (isBlank(requested.exception.reason))
        return missingReason();
    FleetConfig next = current;
    ConfigException exception = requested.exception;
    exception.author = command.author;
    exception.createdAt = command.at;
    next.exceptions.push_back(exception);
    return ChangedConfig{std::move(next), "add exception " + exception.id.value(),
                         exception.reason};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &,
                             const RemoveException &requested)
{
    FleetConfig next = current;
    const auto removed = std::erase_if(next.exceptions, [&](const ConfigException &exception) {
        return exception.id == requested.id;
    });
    if (removed == 0)
        return notFound("exception " + requested.id.value());
    return ChangedConfig{std::move(next), "remove exception " + requested.id.value(),
                         requested.reason};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &command,
                             const StartRollout &requested)
{
    FleetConfig next = current;
    BOOST_OUTCOME_TRYV(startRollout(next, requested, command.at));
    return ChangedConfig{
            std::move(next),
            fmt::format("start roll-out of {}@{}", requested.model.value(), requested.to.value()),
            requested.reason};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &command,
                             const StepRollout &requested)
{
    FleetConfig next = current;
    BOOST_OUTCOME_TRYV(stepRollout(next, requested, command.at));
    return ChangedConfig{
            std::move(next),
            fmt::format("{} roll-out of {}", nameOf(requested.step), requested.model.value()),
            requested.reason};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &,
                             const WithdrawVersion &requested)
{
    if (isBlank(requested.reason))
        return missingReason();
    FleetConfig next = current;
    VersionSpec *version = findMutableVersion(next, requested.target);
    if (!version)
        return notFound(toString(requested.target));
    version->state = VersionState::Withdrawn;
    version->stateReason = requested.reason;
    holdRolloutToVersion(*findMutableModel(next, requested.target.model), requested.target.version,
                         requested.reason);
    return ChangedConfig{std::move(next), "withdraw " + toString(requested.target),
                         requested.reason};
}

Result<ChangedConfig> change(const FleetConfig &current, const ConfigCommand &,
                             const HoldVersion &requested)
{
    if (isBlank(requested.reason))
        return missingReason();
    FleetConfig next = current;
    VersionSpec *version = findMutableVersion(next, requested.target);
    if (!version)
        return notFound(toString(requested.target));
    if (version->state == VersionState::Withdrawn)
        return CoreFailure{CoreError::Withdrawn, "a withdrawn version can't be held or resumed"};
    version->state = requested.hold ? VersionState::Held : VersionState::Serving;
    version->stateReason = requested.hold ? requested.reason : "";
    if (requested.hold)
        holdRolloutToVersion(*findMutableModel(next, requested.target.model),
                             requested.target.version, requested.reason);
    return ChangedConfig{std::move(next),
                         (requested.hold ? "hold " : "resume ") + toString(requested.target),
                         requested.reason};
}

} // namespace

Result<ChangedConfig> applyChange(const FleetConfig &current, const ConfigCommand &command)
{
    Result<ChangedConfig> changed =
            std::visit([&](const auto &requested) { return change(current, command, requested); },
                       command.change);
    if (!changed)
        return changed;
    BOOST_OUTCOME_TRYV(validate(changed.value().config));
    return changed;
}

} // namespace fireflyroute::core
