// Decides on roll-outs from the outcomes that entries report: rolls back a faulty version on little
// evidence and advances a healthy one in time. Runs on the leader; the state is rebuilt after an
// election.
//
//   judge.observe(entry, report, now);
//   for (const SetRolloutStage &command : judge.step(state.data(), now, wallNow))
//       propose(command);
//
// A version is faulty if, on one route or over all routes, its share of failed or slow answers is
// far higher than that of the other versions at the same time. The test is a likelihood ratio of
// two rates; each period is compared with the other versions' answers in that period, so that
// trouble that they meet later does not excuse the version. A version that is neither faulty nor
// healthy by that ratio is not expanded. Its failed and slow answers are limited all the same: some
// time after maxSuspectAnswers of them, a version without evidence for its health is rolled back,
// since a faulty version costs callers more than a sound one that is late.

#ifndef FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_JUDGE_H
#define FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_JUDGE_H

#include "core/site/site_messages.h"

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
    // Failed or slow answers after which a version has maxSuspicion to show that it is healthy.
    std::uint32_t maxSuspectAnswers = 20;
    Duration maxSuspicion = std::chrono::milliseconds(1500);
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

    // The counts and the evidence behind the decision on a service's roll-out, for logs.
    [[nodiscard]] std::string describe(const ServiceName &service) const;

private:
    struct Counts
    {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0; // failed or slow answers

        Counts &operator+=(const Counts &more);
    };

    // Natural logarithms of odds, as sums over the periods in which the other versions' answers
    // show how a healthy version performs.
    struct Evidence
    {
        // At least -evidenceThreshold, so that a version that turns faulty late is detected after
        // few answers.
        double forFault = 0;
        double forHealth = 0; // without a limit
    };

    // Counts since the last step, and decayed or total ones of the steps before.
    struct RouteMonitor
    {
        Counts newTarget;
        Counts newOthers; // of all other versions
        Counts target; // total
        Counts others; // total
        double recentOtherAnswers = 0; // decayed, see kRecentHalfLife
        double recentOtherFailures = 0;
        Evidence evidence;
    };

    struct RolloutMonitor
    {
        std::uint64_t number = 0; // SiteRollout::number of the order
        // When this leader first saw the order, minus the time that had passed since the order, at
        // most half of the allowed duration.
        Instant startedAt;
        Instant steppedAt;
        std::map<std::string, RouteMonitor> routes;
        Evidence evidence; // over all routes
        std::map<VmId, std::uint32_t> othersOutstanding; // of all other versions, by entry
        std::uint64_t acceptedSuspects = 0; // failed or slow answers when it was last cleared
        std::optional<Instant> suspectedAt; // when maxSuspectAnswers was exceeded
        double evidenceWhenSuspected = 0; // Evidence::forHealth at suspectedAt
    };

    void update(RolloutMonitor &monitor, bool isExpanding, Instant now) const;
    void updateSuspicion(RolloutMonitor &monitor, Instant now) const;
    [[nodiscard]] bool isFaulty(const RolloutMonitor &monitor) const;
    [[nodiscard]] bool isHealthy(const RolloutMonitor &monitor) const;
    [[nodiscard]] double failureRate(const Counts &others) const;
    [[nodiscard]] double evidenceAgainst(const Counts &target, double otherRate) const;
    [[nodiscard]] static Counts targetOf(const RolloutMonitor &monitor);
    [[nodiscard]] std::optional<RolloutStage>
    nextStage(const SiteRollout &rollout, const RolloutMonitor &monitor, Instant now) const;
    RolloutMonitor &monitorOf(const SiteRollout &rollout, Instant now, WallTime wallNow);

    RolloutPolicy policy_;
    std::map<ServiceName, RolloutMonitor> monitors_;
    std::map<ServiceName, VersionName> targets_; // of the active roll-outs
};

} // namespace fireflyroute::core

#endif
