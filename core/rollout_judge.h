// Decides on roll-outs from the outcomes that entries report: rolls a bad version back on little
// evidence, and moves a good one on in time. Runs on the leader; learns anew after an election.
//
//   judge.observe(report, now);
//   for (const SetRolloutStage &move : judge.step(state.data(), now, wallNow))
//       propose(move);
//
// A version is bad when, on one route or over all, its failed or slow answers are far more than the
// other versions' (a likelihood ratio of two rates, at every look).

#ifndef FIREFLYROUTE_CORE_ROLLOUT_JUDGE_H
#define FIREFLYROUTE_CORE_ROLLOUT_JUDGE_H

#include "core/site_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

struct RolloutPolicy
{
    double expandAfterFraction = 0.55; // part of the allowed time spent as a canary
    double completeAfterFraction = 0.72; // earliest part at which it completes
    double completeByFraction = 0.88; // completes even if other versions still have work
    std::uint32_t minAnswers = 5; // of the target, before it expands
    double baselineFailureRate = 0.03; // failures that a sound version may have on its own
    double faultyFailureRate = 0.25; // failures of a version that is certainly bad
    double evidenceThreshold = 4.6; // natural logarithm of odds, 100 to 1
};

class RolloutJudge
{
public:
    explicit RolloutJudge(const RolloutPolicy &policy = {})
        : policy_(policy)
    {}

    // Takes in what one entry counted.
    void observe(const VmId &entry, const OutcomeReport &report, Instant now);

    // Moves that are due. Repeated until the state shows them.
    std::vector<SetRolloutStage> step(const SiteData &data, Instant now, WallTime wallNow);

    // The counts that decide on a service's roll-out, for logs.
    [[nodiscard]] std::string describe(const ServiceName &service) const;

private:
    struct Counts
    {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
    };

    struct RolloutMonitor
    {
        std::uint64_t number = 0; // of the order
        Instant startedAt; // when this leader first saw it, less what had passed before
        std::map<std::string, Counts> target; // by route
        std::map<std::string, Counts> others;
        std::map<VmId, std::uint32_t> othersOutstanding; // by entry
        std::optional<Instant> expandedAt;
    };

    [[nodiscard]] bool isFaulty(const RolloutMonitor &monitor) const;
    [[nodiscard]] double evidenceAgainst(const Counts &target, const Counts &others) const;
    [[nodiscard]] std::optional<RolloutStage>
    nextStage(const Rollout &rollout, const RolloutMonitor &monitor, Instant now) const;
    RolloutMonitor &monitorOf(const Rollout &rollout, Instant now, WallTime wallNow);

    RolloutPolicy policy_;
    std::map<ServiceName, RolloutMonitor> monitors_;
    std::map<ServiceName, VersionName> targets_; // of the roll-outs under way
};

} // namespace fireflyroute::core

#endif
