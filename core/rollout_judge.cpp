// Evidence for and against a version that is rolled out.

#include "core/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

// A step of the calendar clock must not end a roll-out: time before this leader saw the order
// counts for at most this part of the allowed time.
constexpr double kMaxInheritedPart = 0.5;

} // namespace

void RolloutJudge::observe(const VmId &entry, const OutcomeReport &report, Instant /*now*/)
{
    std::map<ServiceName, std::uint32_t> outstanding;
    for (const OutcomeCount &count : report.counts) {
        const auto watch = watches_.find(count.service);
        if (watch == watches_.end())
            continue;
        const bool isTarget = count.version == targets_[count.service];
        Counts &counts = (isTarget ? watch->second.target : watch->second.others)[count.route];
        counts.answers += count.good + count.bad + count.slow;
        counts.bad += count.bad + count.slow;
        outstanding[count.service] += isTarget ? 0 : count.outstanding;
    }
    for (auto &[service, watch] : watches_)
        watch.othersOutstanding[entry] = outstanding[service];
}

RolloutJudge::Watch &RolloutJudge::watchOf(const Rollout &rollout, Instant now, WallTime wallNow)
{
    Watch &watch = watches_[rollout.service];
    if (watch.number == rollout.number)
        return watch;
    watch = Watch{};
    watch.number = rollout.number;
    targets_[rollout.service] = rollout.target;
    const std::int64_t passed = wallNow.time_since_epoch().count() - rollout.orderedAtMs;
    const auto most = static_cast<std::int64_t>(rollout.durationMs * kMaxInheritedPart);
    watch.startedAt = now - std::chrono::milliseconds(std::clamp<std::int64_t>(passed, 0, most));
    return watch;
}

std::vector<MoveRollout> RolloutJudge::step(const SiteData &data, Instant now, WallTime wallNow)
{
    std::vector<MoveRollout> moves;
    for (const auto &[service, rollout] : data.rollouts) {
        if (rollout.isFinal()) {
            watches_.erase(service);
            continue;
        }
        Watch &watch = watchOf(rollout, now, wallNow);
        if (rollout.stage == RolloutStage::Expanding && !watch.expandedAt)
            watch.expandedAt = now;
        const std::optional<RolloutStage> stage = next(rollout, watch, now);
        if (stage)
            moves.push_back(MoveRollout{service, rollout.number, *stage});
    }
    return moves;
}

std::optional<RolloutStage> RolloutJudge::next(const Rollout &rollout, const Watch &watch,
                                               Instant now) const
{
    if (isBad(watch))
        return RolloutStage::RolledBack;
    const std::chrono::duration<double, std::milli> passed = now - watch.startedAt;
    const double part = passed.count() / std::max<double>(rollout.durationMs, 1);
    if (rollout.stage == RolloutStage::Canary) {
        std::uint64_t answers = 0;
        for (const auto &[route, counts] : watch.target)
            answers += counts.answers;
        if (part >= policy_.expandAfter && answers >= policy_.minAnswers)
            return RolloutStage::Expanding;
        return std::nullopt;
    }
    const bool isIdle = std::all_of(watch.othersOutstanding.begin(), watch.othersOutstanding.end(),
                                    [](const auto &one) { return one.second == 0; });
    const bool mayComplete = part >= policy_.completeAfter && isIdle;
    if (mayComplete || part >= policy_.completeBy)
        return RolloutStage::Completed;
    return std::nullopt;
}

bool RolloutJudge::isBad(const Watch &watch) const
{
    Counts allTarget;
    Counts allOthers;
    for (const auto &[route, counts] : watch.target) {
        const auto others = watch.others.find(route);
        const Counts reference = others == watch.others.end() ? Counts{} : others->second;
        if (evidenceAgainst(counts, reference) >= policy_.evidence)
            return true;
        allTarget.answers += counts.answers;
        allTarget.bad += counts.bad;
        allOthers.answers += reference.answers;
        allOthers.bad += reference.bad;
    }
    return evidenceAgainst(allTarget, allOthers) >= policy_.evidence;
}

std::string RolloutJudge::describe(const ServiceName &service) const
{
    const auto found = watches_.find(service);
    if (found == watches_.end())
        return "none";
    std::string text;
    for (const auto &[route, counts] : found->second.target) {
        const auto others = found->second.others.find(route);
        const Counts reference = others == found->second.others.end() ? Counts{} : others->second;
        text += fmt::format("{} {}/{} bad, others {}/{}; ", route, counts.bad, counts.answers,
                            reference.bad, reference.answers);
    }
    return text;
}

// Log likelihood ratio of "fails at badRate" against "fails as often as the others do".
double RolloutJudge::evidenceAgainst(const Counts &target, const Counts &others) const
{
    const double prior = policy_.goodBadRate;
    constexpr double kPriorAnswers = 20;
    const double sound = (static_cast<double>(others.bad) + prior * kPriorAnswers)
                         / (static_cast<double>(others.answers) + kPriorAnswers);
    const double good = std::clamp(sound, prior, 0.9);
    const double bad = std::max(policy_.badRate, std::min(good * 2, 0.95));
    const double failed = static_cast<double>(target.bad);
    const double fine = static_cast<double>(target.answers) - failed;
    return failed * std::log(bad / good) + fine * std::log((1 - bad) / (1 - good));
}

} // namespace fireflyroute::core
