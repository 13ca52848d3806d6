// Planning phase of version choice: one selection per model, the first version to dispatch, and the
// escalation steps after it.

#include "core/versions/version_choice.h"

#include <fmt/format.h>
#include <map>
#include <tuple>

namespace fireflyroute::core {

namespace {

// Salt that makes the sampling of trials independent of roll-outs.
constexpr std::string_view kTrialSalt = "trial";

// Selection within a model. `evaluated` is compared by quality and cost; `dispatched` is the
// version that runs. They differ only for a request in the share of a roll-out, where the new
// version is dispatched in place of the one it replaces before it has its own ratings.
struct ModelSelection
{
    const VersionCandidate *evaluated = nullptr;
    const VersionCandidate *dispatched = nullptr;
    ChoiceReason reason = ChoiceReason::Default;
};

bool meetsTarget(const VersionCandidate &candidate)
{
    return candidate.quality.lower >= candidate.qualityTarget;
}

bool mayMeetTarget(const VersionCandidate &candidate)
{
    return candidate.quality.upper >= candidate.qualityTarget;
}

bool hasHigherLowerBound(const VersionCandidate &left, const VersionCandidate &right)
{
    return std::tuple(left.quality.lower, -left.expectedCost)
           > std::tuple(right.quality.lower, -right.expectedCost);
}

// Order of fallbacks for a stable version that can't serve: a version with enough ratings comes
// before one without.
bool isBetterFallback(const VersionCandidate &left, const VersionCandidate &right)
{
    const bool leftHasEnoughRatings = left.quality.weight >= kMinRatings;
    const bool rightHasEnoughRatings = right.quality.weight >= kMinRatings;
    if (leftHasEnoughRatings != rightHasEnoughRatings)
        return leftHasEnoughRatings;
    return hasHigherLowerBound(left, right);
}

// Collects the candidates of one model and selects one of them.
struct ModelCandidates
{
    const VersionCandidate *stable = nullptr;
    const VersionCandidate *target = nullptr;
    const VersionCandidate *fallback = nullptr; // best of the other versions

    void add(const VersionCandidate &candidate)
    {
        if (!candidate.ready)
            return;
        if (candidate.role == VersionRole::Stable)
            stable = &candidate;
        else if (candidate.role == VersionRole::RolloutTarget)
            target = &candidate;
        else if (!fallback || isBetterFallback(candidate, *fallback))
            fallback = &candidate;
    }

    [[nodiscard]] std::optional<ModelSelection> selection() const
    {
        const VersionCandidate *evaluated = stable ? stable : fallback;
        if (target && target->assigned)
            return ModelSelection{evaluated ? evaluated : target, target, ChoiceReason::Rollout};
        if (stable)
            return ModelSelection{stable, stable, ChoiceReason::Default};
        if (fallback)
            return ModelSelection{fallback, fallback, ChoiceReason::StableUnavailable};
        return std::nullopt;
    }
};

std::vector<ModelSelection> selectionsByCost(const std::vector<VersionCandidate> &candidates)
{
    std::map<ModelName, ModelCandidates> candidatesByModel;
    for (const VersionCandidate &candidate : candidates)
        candidatesByModel[candidate.version.model].add(candidate);
    std::vector<ModelSelection> selections;
    for (const auto &[model, modelCandidates] : candidatesByModel) {
        if (const std::optional<ModelSelection> selection = modelCandidates.selection())
            selections.push_back(*selection);
    }
    std::stable_sort(
            selections.begin(), selections.end(),
            [](const ModelSelection &left, const ModelSelection &right) {
                return std::tuple(left.evaluated->expectedCost, -left.evaluated->quality.lower)
                       < std::tuple(right.evaluated->expectedCost, -right.evaluated->quality.lower);
            });
    return selections;
}

// First step of a plan: an index into the selections sorted by cost, and the reason.
struct FirstStep
{
    std::size_t index = 0;
    ChoiceReason reason = ChoiceReason::Default;
};

FirstStep cheapestMeetingTarget(const std::vector<ModelSelection> &selections)
{
    std::size_t best = 0;
    for (std::size_t index = 0; index < selections.size(); ++index) {
        if (meetsTarget(*selections[index].evaluated))
            return FirstStep{index, ChoiceReason::CheapestMeetingTarget};
        if (hasHigherLowerBound(*selections[index].evaluated, *selections[best].evaluated))
            best = index;
    }
    return FirstStep{best, ChoiceReason::BestAvailable};
}

// Tries a cheaper version of unknown quality for a share of the requests; without trials it would
// never receive the required ratings. If a poor answer can't be replaced before the caller gets it,
// the version must be expected to meet the target.
std::optional<FirstStep> cheaperTrial(const std::vector<ModelSelection> &selections,
                                      const FirstStep &baseline, const ChoiceRequest &request,
                                      const ChoicePolicy &policy)
{
    // The hash is the most expensive part of a choice, so it is skipped if no version is cheaper.
    if (baseline.index == 0)
        return std::nullopt;
    if (stablePermille(request.request.value(), kTrialSalt) >= policy.trialPermille)
        return std::nullopt;
    const bool isAnswerReplaceable = request.mayEscalate && !request.session;
    for (std::size_t index = 0; index < baseline.index; ++index) {
        const VersionCandidate &evaluated = *selections[index].evaluated;
        const bool isExpectedToMeetTarget = evaluated.quality.mean >= evaluated.qualityTarget;
        if (mayMeetTarget(evaluated) && (isAnswerReplaceable || isExpectedToMeetTarget))
            return FirstStep{index, ChoiceReason::Trial};
    }
    return std::nullopt;
}

PlanStep makeStep(const VersionCandidate &candidate, ChoiceReason reason)
{
    return PlanStep{.version = candidate.version,
                    .reason = reason,
                    .exception = candidate.targetException,
                    .exposurePermille = candidate.exposurePermille,
                    .quality = candidate.quality,
                    .qualityTarget = candidate.qualityTarget,
                    .expectedCost = candidate.expectedCost};
}

// Adds more expensive versions, each expected to answer better than the step before it. One whose
// lower quality bound is below the target is added only if it is the most expensive version.
void addEscalationSteps(const std::vector<ModelSelection> &selections, std::size_t first,
                        std::size_t maxSteps, std::vector<PlanStep> &steps)
{
    double mean = selections[first].evaluated->quality.mean;
    for (std::size_t index = first + 1; index < selections.size() && steps.size() < maxSteps;
         ++index) {
        const VersionCandidate &evaluated = *selections[index].evaluated;
        const bool isCostliest = index + 1 == selections.size();
        if (evaluated.quality.mean <= mean || !(meetsTarget(evaluated) || isCostliest))
            continue;
        steps.push_back(makeStep(evaluated, ChoiceReason::Escalation));
        mean = evaluated.quality.mean;
    }
}

Result<CascadePlan> planFixed(const CandidateSet &set)
{
    const VersionCandidate &candidate = set.candidates.front();
    if (!candidate.ready) {
        return CoreFailure{CoreError::NoEndpoint,
                           fmt::format("no endpoint serves {}", toString(candidate.version))};
    }
    CascadePlan plan{.pin = set.pin, .pinMoveReason = set.pinMoveReason};
    plan.steps.push_back(makeStep(candidate, *set.fixedReason));
    if (set.exception)
        plan.steps.front().exception = set.exception;
    return plan;
}

} // namespace

bool isUncertain(const PlanStep &step)
{
    if (step.reason == ChoiceReason::Trial || step.reason == ChoiceReason::Rollout)
        return true;
    if (step.quality.weight < kMinRatings)
        return true;
    return step.quality.lower < step.qualityTarget && step.quality.upper >= step.qualityTarget;
}

std::string explain(const PlanStep &step)
{
    std::string line = fmt::format("{}: {}, quality {:.3f} ({:.3f} to {:.3f}) for target {:.3f}",
                                   nameOf(step.reason), toString(step.version), step.quality.mean,
                                   step.quality.lower, step.quality.upper, step.qualityTarget);
    line += fmt::format(", cost {} micro", step.expectedCost);
    if (step.exception)
        line += fmt::format(", exception {}", step.exception->value());
    if (step.reason == ChoiceReason::Rollout)
        line += fmt::format(", exposure limit {} permille", step.exposurePermille);
    return line;
}

Result<CascadePlan> planCascade(const CandidateSet &set, const ChoiceRequest &request,
                                bool ratingsAvailable, const ChoicePolicy &policy)
{
    if (set.fixedReason)
        return planFixed(set);
    const std::vector<ModelSelection> selections = selectionsByCost(set.candidates);
    if (selections.empty())
        return CoreFailure{CoreError::NoEndpoint, "no endpoint serves an allowed version"};
    FirstStep firstStep = cheapestMeetingTarget(selections);
    if (ratingsAvailable)
        firstStep = cheaperTrial(selections, firstStep, request, policy).value_or(firstStep);
    const ModelSelection &first = selections[firstStep.index];
    const bool hasSelectionReason = first.reason != ChoiceReason::Default;
    const bool isModelRequested = request.requested.model.has_value();
    const ChoiceReason reason = isModelRequested ? ChoiceReason::Default : firstStep.reason;
    CascadePlan plan{.pin = set.pin, .pinMoveReason = set.pinMoveReason};
    plan.steps.push_back(makeStep(*first.dispatched, hasSelectionReason ? first.reason : reason));
    if (request.mayEscalate && !request.session)
        addEscalationSteps(selections, firstStep.index, policy.maxSteps, plan.steps);
    return plan;
}

} // namespace fireflyroute::core
