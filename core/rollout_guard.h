// Containment of bad versions. The guard runs on the leader of the control group, reads the ratings
// of the whole fleet and holds a roll-out, or a version that turned bad, by a configuration change
// with a written reason.
//
//   for (const QualityEvidence &evidence : merger.apply(delta))
//       guard.observe(config, evidence);
//   for (const GuardDecision &decision : guard.step(config))
//       propose(toCommand(decision, config.revision, wallNow));
//   view = merger.view(guard.validated(config), guard.suspects());
//
// A new version is compared with the one that it replaces, task by task; any other version with its
// own past. Both use sequential tests, once per task and once over all tasks, so that neither a
// fault of one task nor a slight one of all is missed. Answers that failed count as rating 0.
//
// The change stays until an operator resumes the version or the roll-out; then the guard starts
// afresh for it. Its state is not durable: after a change of leader it learns anew from the totals
// that entries send, and a version counts as unproven meanwhile.

#ifndef FIREFLYROUTE_CORE_ROLLOUT_GUARD_H
#define FIREFLYROUTE_CORE_ROLLOUT_GUARD_H

#include "core/control_command.h"
#include "core/quality_table.h"
#include "core/sequential_test.h"

#include <map>
#include <unordered_set>
#include <vector>

namespace fireflyroute::core {

// What the guard found out about a version. CommonCause: bad, but most versions turned bad
// together, so that holding one would not help. LastVersion: bad, but no other version is left to
// serve.
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

// Thresholds of evidence are natural logarithms of odds.
struct GuardPolicy
{
    double fullRatingEvidence = -1.0; // 1 to 2, a first hint: rate every answer
    double suspectEvidence = 3; // 20 to 1
    double holdEvidence = 11.5; // 100,000 to 1
    double withdrawEvidence = 41.4; // of a roll-out that is held already
    double validationEvidence = 4.6; // 100 to 1
    std::uint64_t validationRatings = 50; // at least, before a version is proven
    double tolerance = 0.05; // by how much the mean may lie below its reference
    double validationMargin = 0.1; // a proven version lies at most this far below its reference
    double minReferenceWeight = 10; // of a task, before it is compared
    std::uint64_t referenceBlock = 30; // ratings of a task that enter its reference together
    EstimatePolicy reference{.memoryRatings = 1000, .boundDeviations = 1};
};

// A configuration change that the guard asks for.
struct GuardDecision
{
    ModelVersion version;
    ConfigChange change;
};

// Wraps a decision for the log. The id depends only on decision and revision, so that proposing it
// twice changes nothing, and one that lost to another change is proposed anew.
[[nodiscard]] ConfigCommand toCommand(const GuardDecision &decision, Revision baseRevision,
                                      WallTime at);

class RolloutGuard
{
public:
    explicit RolloutGuard(const GuardPolicy &policy)
        : policy_(policy)
    {}

    // Takes in new ratings. Versions that the configuration does not know are ignored.
    void observe(const FleetConfig &config, const QualityEvidence &evidence);

    // Decisions that are due under this configuration; repeated until the configuration shows them.
    std::vector<GuardDecision> step(const FleetConfig &config);

    [[nodiscard]] GuardVerdict verdict(const FleetConfig &config,
                                       const ModelVersion &version) const;

    // Versions in roll-out that passed their test and may exceed the exposure bound.
    [[nodiscard]] std::unordered_set<ModelVersion> validated(const FleetConfig &config) const;

    // Versions whose answers are all to be rated, on a hint that is weaker than Suspect.
    [[nodiscard]] std::unordered_set<ModelVersion> suspects() const;

private:
    // How a version is in service, as far as the guard treats it differently.
    enum class ServiceState { Steady, Rollout, Stopped };

    // What is known of one task. Ratings enter the reference late, so that those of a drop don't
    // pull it down before the drop is found; the delay is the same for good and bad ones.
    struct TaskMonitor
    {
        explicit TaskMonitor(const EstimatePolicy &policy)
            : reference(policy)
        {}

        void addDelayed(const RatingCounts &ratings, const GuardPolicy &policy);

        QualityEstimate reference;
        RatingCounts delayedBlock; // a whole block, or empty
        RatingCounts currentBlock; // the block that fills up after `waiting`
        SequentialTest belowTest{TestDirection::Below, TestStart::Anywhere};
    };

    struct VersionMonitor
    {
        ServiceState serviceState = ServiceState::Steady;
        std::map<TaskName, TaskMonitor> tasks;
        SequentialTest belowTest{TestDirection::Below, TestStart::Anywhere}; // over all tasks
        SequentialTest aboveTest{TestDirection::Above, TestStart::First}; // during a roll-out
        QualityEstimate recent{EstimatePolicy{.memoryRatings = 20, .priorWeight = 1}};

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
    // Starts afresh when a roll-out begins or when an operator resumed the version.
    static void updateServiceState(VersionMonitor &monitor, const FleetConfig &config,
                                   const ModelVersion &version);

    GuardPolicy policy_;
    std::map<ModelVersion, VersionMonitor> monitors_; // only versions of the configuration
};

} // namespace fireflyroute::core

#endif
