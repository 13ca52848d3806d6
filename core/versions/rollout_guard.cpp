// Tests on fleet-wide ratings, and the configuration changes that result from them.

#include "core/versions/rollout_guard.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace fireflyroute::core {

namespace {

const OperatorName kGuardName("rollout-guard");

const Rollout *rolloutTo(const FleetConfig &config, const ModelVersion &version)
{
    const ModelSpec *model = findModel(config, version.model);
    if (!model || !model->rollout || model->rollout->phase == RolloutPhase::Done)
        return nullptr;
    return model->rollout->to == version.version ? &*model->rollout : nullptr;
}

// The kind of a change as used in command ids.
struct ChangeKind
{
    std::string operator()(const StepRollout &change) const
    {
        return std::string(nameOf(change.step)) + "-rollout";
    }
    std::string operator()(const HoldVersion &) const { return "hold"; }
    std::string operator()(const WithdrawVersion &) const { return "withdraw"; }
    template<typename Other>
    std::string operator()(const Other &) const
    {
        return "change";
    }
};

} // namespace

ConfigCommand toCommand(const GuardDecision &decision, Revision baseRevision, WallTime at)
{
    const std::string id = fmt::format(
            "{}/{}/{}/{}", kGuardName.value(), std::visit(ChangeKind{}, decision.change),
            toString(decision.version), static_cast<std::uint64_t>(baseRevision));
    return ConfigCommand{.id = CommandId(id),
                         .author = kGuardName,
                         .at = at,
                         .expected = baseRevision,
                         .change = decision.change};
}

void RolloutGuard::TaskMonitor::addDelayed(const RatingCounts &ratings, const GuardPolicy &policy)
{
    if (reference.bounds(0).weight < static_cast<double>(policy.referenceBlock)) {
        reference.add(ratings);
        return;
    }
    currentBlock.add(ratings);
    if (currentBlock.count() < policy.referenceBlock)
        return;
    reference.add(delayedBlock);
    delayedBlock = std::exchange(currentBlock, RatingCounts{});
}

double RolloutGuard::VersionMonitor::evidence() const
{
    double maxEvidence = belowTest.evidence();
    for (const auto &[name, task] : tasks)
        maxEvidence = std::max(maxEvidence, task.belowTest.evidence());
    return maxEvidence;
}

RolloutGuard::ServiceState RolloutGuard::serviceStateOf(const FleetConfig &config,
                                                        const ModelVersion &version)
{
    const VersionSpec *spec = findVersion(config, version);
    if (!spec || spec->state != VersionState::Serving)
        return ServiceState::Stopped;
    const Rollout *rollout = rolloutTo(config, version);
    if (!rollout)
        return ServiceState::Steady;
    return rollout->phase == RolloutPhase::Running ? ServiceState::Rollout : ServiceState::Stopped;
}

RolloutGuard::Reference RolloutGuard::referenceOf(const FleetConfig &config,
                                                  const QualityKey &key) const
{
    const Rollout *rollout = rolloutTo(config, key.version);
    Reference reference{.bounds = {}, .version = key.version};
    if (rollout)
        reference.version.version = rollout->from;
    const VersionSpec *spec = findVersion(config, reference.version);
    const auto monitor = monitors_.find(reference.version);
    if (!spec || monitor == monitors_.end())
        return reference;
    const auto task = monitor->second.tasks.find(key.task);
    if (task != monitor->second.tasks.end())
        reference.bounds = task->second.reference.bounds(spec->expectedQuality);
    return reference;
}

void RolloutGuard::compare(VersionMonitor &monitor, TaskMonitor &task, const RatingCounts &ratings,
                           const QualityBounds &reference) const
{
    if (reference.weight < policy_.minReferenceWeight)
        return;
    const double nullMean = reference.lower - policy_.tolerance;
    task.belowTest.add(ratings, nullMean);
    monitor.belowTest.add(ratings, nullMean);
    if (monitor.serviceState == ServiceState::Rollout)
        monitor.aboveTest.add(ratings, reference.mean - policy_.validationMargin);
}

void RolloutGuard::updateServiceState(VersionMonitor &monitor, const FleetConfig &config,
                                      const ModelVersion &version)
{
    const ServiceState before = monitor.serviceState;
    const ServiceState after = serviceStateOf(config, version);
    const bool resumed = before == ServiceState::Stopped && after != ServiceState::Stopped;
    const bool started = before == ServiceState::Steady && after == ServiceState::Rollout;
    if (resumed || started)
        monitor = VersionMonitor{};
    monitor.serviceState = after;
}

void RolloutGuard::observe(const FleetConfig &config, const QualityEvidence &evidence)
{
    const ModelVersion &version = evidence.key.version;
    if (!findVersion(config, version))
        return;
    VersionMonitor &monitor = monitors_[version];
    updateServiceState(monitor, config, version);
    TaskMonitor &task =
            monitor.tasks.try_emplace(evidence.key.task, policy_.reference).first->second;
    compare(monitor, task, evidence.newRatings, referenceOf(config, evidence.key).bounds);
    monitor.recentQuality.add(evidence.newRatings);
    task.addDelayed(evidence.newRatings, policy_);
}

bool RolloutGuard::isCommonCause(const FleetConfig &config) const
{
    std::size_t serving = 0;
    std::size_t suspect = 0;
    for (const auto &[version, monitor] : monitors_) {
        if (serviceStateOf(config, version) == ServiceState::Stopped)
            continue;
        ++serving;
        suspect += monitor.evidence() >= policy_.suspectEvidence ? 1U : 0U;
    }
    return suspect >= 2 && 2 * suspect > serving;
}

bool RolloutGuard::isLastVersion(const FleetConfig &config, const ModelVersion &version) const
{
    for (const ModelSpec &model : config.models) {
        for (const VersionSpec &spec : model.versions) {
            const ModelVersion other{model.name, spec.name};
            if (other != version && serviceStateOf(config, other) != ServiceState::Stopped)
                return false;
        }
    }
    return true;
}

GuardVerdict RolloutGuard::verdict(const FleetConfig &config, const ModelVersion &version) const
{
    const auto found = monitors_.find(version);
    if (found == monitors_.end() || found->second.evidence() < policy_.suspectEvidence)
        return GuardVerdict::Healthy;
    if (found->second.evidence() < policy_.holdEvidence)
        return GuardVerdict::Suspect;
    if (isCommonCause(config))
        return GuardVerdict::CommonCause;
    return isLastVersion(config, version) ? GuardVerdict::LastVersion : GuardVerdict::Faulty;
}

std::string RolloutGuard::reasonFor(const FleetConfig &config, const ModelVersion &version,
                                    const VersionMonitor &monitor) const
{
    const VersionSpec *spec = findVersion(config, version);
    std::string reason = fmt::format(
            "ratings of {} turned bad: recent mean {:.2f}, odds e^{:.1f}", toString(version),
            monitor.recentQuality.bounds(spec->expectedQuality).mean, monitor.evidence());
    for (const auto &[name, task] : monitor.tasks) {
        const Reference reference = referenceOf(config, QualityKey{name, version});
        reason += fmt::format("; task {}: reference {} at {:.2f}, odds e^{:.1f}", name.value(),
                              toString(reference.version), reference.bounds.mean,
                              task.belowTest.evidence());
    }
    return reason;
}

std::vector<GuardDecision> RolloutGuard::step(const FleetConfig &config)
{
    std::erase_if(monitors_, [&](const auto &item) { return !findVersion(config, item.first); });
    for (auto &[version, monitor] : monitors_)
        updateServiceState(monitor, config, version);
    std::vector<GuardDecision> decisions;
    for (const auto &[version, monitor] : monitors_) {
        if (verdict(config, version) != GuardVerdict::Faulty)
            continue;
        const std::string reason = reasonFor(config, version, monitor);
        const bool inRollout = rolloutTo(config, version) != nullptr;
        const bool isServing = findVersion(config, version)->state == VersionState::Serving;
        if (monitor.serviceState == ServiceState::Rollout)
            decisions.push_back({version, StepRollout{version.model, RolloutStep::Hold, reason}});
        else if (monitor.serviceState == ServiceState::Steady)
            decisions.push_back({version, HoldVersion{version, true, reason}});
        else if (inRollout && isServing && monitor.evidence() >= policy_.withdrawEvidence)
            decisions.push_back({version, WithdrawVersion{version, reason}});
    }
    return decisions;
}

std::unordered_set<ModelVersion> RolloutGuard::validated(const FleetConfig &config) const
{
    std::unordered_set<ModelVersion> versions;
    for (const auto &[version, monitor] : monitors_) {
        const bool passed = monitor.aboveTest.evidence() >= policy_.validationEvidence
                            && monitor.aboveTest.count() >= policy_.validationRatings;
        const bool isUnsuspected = monitor.evidence() < policy_.suspectEvidence;
        if (passed && isUnsuspected && serviceStateOf(config, version) == ServiceState::Rollout)
            versions.insert(version);
    }
    return versions;
}

std::unordered_set<ModelVersion> RolloutGuard::suspects() const
{
    std::unordered_set<ModelVersion> versions;
    for (const auto &[version, monitor] : monitors_) {
        if (monitor.evidence() >= policy_.fullRatingEvidence)
            versions.insert(version);
    }
    return versions;
}

} // namespace fireflyroute::core
