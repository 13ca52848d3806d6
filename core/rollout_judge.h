// Decides on roll-outs from the outcomes that entries report: rolls back a faulty version on little
// evidence and advances a healthy one in time. Runs on the leader; the state is rebuilt after an
// election.
//
//   judge.observe(entry, report, now);
//   for (const SetRolloutStage &command : judge.step(state.data(), now, wallNow))
//       propose(command);
//
// A version is faulty if, on one route or over all routes, its share of failed or slow answers is
// far higher than that of the other versions. The test is a likelihood ratio of two rates,
// evaluated at every step. A version that is neither faulty nor healthy by that ratio is not
// expanded, and is rolled back in the end: a faulty version costs callers more than a sound one
// that is late.

#ifndef FIREFLYROUTE_CORE_ROLLOUT_JUDGE_H
#define FIREFLYROUTE_CORE_ROLLOUT_JUDGE_H

#include "core/site_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

struct RolloutPolicy
{
    double expandAfterFraction = 0.55; // fraction of the allowed duration spent as a canary
    double decideByFraction = 0.65; // a version not shown to be healthy by then is rolled back
    std::uint32_t maxUndecidedAnswers = 40; // with fewer answers it stays a canary instead
    double completeAfterFraction = 0.72; // earliest fraction at which the roll-out completes
    double completeByFraction = 0.88; // completes even if other versions have requests
    std::uint32_t minAnswers = 5; // minimum answers of the target on a route to judge that route
    double baselineFailureRate = 0.03; // failure rate expected of a healthy version
    double faultyFailureRate = 0.25; // failure rate of a clearly faulty version
    double evidenceThreshold = 4.6; // natural logarithm of odds, 100 to 1
    double healthThreshold = 2.3; // to expand; natural logarithm of odds, 10 to 1
};

class RolloutJudge
{
public:
    explicit RolloutJudge(const RolloutPolicy &policy = {})
        : policy_(policy)
    {}

    // Adds the counts that one entry reported.
    void observe(const VmId &entry, const OutcomeReport &report, Instant now);

    // Stage changes that are due; repeated until the state reflects them.
    std::vector<SetRolloutStage> step(const SiteData &data, Instant now, WallTime wallNow);

    // The counts behind the decision on a service's roll-out, for logs.
    [[nodiscard]] std::string describe(const ServiceName &service) const;

private:
    struct Counts
    {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
    };

    struct RolloutMonitor
    {
        std::uint64_t number = 0; // SiteRollout::number of the order
        // When this leader first saw the order, minus the time that had passed since the order, at
        // most half of the allowed duration.
        Instant startedAt;
        std::map<std::string, Counts> target; // by route
        std::map<std::string, Counts> others; // of all other versions, by route
        std::map<VmId, std::uint32_t> othersOutstanding; // of all other versions, by entry
        std::optional<Instant> expandedAt;
    };

    [[nodiscard]] bool isFaulty(const RolloutMonitor &monitor) const;
    [[nodiscard]] bool isHealthy(const RolloutMonitor &monitor) const;
    [[nodiscard]] double evidenceAgainst(const Counts &target, const Counts &others) const;
    [[nodiscard]] double evidenceAgainst(const RolloutMonitor &monitor) const;
    [[nodiscard]] static std::uint64_t answersOf(const RolloutMonitor &monitor);
    [[nodiscard]] static Counts othersOn(const RolloutMonitor &monitor, const std::string &route);
    [[nodiscard]] std::optional<RolloutStage>
    nextStage(const SiteRollout &rollout, const RolloutMonitor &monitor, Instant now) const;
    RolloutMonitor &monitorOf(const SiteRollout &rollout, Instant now, WallTime wallNow);

    RolloutPolicy policy_;
    std::map<ServiceName, RolloutMonitor> monitors_;
    std::map<ServiceName, VersionName> targets_; // of the active roll-outs
};

} // namespace fireflyroute::core

#endif
