// Detection of faulty versions. The guard runs on the leader of the control group, evaluates the
// ratings of the whole fleet and holds a roll-out, or a version whose quality has dropped, by a
// configuration change with a written reason.
//
//   for (const QualityEvidence &evidence : merger.apply(delta))
//       guard.observe(config, evidence);
//   for (const GuardDecision &decision : guard.step(config))
//       propose(toCommand(decision, config.revision, wallNow));
//   view = merger.view(guard.validated(config), guard.suspects());
//
// A new version is compared with the version that it replaces, task by task; any other version is
// compared with its own earlier ratings. Both use sequential tests, one per task and one over all
// tasks, to detect both a fault in a single task and a slight fault in all of them. Failed answers
// count as rating 0.
//
// The change remains in force until an operator resumes the version or the roll-out; then the guard
// resets its state for the version. The state is not durable: after a change of leader it is
// rebuilt from the totals that entries send, and until then a version is not validated.

#ifndef FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_GUARD_H
#define FIREFLYROUTE_CORE_VERSIONS_ROLLOUT_GUARD_H

#include "core/config/control_command.h"
#include "core/quality/quality_table.h"
#include "core/quality/sequential_test.h"

#include <map>
#include <unordered_set>
#include <vector>

namespace fireflyroute::core {

// The guard's verdict on a version. CommonCause: faulty, but most versions degraded together, so
// that holding one would not help. LastVersion: faulty, but no other version could serve.
enum class GuardVerdict { Healthy, Suspect, Faulty, CommonCause, LastVersion };

template<>
struct EnumNames<GuardVerdict>
{
    static constexpr std::array table{
            EnumName{GuardVerdict::Healthy, "good"},
            EnumName{GuardVerdict::Suspect, "suspect"},
            EnumName{GuardVerdict::Faulty, "bad"},
            EnumName{GuardVerdict::CommonCause, "common_cause"},
            EnumName{GuardVerdict::LastVersion, "last_version"},
    };
};

// Evidence thresholds are natural logarithms of odds.
struct GuardPolicy
{
    double fullRatingEvidence = -1.0; // odds of 1 to 2: weak evidence, all answers are rated
    double suspectEvidence = 3; // odds of 20 to 1
    double holdEvidence = 11.5; // odds of 100,000 to 1
    double withdrawEvidence = 41.4; // odds of 10^18 to 1; for a roll-out that is already held
    double validationEvidence = 4.6; // odds of 100 to 1
    std::uint64_t validationRatings = 50; // minimum number for validation
    double tolerance = 0.05; // allowed distance of the mean below the lower bound of its reference
    double validationMargin = 0.1; // a validated version is at most this far below its reference
    double minReferenceWeight = 10; // minimum weight of a reference that is used in comparisons
    std::uint64_t referenceBlock = 30; // ratings of a task that are added to its reference together
    EstimatePolicy reference{.memoryRatings = 1000, .boundDeviations = 1};
};

// A configuration change requested by the guard.
struct GuardDecision
{
    ModelVersion version;
    ConfigChange change;
};

// Wraps a decision for the log. The id depends only on the decision and the revision: proposing it
// twice has no further effect, and a decision rejected because of a concurrent change is proposed
// again with the new revision.
[[nodiscard]] ConfigCommand toCommand(const GuardDecision &decision, Revision baseRevision,
                                      WallTime at);

class RolloutGuard
{
public:
    explicit RolloutGuard(const GuardPolicy &policy)
        : policy_(policy)
    {}

    // Adds new ratings. Versions that are not in the configuration are ignored.
    void observe(const FleetConfig &config, const QualityEvidence &evidence);

    // Decisions that are due under this configuration; repeated until the configuration reflects
    // them.
    std::vector<GuardDecision> step(const FleetConfig &config);

    [[nodiscard]] GuardVerdict verdict(const FleetConfig &config,
                                       const ModelVersion &version) const;

    // Versions in roll-out that passed their test and may exceed the exposure limit.
    [[nodiscard]] std::unordered_set<ModelVersion> validated(const FleetConfig &config) const;

    // Versions whose answers should all be rated. The evidence required is weaker than for Suspect.
    [[nodiscard]] std::unordered_set<ModelVersion> suspects() const;

private:
    // The states of service that the guard distinguishes.
    enum class ServiceState { Steady, Rollout, Stopped };

    // State of one task. After the first block, ratings are added to the reference with a delay, so
    // that a drop in quality does not lower the reference before it is detected; the delay does not
    // depend on the rating.
    struct TaskMonitor
    {
        explicit TaskMonitor(const EstimatePolicy &policy)
            : reference(policy)
        {}

        void addDelayed(const RatingCounts &ratings, const GuardPolicy &policy);

        QualityEstimate reference;
        RatingCounts delayedBlock; // a complete block, or empty
        RatingCounts currentBlock; // the block being filled after `delayedBlock`
        SequentialTest belowTest{TestDirection::Below, DeviationStart::AnyRating};
    };

    struct VersionMonitor
    {
        ServiceState serviceState = ServiceState::Steady;
        std::map<TaskName, TaskMonitor> tasks;
        SequentialTest belowTest{TestDirection::Below, DeviationStart::AnyRating}; // over all tasks
        SequentialTest aboveTest{TestDirection::Above,
                                 DeviationStart::FirstRating}; // during a roll-out
        QualityEstimate recentQuality{EstimatePolicy{.memoryRatings = 20, .priorWeight = 1}};

        [[nodiscard]] double evidence() const;
    };

    struct Reference
    {
        QualityBounds bounds;
        ModelVersion version;
    };

    [[nodiscard]] Reference referenceOf(const FleetConfig &config, const QualityKey &key) const;
    void compare(VersionMonitor &monitor, TaskMonitor &task, const RatingCounts &ratings,
                 const QualityBounds &reference) const;
    [[nodiscard]] bool isCommonCause(const FleetConfig &config) const;
    [[nodiscard]] bool isLastVersion(const FleetConfig &config, const ModelVersion &version) const;
    [[nodiscard]] std::string reasonFor(const FleetConfig &config, const ModelVersion &version,
                                        const VersionMonitor &monitor) const;
    [[nodiscard]] static ServiceState serviceStateOf(const FleetConfig &config,
                                                     const ModelVersion &version);
    // Resets the state when a roll-out starts or when an operator resumes the version.
    static void updateServiceState(VersionMonitor &monitor, const FleetConfig &config,
                                   const ModelVersion &version);

    GuardPolicy policy_;
    std::map<ModelVersion, VersionMonitor> monitors_; // only versions in the configuration
};

} // namespace fireflyroute::core

#endif
