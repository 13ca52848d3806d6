// Decides on roll-outs from the outcomes that entries report: rolls a bad version back on little
// evidence, and moves a good one on in time. Runs on the leader; learns anew after an election.
//
//   judge.observe(report, now);
//   for (const MoveRollout &move : judge.step(state.data(), now, wallNow))
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
    double expandAfter = 0.55; // part of the allowed time spent as a canary
    double completeAfter = 0.72; // earliest part at which it completes
    double completeBy = 0.88; // completes even if other versions still have work
    std::uint32_t minAnswers = 5; // of the target, before it expands
    double goodBadRate = 0.03; // failures that a sound version may have on its own
    double badRate = 0.25; // failures of a version that is certainly bad
    double evidence = 4.6; // natural logarithm of odds, 100 to 1
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
    std::vector<MoveRollout> step(const SiteData &data, Instant now, WallTime wallNow);

    // The counts that decide on a service's roll-out, for logs.
    [[nodiscard]] std::string describe(const ServiceName &service) const;

private:
    struct Counts
    {
        std::uint64_t answers = 0;
        std::uint64_t bad = 0;
    };

    struct Watch
    {
        std::uint64_t number = 0; // of the order
        Instant startedAt; // when this leader first saw it, less what had passed before
        std::map<std::string, Counts> target; // by route
        std::map<std::string, Counts> others;
        std::map<VmId, std::uint32_t> othersOutstanding; // by entry
        std::optional<Instant> expandedAt;
    };

    [[nodiscard]] bool isBad(const Watch &watch) const;
    [[nodiscard]] double evidenceAgainst(const Counts &target, const Counts &others) const;
    [[nodiscard]] std::optional<RolloutStage> next(const Rollout &rollout, const Watch &watch,
                                                   Instant now) const;
    Watch &watchOf(const Rollout &rollout, Instant now, WallTime wallNow);

    RolloutPolicy policy_;
    std::map<ServiceName, Watch> watches_;
    std::map<ServiceName, VersionName> targets_; // of the roll-outs under way
};

} // namespace fireflyroute::core

#endif
