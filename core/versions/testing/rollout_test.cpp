// Roll-outs: stages by time and ratings, bounded exposure, verdicts, concurrent operators and
// changes of leader.

#define BOOST_TEST_MODULE rollout
#include "core/config/config_state.h"
#include "core/config/rollout_change.h"
#include "core/versions/rollout_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");
const ModelVersion kNew{kModel, VersionName("2")};
const ClockReading kStart{Instant(1h), WallTime(1000h)};
const RolloutGate kGate{60s, 10};

ClockReading later(Duration elapsed)
{
    return {kStart.monotonic + elapsed,
            kStart.wall + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)};
}

struct Fleet
{
    Fleet()
    {
        FleetConfig config;
        ModelSpec model;
        model.name = kModel;
        model.versions = {VersionSpec{.name = VersionName("1")},
                          VersionSpec{.name = VersionName("2")}};
        model.stable = VersionName("1");
        config.models = {model};
        BOOST_TEST_REQUIRE(apply("fleet", SetFleet{config}).accepted);
    }

    ConfigReply apply(const std::string &id, ConfigChange change)
    {
        return state.apply(ConfigCommand{CommandId(id), OperatorName("op"), kStart.wall,
                                         state.config()->revision, std::move(change)});
    }

    void startRollout()
    {
        const StartRollout start{
                kModel, kNew.version, {50, 200, 1000}, "cheaper drafts", {kGate, kGate, kGate}};
        BOOST_TEST_REQUIRE(apply("start", start).accepted);
    }

    ConfigReply step(const std::string &id, RolloutStep step)
    {
        return apply(id, StepRollout{kModel, step, "by hand"});
    }

    std::optional<ConfigCommand> propose(VersionVerdict verdict, std::uint32_t ratings,
                                         Duration elapsed) const
    {
        const RolloutEvidence evidence{kNew, rollout().stage, ratings, verdict, "figures"};
        return RolloutSchedule(kStart).propose(*state.config(), {evidence}, later(elapsed));
    }

    bool isProposed(VersionVerdict verdict, std::uint32_t ratings, Duration elapsed) const
    {
        return propose(verdict, ratings, elapsed).has_value();
    }

    const ModelSpec &model() const { return state.config()->models[0]; }
    const Rollout &rollout() const { return *model().rollout; }

    ConfigState state;
};

} // namespace

BOOST_AUTO_TEST_CASE(stage_requires_its_duration_and_its_ratings)
{
    Fleet fleet;
    fleet.startRollout();
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Acceptable, 10, 59s));
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Acceptable, 9, 60s));
    BOOST_TEST(fleet.isProposed(VersionVerdict::Acceptable, 10, 60s));
    const RolloutEvidence otherStage{kNew, 1, 99, VersionVerdict::Acceptable, ""};
    BOOST_TEST(!RolloutSchedule(kStart)
                        .propose(*fleet.state.config(), {otherStage}, later(60s))
                        .has_value());
}

BOOST_AUTO_TEST_CASE(version_without_validation_stays_below_the_exposure_bound)
{
    Fleet fleet;
    const StartRollout largeFirstStage{kModel, kNew.version, {300, 1000}, "hurry", {}};
    BOOST_TEST(!fleet.apply("fast", largeFirstStage).accepted);
    fleet.startRollout();
    BOOST_TEST(rolloutExposurePermille(fleet.model()) == 50U);
    BOOST_TEST(fleet.state.apply(*fleet.propose(VersionVerdict::Undecided, 10, 60s)).accepted);
    BOOST_TEST(rolloutExposurePermille(fleet.model()) == 200U);
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Undecided, 999, 1h));
    BOOST_TEST(fleet.state.apply(*fleet.propose(VersionVerdict::Acceptable, 10, 120s)).accepted);
    BOOST_TEST(rolloutExposurePermille(fleet.model()) == 1000U);
    BOOST_TEST(fleet.state.apply(*fleet.propose(VersionVerdict::Acceptable, 10, 180s)).accepted);
    BOOST_TEST((fleet.model().stable == kNew.version));
    BOOST_TEST((fleet.rollout().phase == RolloutPhase::Done));
}

BOOST_AUTO_TEST_CASE(suspect_version_is_held_and_faulty_one_withdrawn_with_a_reason)
{
    Fleet fleet;
    fleet.startRollout();
    BOOST_TEST(fleet.state.apply(*fleet.propose(VersionVerdict::Suspect, 1, 1s)).accepted);
    BOOST_TEST((fleet.rollout().phase == RolloutPhase::Held));
    BOOST_TEST(fleet.rollout().reason == "suspect ratings: figures");
    BOOST_TEST(rolloutExposurePermille(fleet.model()) == 0U);
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Acceptable, 99, 1h));
    BOOST_TEST(fleet.state.apply(*fleet.propose(VersionVerdict::Faulty, 1, 1s)).accepted);
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Faulty, 99, 1h));
    BOOST_TEST(!fleet.step("resume", RolloutStep::Resume).accepted);
    BOOST_TEST(fleet.step("cancel", RolloutStep::Cancel).accepted);
    BOOST_TEST((fleet.model().stable == VersionName("1")));
    BOOST_TEST(
            !fleet.apply("again", StartRollout{kModel, kNew.version, {50}, "again", {}}).accepted);
}

BOOST_AUTO_TEST_CASE(repeated_proposal_after_a_leader_change_advances_once)
{
    Fleet fleet;
    fleet.startRollout();
    const ConfigCommand first = *fleet.propose(VersionVerdict::Acceptable, 10, 60s);
    const ConfigCommand second = *fleet.propose(VersionVerdict::Acceptable, 11, 61s);
    BOOST_TEST((first.id == second.id));
    BOOST_TEST(fleet.state.apply(first).accepted);
    BOOST_TEST(fleet.state.apply(second).accepted); // returns the recorded reply
    BOOST_TEST(fleet.rollout().stage == 1U);
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Acceptable, 10, 60s));
    BOOST_TEST(fleet.isProposed(VersionVerdict::Acceptable, 10, 120s));
}

BOOST_AUTO_TEST_CASE(proposal_with_outdated_revision_is_rejected_and_proposed_again)
{
    Fleet fleet;
    fleet.startRollout();
    const ConfigCommand late = *fleet.propose(VersionVerdict::Acceptable, 10, 60s);
    BOOST_TEST(fleet.step("hold", RolloutStep::Hold).accepted);
    const ConfigReply conflict = fleet.state.apply(late);
    BOOST_TEST((conflict.error == CoreError::RevisionConflict));
    BOOST_TEST(!fleet.isProposed(VersionVerdict::Acceptable, 10, 60s));
    BOOST_TEST(fleet.step("resume", RolloutStep::Resume).accepted);
    const ConfigCommand fresh = *fleet.propose(VersionVerdict::Acceptable, 10, 60s);
    BOOST_TEST((fresh.id != late.id));
    BOOST_TEST(fleet.state.apply(fresh).accepted);
    BOOST_TEST(fleet.rollout().stage == 1U);
}

BOOST_AUTO_TEST_CASE(wall_clock_step_advances_no_rollout)
{
    Fleet fleet;
    fleet.startRollout();
    ClockReading jumped = later(1s);
    jumped.wall += 24h;
    const RolloutEvidence evidence{kNew, 0, 99, VersionVerdict::Acceptable, ""};
    BOOST_TEST(!RolloutSchedule(kStart)
                        .propose(*fleet.state.config(), {evidence}, jumped)
                        .has_value());
}

BOOST_AUTO_TEST_CASE(fleet_change_cannot_replace_the_stable_version_of_a_rollout)
{
    Fleet fleet;
    const FleetConfig before = *fleet.state.config();
    fleet.startRollout();
    BOOST_TEST(fleet.step("finish", RolloutStep::Finish).accepted);
    BOOST_TEST(!fleet.apply("edit", SetFleet{before}).accepted);
    BOOST_TEST((fleet.model().stable == kNew.version));
}
