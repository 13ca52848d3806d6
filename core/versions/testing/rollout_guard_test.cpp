// Decisions of the guard on roll-outs and degraded versions, and cases in which it must not hold
// any.

#define BOOST_TEST_MODULE rollout_guard
#include "core/versions/rollout_guard.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

const ModelVersion kOld{ModelName("m"), VersionName("1")};
const ModelVersion kNew{ModelName("m"), VersionName("2")};
const ModelVersion kOther{ModelName("n"), VersionName("1")};
const TaskName kTag("tag");
const TaskName kDraft("draft");

struct Fixture
{
    Fixture()
    {
        ModelSpec first{.name = kOld.model, .stable = kOld.version};
        first.versions = {VersionSpec{.name = kOld.version, .expectedQuality = 0.9},
                          VersionSpec{.name = kNew.version, .expectedQuality = 0.9}};
        ModelSpec second{.name = kOther.model, .stable = kOther.version};
        second.versions = {VersionSpec{.name = kOther.version, .expectedQuality = 0.9}};
        config.models = {first, second};
        config.revision = Revision(7);
    }

    void startRollout()
    {
        config.models[0].rollout =
                Rollout{.from = kOld.version, .to = kNew.version, .stagesPermille = {100}};
    }

    void addRatings(const ModelVersion &version, const TaskName &task, double rating, int times)
    {
        for (int time = 0; time < times; ++time) {
            RatingCounts ratings;
            ratings.add(rating);
            guard.observe(config, QualityEvidence{QualityKey{task, version}, ratings});
        }
    }

    FleetConfig config;
    RolloutGuard guard{GuardPolicy{}};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_guard, Fixture)

BOOST_AUTO_TEST_CASE(rollout_of_a_worse_version_is_held_with_a_reason_and_a_stable_command_id)
{
    startRollout();
    addRatings(kOld, kTag, 0.9, 100);
    addRatings(kNew, kTag, 0.5, 20);
    const std::vector<GuardDecision> decisions = guard.step(config);
    BOOST_TEST_REQUIRE(decisions.size() == 1U);
    const auto &change = std::get<StepRollout>(decisions[0].change);
    BOOST_TEST((change.step == RolloutStep::Hold));
    BOOST_TEST(change.reason.find("m@2") != std::string::npos);
    const ConfigCommand command = toCommand(decisions[0], config.revision, WallTime{});
    BOOST_TEST((command == toCommand(guard.step(config)[0], config.revision, WallTime{})));
    BOOST_TEST((command.id != toCommand(decisions[0], Revision(8), WallTime{}).id));
    BOOST_TEST((command.expected == config.revision));

    config.models[0].rollout->phase = RolloutPhase::Held;
    BOOST_TEST(guard.step(config).empty());
}

BOOST_AUTO_TEST_CASE(held_version_with_persistently_low_ratings_is_withdrawn)
{
    startRollout();
    addRatings(kOld, kTag, 0.9, 100);
    addRatings(kNew, kTag, 0.1, 20);
    config.models[0].rollout->phase = RolloutPhase::Held;
    addRatings(kNew, kTag, 0.1, 40);
    const std::vector<GuardDecision> decisions = guard.step(config);
    BOOST_TEST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((std::get<WithdrawVersion>(decisions[0].change).target == kNew));
}

BOOST_AUTO_TEST_CASE(fault_in_one_task_is_detected_despite_high_ratings_in_another)
{
    startRollout();
    addRatings(kOld, kTag, 0.9, 100);
    addRatings(kOld, kDraft, 0.9, 100);
    for (int round = 0; round < 40; ++round) {
        addRatings(kNew, kTag, 0.95, 4);
        addRatings(kNew, kDraft, 0.5, 1);
    }
    BOOST_TEST(guard.step(config).size() == 1U);
}

BOOST_AUTO_TEST_CASE(degraded_stable_version_is_held_and_its_monitor_is_reset_on_resume)
{
    addRatings(kOther, kTag, 0.9, 50);
    addRatings(kOld, kTag, 0.9, 500);
    BOOST_TEST(guard.step(config).empty());
    addRatings(kOld, kTag, 0.4, 40);
    const std::vector<GuardDecision> decisions = guard.step(config);
    BOOST_TEST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((std::get<HoldVersion>(decisions[0].change).target == kOld));

    config.models[0].versions[0].state = VersionState::Held;
    BOOST_TEST(guard.step(config).empty());
    config.models[0].versions[0].state = VersionState::Serving;
    addRatings(kOld, kTag, 0.4, 5);
    BOOST_TEST(guard.step(config).empty());
}

BOOST_AUTO_TEST_CASE(no_version_is_held_on_a_common_cause_or_if_it_is_the_last_one)
{
    addRatings(kOld, kTag, 0.9, 100);
    addRatings(kOther, kTag, 0.9, 100);
    addRatings(kOld, kTag, 0.3, 40);
    addRatings(kOther, kTag, 0.3, 40);
    BOOST_TEST((guard.verdict(config, kOld) == GuardVerdict::CommonCause));
    BOOST_TEST(guard.step(config).empty());

    config.models.pop_back();
    config.models[0].versions.pop_back();
    guard.step(config);
    BOOST_TEST((guard.verdict(config, kOld) == GuardVerdict::LastVersion));
    BOOST_TEST(guard.step(config).empty());
}

BOOST_AUTO_TEST_CASE(new_version_is_validated_only_after_enough_high_ratings)
{
    startRollout();
    addRatings(kOld, kTag, 0.9, 100);
    addRatings(kNew, kTag, 0.9, 49);
    BOOST_TEST(guard.validated(config).empty());
    addRatings(kNew, kTag, 0.9, 151);
    BOOST_TEST(guard.validated(config).count(kNew) == 1U);
    addRatings(kNew, kTag, 0.3, 20);
    BOOST_TEST(guard.validated(config).empty());
    BOOST_TEST(guard.suspects().count(kNew) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
