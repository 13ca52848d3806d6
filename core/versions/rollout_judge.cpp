// Evidence for and against a version in roll-out.

#include "core/versions/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <numeric>
#include <utility>

namespace fireflyroute::core {

namespace {

// A step of the wall clock must not end a roll-out: the time before this leader first saw the order
// counts for at most this fraction of the allowed duration.
constexpr double kMaxInheritedFraction = 0.5;

// Failure rate of the other versions above which their answers don't show how a healthy version
// performs, so that answers of that time are no evidence.
constexpr double kMaxBaselineRate = 0.3;

// The failure rate of the other versions is that of about this long. Covers the time by which a
// slow answer is reported later than a fast one to a request of the same moment.
constexpr std::chrono::seconds kRecentHalfLife{2};

// Number of answers that a prior rate counts as.
constexpr double kPriorWeight = 20;

// Accepted failure rate of a version that has got all requests, relative to that of the others
// before: its endpoints have more work and have cached less.
constexpr double kExpansionAllowance = 1.75;

} // namespace

RolloutJudge::Counts &RolloutJudge::Counts::operator+=(const Counts &more)
{
    answers += more.answers;
    failures += more.failures;
    return *this;
}

void RolloutJudge::observe(const VmId &entry, const OutcomeReport &report, Instant /*now*/)
{
    std::map<ServiceName, std::uint32_t> outstanding;
    for (const OutcomeCount &count : report.counts) {
        const auto monitor = monitors_.find(count.service);
        if (monitor == monitors_.end())
            continue;
        const bool isTarget = count.version == targets_[count.service];
        RouteMonitor &route = monitor->second.routes[count.route];
        (isTarget ? route.newTarget : route.newOthers) +=
                {.answers = std::uint64_t{count.succeeded} + count.failed + count.slow,
                 .failures = std::uint64_t{count.failed} + count.slow};
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
    monitor.steppedAt = now;
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
        update(monitor, rollout.stage == RolloutStage::Expanding, now);
        updateSuspicion(monitor, now);
        const std::optional<RolloutStage> stage = nextStage(rollout, monitor, now);
        if (stage)
            commands.push_back(SetRolloutStage{service, rollout.number, *stage});
    }
    return commands;
}

// Adds the evidence of the answers since the last step.
void RolloutJudge::update(RolloutMonitor &monitor, bool isExpanding, Instant now) const
{
    const double halfLives = std::chrono::duration<double>(now - monitor.steppedAt)
                             / std::chrono::duration<double>(kRecentHalfLife);
    const double kept = std::exp2(-halfLives);
    monitor.steppedAt = now;
    const auto add = [this](Evidence &evidence, double change) {
        evidence.forFault = std::max(evidence.forFault + change, -policy_.evidenceThreshold);
        evidence.forHealth -= change;
    };
    for (auto &[name, route] : monitor.routes) {
        const Counts target = std::exchange(route.newTarget, {});
        const Counts others = std::exchange(route.newOthers, {});
        route.target += target;
        route.others += others;
        route.recentOtherAnswers =
                route.recentOtherAnswers * kept + static_cast<double>(others.answers);
        route.recentOtherFailures =
                route.recentOtherFailures * kept + static_cast<double>(others.failures);
        const double rate = (route.recentOtherFailures + failureRate(route.others) * kPriorWeight)
                            / (route.recentOtherAnswers + kPriorWeight);
        if (rate > kMaxBaselineRate)
            continue;
        const double change =
                evidenceAgainst(target, isExpanding ? rate * kExpansionAllowance : rate);
        add(route.evidence, change);
        add(monitor.evidence, change);
    }
}

// Starts the time in which a version with many failed or slow answers has to show its health, and
// ends it if it did.
void RolloutJudge::updateSuspicion(RolloutMonitor &monitor, Instant now) const
{
    const std::uint64_t suspects = targetOf(monitor).failures;
    if (!monitor.suspectedAt) {
        if (suspects - monitor.acceptedSuspects < policy_.maxSuspectAnswers)
            return;
        monitor.suspectedAt = now;
        monitor.evidenceWhenSuspected = monitor.evidence.forHealth;
    }
    const bool isCleared =
            monitor.evidence.forHealth - monitor.evidenceWhenSuspected >= policy_.healthThreshold
            && monitor.evidence.forFault <= 0;
    if (!isCleared)
        return;
    monitor.suspectedAt.reset();
    monitor.acceptedSuspects = suspects;
}

std::optional<RolloutStage> RolloutJudge::nextStage(const SiteRollout &rollout,
                                                    const RolloutMonitor &monitor,
                                                    Instant now) const
{
    const bool isSuspectTooLong =
            monitor.suspectedAt && now - *monitor.suspectedAt >= policy_.maxSuspicion;
    if (isFaulty(monitor) || isSuspectTooLong)
        return RolloutStage::RolledBack;
    const std::chrono::duration<double, std::milli> elapsed = now - monitor.startedAt;
    const double elapsedFraction = elapsed.count() / std::max<double>(rollout.durationMs, 1);
    if (rollout.stage == RolloutStage::Canary) {
        if (elapsedFraction < policy_.expandAfterFraction)
            return std::nullopt;
        if (isHealthy(monitor))
            return RolloutStage::Expanding;
        const bool isUndecided = elapsedFraction >= policy_.decideByFraction
                                 && targetOf(monitor).answers >= policy_.maxUndecidedAnswers;
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
    const bool isRouteFaulty =
            std::any_of(monitor.routes.begin(), monitor.routes.end(), [this](const auto &item) {
                return item.second.evidence.forFault >= policy_.evidenceThreshold;
            });
    return isRouteFaulty || monitor.evidence.forFault >= policy_.evidenceThreshold;
}

// Compares the sums of all the time: early answers of a few endpoints weigh less in them than in
// the evidence by periods.
bool RolloutJudge::isHealthy(const RolloutMonitor &monitor) const
{
    Counts target;
    Counts others;
    for (const auto &[name, route] : monitor.routes) {
        if (route.target.answers == 0)
            continue;
        if (route.target.answers >= policy_.minAnswers
            && evidenceAgainst(route.target, failureRate(route.others)) > 0)
            return false;
        target += route.target;
        others += route.others;
    }
    const bool isComparable = static_cast<double>(others.failures)
                              <= kMaxBaselineRate * static_cast<double>(others.answers);
    return isComparable && evidenceAgainst(target, failureRate(others)) <= -policy_.healthThreshold
           && monitor.evidence.forFault < policy_.healthThreshold;
}

// The failure rate of a healthy version, as the answers of others show it.
double RolloutJudge::failureRate(const Counts &others) const
{
    return (static_cast<double>(others.failures) + policy_.baselineFailureRate * kPriorWeight)
           / (static_cast<double>(others.answers) + kPriorWeight);
}

RolloutJudge::Counts RolloutJudge::targetOf(const RolloutMonitor &monitor)
{
    return std::accumulate(monitor.routes.begin(), monitor.routes.end(), Counts{},
                           [](Counts sum, const auto &item) { return sum += item.second.target; });
}

std::string RolloutJudge::describe(const ServiceName &service) const
{
    const auto found = monitors_.find(service);
    if (found == monitors_.end())
        return "none";
    const Evidence &all = found->second.evidence;
    std::string text =
            fmt::format("for a fault {:.1f}, for health {:.1f}; ", all.forFault, all.forHealth);
    for (const auto &[name, route] : found->second.routes) {
        if (route.target.answers == 0)
            continue;
        text += fmt::format("{} {}/{} failed or slow, others {}/{}, for a fault {:.1f}; ", name,
                            route.target.failures, route.target.answers, route.others.failures,
                            route.others.answers, route.evidence.forFault);
    }
    return text;
}

// Log likelihood ratio of the hypothesis "fails at faultyFailureRate, or at twice the rate of the
// other versions if that is higher" against "fails at the rate of the other versions".
double RolloutJudge::evidenceAgainst(const Counts &target, double otherRate) const
{
    const double healthyRate = std::clamp(otherRate, policy_.baselineFailureRate, 0.9);
    const double faultyRate = std::max(policy_.faultyFailureRate, std::min(healthyRate * 2, 0.95));
    const double failed = static_cast<double>(target.failures);
    const double succeeded = static_cast<double>(target.answers) - failed;
    return failed * std::log(faultyRate / healthyRate)
           + succeeded * std::log((1 - faultyRate) / (1 - healthyRate));
}

} // namespace fireflyroute::core
