// Evidence for and against a version in roll-out.

#include "core/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>

namespace fireflyroute::core {

namespace {

// A step of the wall clock must not end a roll-out: the time before this leader first saw the order
// counts for at most this fraction of the allowed duration.
constexpr double kMaxInheritedFraction = 0.5;

// Failure rate of the other versions above which their answers don't show how a healthy version
// performs.
constexpr double kMaxBaselineRate = 0.3;

} // namespace

void RolloutJudge::observe(const VmId &entry, const OutcomeReport &report, Instant /*now*/)
{
    std::map<ServiceName, std::uint32_t> outstanding;
    for (const OutcomeCount &count : report.counts) {
        const auto monitor = monitors_.find(count.service);
        if (monitor == monitors_.end())
            continue;
        const bool isTarget = count.version == targets_[count.service];
        Counts &counts = (isTarget ? monitor->second.target : monitor->second.others)[count.route];
        counts.answers += count.succeeded + count.failed + count.slow;
        counts.failures += count.failed + count.slow;
        outstanding[count.service] += isTarget ? 0 : count.outstanding;
    }
    for (auto &[service, monitor] : monitors_)
        monitor.othersOutstanding[entry] = outstanding[service];
}

RolloutJudge::RolloutMonitor &RolloutJudge::monitorOf(const SiteRollout &rollout, Instant now,
                                                      WallTime wallNow)
{
    RolloutMonitor &monitor = monitors_[rollout.service];
    if (monitor.number == rollout.number)
        return monitor;
    monitor = RolloutMonitor{};
    monitor.number = rollout.number;
    targets_[rollout.service] = rollout.target;
    const std::int64_t elapsedMs = wallNow.time_since_epoch().count() - rollout.orderedAtMs;
    const auto maxElapsedMs = static_cast<std::int64_t>(rollout.durationMs * kMaxInheritedFraction);
    monitor.startedAt =
            now - std::chrono::milliseconds(std::clamp<std::int64_t>(elapsedMs, 0, maxElapsedMs));
    return monitor;
}

std::vector<SetRolloutStage> RolloutJudge::step(const SiteData &data, Instant now, WallTime wallNow)
{
    std::vector<SetRolloutStage> commands;
    for (const auto &[service, rollout] : data.rollouts) {
        if (rollout.isFinal()) {
            monitors_.erase(service);
            continue;
        }
        RolloutMonitor &monitor = monitorOf(rollout, now, wallNow);
        if (rollout.stage == RolloutStage::Expanding && !monitor.expandedAt)
            monitor.expandedAt = now;
        const std::optional<RolloutStage> stage = nextStage(rollout, monitor, now);
        if (stage)
            commands.push_back(SetRolloutStage{service, rollout.number, *stage});
    }
    return commands;
}

std::optional<RolloutStage> RolloutJudge::nextStage(const SiteRollout &rollout,
                                                    const RolloutMonitor &monitor,
                                                    Instant now) const
{
    if (isFaulty(monitor))
        return RolloutStage::RolledBack;
    const std::chrono::duration<double, std::milli> elapsed = now - monitor.startedAt;
    const double elapsedFraction = elapsed.count() / std::max<double>(rollout.durationMs, 1);
    if (rollout.stage == RolloutStage::Canary) {
        if (elapsedFraction < policy_.expandAfterFraction)
            return std::nullopt;
        if (isHealthy(monitor))
            return RolloutStage::Expanding;
        const bool isUndecided = elapsedFraction >= policy_.decideByFraction
                                 && answersOf(monitor) >= policy_.maxUndecidedAnswers;
        return isUndecided ? std::optional(RolloutStage::RolledBack) : std::nullopt;
    }
    const bool isIdle =
            std::all_of(monitor.othersOutstanding.begin(), monitor.othersOutstanding.end(),
                        [](const auto &item) { return item.second == 0; });
    const bool mayComplete = elapsedFraction >= policy_.completeAfterFraction && isIdle;
    if (mayComplete || elapsedFraction >= policy_.completeByFraction)
        return RolloutStage::Completed;
    return std::nullopt;
}

bool RolloutJudge::isFaulty(const RolloutMonitor &monitor) const
{
    for (const auto &[route, counts] : monitor.target) {
        if (evidenceAgainst(counts, othersOn(monitor, route)) >= policy_.evidenceThreshold)
            return true;
    }
    return evidenceAgainst(monitor) >= policy_.evidenceThreshold;
}

bool RolloutJudge::isHealthy(const RolloutMonitor &monitor) const
{
    Counts allOthers;
    for (const auto &[route, counts] : monitor.target) {
        const Counts others = othersOn(monitor, route);
        if (counts.answers >= policy_.minAnswers && evidenceAgainst(counts, others) > 0)
            return false;
        allOthers.answers += others.answers;
        allOthers.failures += others.failures;
    }
    const bool isComparable = static_cast<double>(allOthers.failures)
                              <= kMaxBaselineRate * static_cast<double>(allOthers.answers);
    return isComparable && evidenceAgainst(monitor) <= -policy_.healthThreshold;
}

std::uint64_t RolloutJudge::answersOf(const RolloutMonitor &monitor)
{
    return std::accumulate(
            monitor.target.begin(), monitor.target.end(), std::uint64_t{0},
            [](std::uint64_t sum, const auto &item) { return sum + item.second.answers; });
}

RolloutJudge::Counts RolloutJudge::othersOn(const RolloutMonitor &monitor, const std::string &route)
{
    const auto others = monitor.others.find(route);
    return others == monitor.others.end() ? Counts{} : others->second;
}

// Evidence over all routes of the target.
double RolloutJudge::evidenceAgainst(const RolloutMonitor &monitor) const
{
    Counts allTarget;
    Counts allOthers;
    for (const auto &[route, counts] : monitor.target) {
        const Counts others = othersOn(monitor, route);
        allTarget.answers += counts.answers;
        allTarget.failures += counts.failures;
        allOthers.answers += others.answers;
        allOthers.failures += others.failures;
    }
    return evidenceAgainst(allTarget, allOthers);
}

std::string RolloutJudge::describe(const ServiceName &service) const
{
    const auto found = monitors_.find(service);
    if (found == monitors_.end())
        return "none";
    std::string text;
    for (const auto &[route, counts] : found->second.target) {
        const Counts reference = othersOn(found->second, route);
        text += fmt::format("{} {}/{} failed or slow, others {}/{}; ", route, counts.failures,
                            counts.answers, reference.failures, reference.answers);
    }
    return text;
}

// Log likelihood ratio of the hypothesis "fails at faultyFailureRate, or at twice the rate of the
// other versions if that is higher" against "fails at the rate of the other versions".
double RolloutJudge::evidenceAgainst(const Counts &target, const Counts &others) const
{
    const double prior = policy_.baselineFailureRate;
    constexpr double kPriorWeight = 20; // number of answers that the baseline rate counts as
    const double observedRate = (static_cast<double>(others.failures) + prior * kPriorWeight)
                                / (static_cast<double>(others.answers) + kPriorWeight);
    const double healthyRate = std::clamp(observedRate, prior, 0.9);
    const double faultyRate = std::max(policy_.faultyFailureRate, std::min(healthyRate * 2, 0.95));
    const double failed = static_cast<double>(target.failures);
    const double succeeded = static_cast<double>(target.answers) - failed;
    return failed * std::log(faultyRate / healthyRate)
           + succeeded * std::log((1 - faultyRate) / (1 - healthyRate));
}

} // namespace fireflyroute::core
