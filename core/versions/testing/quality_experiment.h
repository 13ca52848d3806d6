// Simulated fleet for experiments with version choice: versions with a true quality and a cost,
// noisy ratings, entries that choose versions, and a leader that merges ratings and guards
// versions. Time is a counter. All random numbers come from one seed.
//
//   FakeFleet fleet(seed);
//   fleet.run(20000, TrafficKind::Auto);
//   fleet.totals().cost

#ifndef FIREFLYROUTE_CORE_VERSIONS_TESTING_QUALITY_EXPERIMENT_H
#define FIREFLYROUTE_CORE_VERSIONS_TESTING_QUALITY_EXPERIMENT_H

#include "core/quality/quality_table.h"
#include "core/quality/rating_policy.h"
#include "core/versions/cascade.h"
#include "core/versions/exposure.h"
#include "core/versions/rollout_guard.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflyroute::core::testing {

// A task with its share of the traffic and the true mean answer quality of each model.
struct FakeTask
{
    TaskName name;
    double share = 0;
    std::map<ModelName, double> quality;
};

// Quality and cost of the delivered answers.
struct Totals
{
    std::map<TaskName, double> qualitySum;
    std::map<TaskName, std::uint64_t> answers;
    MicroCost cost = 0;
    std::uint64_t ratings = 0;

    [[nodiscard]] double quality(const TaskName &task) const
    {
        return qualitySum.at(task) / static_cast<double>(answers.at(task));
    }
};

inline const ModelName kSmall("small");
inline const ModelName kMedium("medium");
inline const ModelName kLarge("large");
constexpr double kQualityTarget = 0.85;

inline const std::vector<FakeTask> &fakeTasks()
{
    static const std::vector<FakeTask> tasks{
            {TaskName("tag"), 0.5, {{kSmall, 0.92}, {kMedium, 0.93}, {kLarge, 0.94}}},
            {TaskName("summarise"), 0.3, {{kSmall, 0.72}, {kMedium, 0.91}, {kLarge, 0.93}}},
            {TaskName("draft"), 0.2, {{kSmall, 0.55}, {kMedium, 0.75}, {kLarge, 0.91}}},
    };
    return tasks;
}

inline FleetConfig fakeConfig()
{
    FleetConfig config;
    config.defaults.qualityTarget = kQualityTarget;
    const auto model = [](const ModelName &name, MicroCost cost, double expected) {
        ModelSpec spec{.name = name, .stable = VersionName("1")};
        for (const char *version : {"1", "2"}) {
            spec.versions.push_back(VersionSpec{.name = VersionName(version),
                                                .outputCostPerKiloToken = cost * 1000,
                                                .expectedQuality = expected});
        }
        return spec;
    };
    config.models = {model(kSmall, 1000, 0.75), model(kMedium, 4000, 0.8),
                     model(kLarge, 10000, 0.9)};
    ClientAccount account{.id = ClientAccountId("duka")};
    account.allowed = {ModelPermission{kSmall}, ModelPermission{kMedium}, ModelPermission{kLarge}};
    config.accounts = {account};
    return config;
}

// Model requested by the traffic: any model, or the small one by name.
enum class TrafficKind { Auto, SmallModel };

class FakeFleet
{
public:
    static constexpr std::size_t kEntries = 8;
    // Number of requests between two exchanges of ratings, configuration and views.
    static constexpr std::uint64_t kRequestsPerExchange = 10;

    explicit FakeFleet(std::uint64_t seed)
        : rng_(seed)
    {
        for (std::size_t index = 0; index < kEntries; ++index)
            entries_.emplace_back(index, rng_(), config_.defaults.ratingSamplePermille);
        view_ = merger_.view({}, {});
    }

    FleetConfig &config() { return config_; }
    [[nodiscard]] const Totals &totals() const { return totals_; }
    [[nodiscard]] std::uint64_t answersOf(const ModelVersion &version) const
    {
        const auto found = answers_.find(version);
        return found == answers_.end() ? 0 : found->second;
    }
    // Shifts the true quality of a version in all tasks.
    void shiftQuality(const ModelVersion &version, double delta) { qualityShift_[version] = delta; }

    void startRollout(const ModelName &name, const std::vector<std::uint32_t> &stages)
    {
        for (ModelSpec &model : config_.models) {
            if (model.name == name) {
                model.rollout = Rollout{
                        .from = VersionName("1"), .to = VersionName("2"), .stagesPermille = stages};
            }
        }
        for (Entry &entry : entries_)
            entry.gate.watch(ModelVersion{name, VersionName("2")});
    }

    void finishRollout(const ModelName &name)
    {
        for (ModelSpec &model : config_.models) {
            if (model.name == name) {
                model.rollout->phase = RolloutPhase::Done;
                model.stable = model.rollout->to;
            }
        }
    }

    [[nodiscard]] bool isHeld(const ModelVersion &version) const
    {
        const ModelSpec *model = findModel(config_, version.model);
        const bool rolloutHeld = model->rollout && model->rollout->phase == RolloutPhase::Held;
        return rolloutHeld || findVersion(*model, version.version)->state != VersionState::Serving;
    }

    [[nodiscard]] std::string lastHoldReason() const { return lastHoldReason_; }

    void run(std::uint64_t requests, TrafficKind kind)
    {
        for (std::uint64_t count = 0; count < requests; ++count) {
            serve(kind);
            if (++served_ % kRequestsPerExchange == 0)
                exchange();
        }
    }

    // Generates one answer without the router, for the baselines.
    double answer(const FakeTask &task, const ModelVersion &version)
    {
        const auto shifted = qualityShift_.find(version);
        const double mean = task.quality.at(version.model)
                            + (shifted == qualityShift_.end() ? 0.0 : shifted->second);
        return std::clamp(std::normal_distribution<double>(mean, 0.08)(rng_), 0.0, 1.0);
    }

    double rate(double quality)
    {
        ++totals_.ratings;
        return std::clamp(std::normal_distribution<double>(quality, 0.05)(rng_), 0.0, 1.0);
    }

    const FakeTask &sampleTask()
    {
        double sample = std::uniform_real_distribution<double>(0, 1)(rng_);
        for (const FakeTask &task : fakeTasks()) {
            sample -= task.share;
            if (sample < 0)
                return task;
        }
        return fakeTasks().back();
    }

    void deliver(const TaskName &task, double quality)
    {
        totals_.qualitySum[task] += quality;
        ++totals_.answers[task];
    }

    void charge(const ModelName &model)
    {
        totals_.cost += findModel(config_, model)->versions[0].outputCostPerKiloToken / 10;
    }

private:
    struct Entry
    {
        Entry(std::size_t index, std::uint64_t seed, std::uint32_t samplePermille)
            : recorder(VmId("vm" + std::to_string(index)), Incarnation(1))
            , sampler(seed, samplePermille)
        {}

        QualityRecorder recorder;
        RatingSampler<std::mt19937_64> sampler;
        ExposureGate gate;
        EscalationBudget budget{100, 20};
        std::uint64_t acknowledged = 0;
    };

    struct AllReady
    {
        [[nodiscard]] bool isReady(const ModelVersion &) const { return true; }
    };

    // Answer of one cascade step, and its rating if it was selected for rating.
    struct StepAnswer
    {
        double quality = 0;
        std::optional<double> rating;
    };

    StepAnswer runStep(Entry &entry, const FakeTask &task, const PlanStep &step)
    {
        charge(step.version.model);
        ++answers_[step.version];
        StepAnswer stepAnswer{.quality = answer(task, step.version)};
        const bool alwaysRate = isUncertain(step) || view_->isSuspect(step.version);
        if (!entry.sampler.shouldRate(step.version, alwaysRate))
            return stepAnswer;
        stepAnswer.rating = rate(stepAnswer.quality);
        entry.recorder.record(QualityKey{task.name, step.version}, *stepAnswer.rating);
        entry.sampler.observe(step.version, *stepAnswer.rating, step.quality.mean);
        return stepAnswer;
    }

    void serve(TrafficKind kind)
    {
        Entry &entry = entries_[std::uniform_int_distribution<std::size_t>(0, kEntries - 1)(rng_)];
        const FakeTask &task = sampleTask();
        ChoiceRequest request{.account = config_.accounts[0],
                              .task = task.name,
                              .request = RequestId("r" + std::to_string(served_)),
                              .outputTokens = 100,
                              .mayEscalate = true};
        if (kind == TrafficKind::SmallModel)
            request.requested.model = kSmall;
        const ChoiceConditions<QualityView, AllReady, ExposureGate> conditions{*view_, AllReady{},
                                                                               entry.gate};
        const CascadePlan plan = chooseVersions(config_, request, conditions, WallTime{}).value();
        entry.gate.record(plan.steps[0].version);
        runCascade(entry, task, plan);
    }

    void runCascade(Entry &entry, const FakeTask &task, const CascadePlan &plan)
    {
        const Instant now{std::chrono::milliseconds(served_)};
        std::map<std::size_t, StepAnswer> stepAnswers;
        stepAnswers[0] = runStep(entry, task, plan.steps[0]);
        Cascade cascade(plan, stepAnswers[0].rating.has_value(), CascadePolicy{});
        cascade.step(CascadeStarted{}, now, entry.budget);
        CascadeAction action = cascade.step(CascadeAnswered{}, now, entry.budget);
        while (action.kind != CascadeActionKind::Deliver) {
            if (action.kind == CascadeActionKind::Run) {
                stepAnswers[action.step] = runStep(entry, task, plan.steps[action.step]);
                action = cascade.step(CascadeAnswered{}, now, entry.budget);
                continue;
            }
            const std::optional<double> rating = stepAnswers[action.step].rating;
            action = rating ? cascade.step(CascadeRated{*rating}, now, entry.budget)
                            : cascade.step(CascadeUnrated{}, now, entry.budget);
        }
        deliver(task.name, stepAnswers[action.step].quality);
    }

    // Delivers the ratings to the leader, applies its decisions to the configuration, and publishes
    // the new view to the entries.
    void exchange()
    {
        for (Entry &entry : entries_) {
            const QualityDelta delta = entry.recorder.deltaSince(entry.acknowledged);
            entry.acknowledged = delta.sequence;
            for (const QualityEvidence &evidence : merger_.apply(delta))
                guard_.observe(config_, evidence);
        }
        const std::vector<GuardDecision> decisions = guard_.step(config_);
        view_ = merger_.view(guard_.validated(config_), guard_.suspects());
        // A decision takes effect one exchange later.
        for (const GuardDecision &decision : pending_)
            apply(decision);
        pending_ = decisions;
    }

    void apply(const GuardDecision &decision)
    {
        for (ModelSpec &model : config_.models) {
            if (model.name != decision.version.model)
                continue;
            if (const auto *change = std::get_if<StepRollout>(&decision.change)) {
                model.rollout->phase = RolloutPhase::Held;
                lastHoldReason_ = change->reason;
            }
            if (const auto *change = std::get_if<HoldVersion>(&decision.change)) {
                for (VersionSpec &spec : model.versions) {
                    if (spec.name == change->target.version)
                        spec.state = VersionState::Held;
                }
                lastHoldReason_ = change->reason;
            }
        }
    }

    std::mt19937_64 rng_;
    FleetConfig config_ = fakeConfig();
    std::vector<Entry> entries_;
    QualityMerger merger_{EstimatePolicy{}};
    RolloutGuard guard_{GuardPolicy{}};
    std::shared_ptr<const QualityView> view_;
    std::vector<GuardDecision> pending_;
    std::map<ModelVersion, double> qualityShift_;
    std::map<ModelVersion, std::uint64_t> answers_;
    std::uint64_t served_ = 0;
    Totals totals_;
    std::string lastHoldReason_;
};

} // namespace fireflyroute::core::testing

#endif
