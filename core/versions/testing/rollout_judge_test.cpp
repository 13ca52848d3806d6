// Early rollback of faulty versions, and timely completion of healthy ones.

#define BOOST_TEST_MODULE rollout_judge
#include "core/versions/rollout_judge.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const WallTime kWall{std::chrono::hours(400'000)};
const VmId kEntry("10.0.0.1");

struct Fixture
{
    Fixture()
    {
        SiteRollout rollout;
        rollout.service = ServiceName("llm");
        rollout.target = VersionName("v2");
        rollout.number = 5;
        rollout.durationMs = 20'000;
        rollout.orderedAtMs = kWall.time_since_epoch().count();
        data.rollouts[rollout.service] = rollout;
        (void)step(0s);
    }

    std::vector<SetRolloutStage> step(Duration elapsed)
    {
        return judge.step(data, kStart + elapsed,
                          kWall + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed));
    }

    void report(const std::string &version, const std::string &route, std::uint32_t succeeded,
                std::uint32_t failed, std::uint32_t outstanding = 0, std::uint32_t slow = 0)
    {
        OutcomeCount count;
        count.service = ServiceName("llm");
        count.version = VersionName(version);
        count.route = route;
        count.succeeded = succeeded;
        count.failed = failed;
        count.slow = slow;
        count.outstanding = outstanding;
        judge.observe(kEntry, OutcomeReport{{count}}, kStart);
    }

    void setStage(RolloutStage stage) { data.rollouts[ServiceName("llm")].stage = stage; }

    RolloutJudge judge;
    SiteData data;
};

std::string stageOf(const std::vector<SetRolloutStage> &commands)
{
    return commands.empty() ? "none" : std::string(nameOf(commands.front().stage));
}

} // namespace

BOOST_FIXTURE_TEST_CASE(healthy_version_expands_and_completes_in_time, Fixture)
{
    report("v1", "a", 300, 2, 8);
    report("v2", "a", 20, 0);
    BOOST_TEST(stageOf(step(5s)) == "none");
    BOOST_TEST(stageOf(step(11s)) == "expanding");
    setStage(RolloutStage::Expanding);
    report("v1", "a", 0, 0, 3);
    BOOST_TEST(stageOf(step(15s)) == "none");
    report("v1", "a", 0, 0, 0);
    BOOST_TEST(stageOf(step(15s)) == "completed");
}

BOOST_FIXTURE_TEST_CASE(rollout_completes_before_the_deadline_despite_outstanding_requests, Fixture)
{
    report("v2", "a", 20, 0);
    setStage(RolloutStage::Expanding);
    report("v1", "a", 0, 0, 4);
    BOOST_TEST(stageOf(step(18s)) == "completed");
}

// Guards against underrating slow answers: a slow answer counted as half a failure while the
// roll-out was expanding, so that a slow version received more requests than allowed. Found by the
// generated scenario bad-slow on site Vedeni, variant with --seed 279635887588.
BOOST_FIXTURE_TEST_CASE(version_that_slows_down_while_expanding_is_rolled_back, Fixture)
{
    report("v1", "a", 1129, 16, 0, 70);
    report("v2", "a", 40, 1, 0, 5);
    BOOST_TEST(stageOf(step(2s)) == "none");
    setStage(RolloutStage::Expanding);
    report("v2", "a", 36, 0, 0, 16);
    BOOST_TEST(stageOf(step(12s)) == "rolled_back");
}

BOOST_FIXTURE_TEST_CASE(version_that_fails_half_of_its_requests_is_rolled_back_immediately, Fixture)
{
    report("v1", "a", 100, 1);
    report("v2", "a", 2, 3);
    BOOST_TEST(stageOf(step(2s)) == "rolled_back");
}

BOOST_FIXTURE_TEST_CASE(version_that_fails_on_one_route_only_is_rolled_back, Fixture)
{
    report("v1", "a", 300, 1);
    report("v1", "b", 300, 1);
    report("v2", "a", 40, 0);
    report("v2", "b", 2, 3);
    BOOST_TEST(stageOf(step(4s)) == "rolled_back");
}

BOOST_FIXTURE_TEST_CASE(failing_version_is_rolled_back_while_expanding, Fixture)
{
    report("v2", "a", 20, 0);
    setStage(RolloutStage::Expanding);
    report("v2", "a", 5, 12);
    BOOST_TEST(stageOf(step(12s)) == "rolled_back");
}

BOOST_FIXTURE_TEST_CASE(equal_failure_rates_of_all_versions_cause_no_rollback, Fixture)
{
    report("v1", "a", 60, 40);
    report("v2", "a", 6, 4);
    BOOST_TEST(stageOf(step(4s)) == "none");
}

BOOST_FIXTURE_TEST_CASE(few_failures_of_a_healthy_version_cause_no_rollback, Fixture)
{
    report("v1", "a", 300, 5);
    report("v2", "a", 20, 1);
    BOOST_TEST(stageOf(step(4s)) == "none");
}

// Guards against a version being expanded although its answers are hardly told from those of a
// faulty one, since endpoints of other versions are slow at the same time. Found by the generated
// scenario bad-slow on site Vedeni, variant with --seed 1096948455104.
BOOST_FIXTURE_TEST_CASE(version_without_evidence_for_its_health_is_not_expanded, Fixture)
{
    report("v1", "a", 398, 122);
    report("v1", "b", 231, 65);
    report("v1", "c", 124, 52);
    report("v2", "a", 35, 12);
    report("v2", "b", 20, 6);
    report("v2", "c", 6, 10);
    BOOST_TEST(stageOf(step(12s)) == "none");
    BOOST_TEST(stageOf(step(13s)) == "rolled_back");
    report("v2", "c", 30, 4);
    BOOST_TEST(stageOf(step(13s)) == "expanding");
}

// Guards against a slow version passing as healthy while nearly half of all other answers are slow
// as well, so that its answers tell nothing. Found by a hunt on Vedeni, hunt-9dd8-27.
BOOST_FIXTURE_TEST_CASE(version_is_not_healthy_by_comparison_with_slow_ones, Fixture)
{
    report("v1", "a", 206, 176);
    report("v1", "b", 105, 105);
    report("v2", "a", 40, 40);
    report("v2", "b", 18, 18);
    BOOST_TEST(stageOf(step(12s)) == "none");
    BOOST_TEST(stageOf(step(13s)) == "rolled_back");
    report("v1", "a", 500, 5);
    report("v1", "b", 300, 3);
    report("v2", "a", 150, 1);
    report("v2", "b", 60, 1);
    BOOST_TEST(stageOf(step(13s)) == "expanding");
}

// Guards against EXPOSURE on the grown Vedeni, bad-slow --vary --seed 394269707405: the answers of
// the first seconds told the slow version from the others, which were slow later; in the sums of
// both periods the two looked alike.
BOOST_FIXTURE_TEST_CASE(evidence_is_not_diluted_by_later_trouble_of_the_other_versions, Fixture)
{
    report("v1", "a", 1000, 30);
    report("v2", "a", 8, 0, 0, 3);
    BOOST_TEST(stageOf(step(2s)) == "none");
    report("v1", "a", 2000, 30, 0, 1500);
    report("v2", "a", 12, 0, 0, 11);
    BOOST_TEST(stageOf(step(4s)) == "none");
    report("v1", "a", 1000, 30);
    report("v2", "a", 9, 0, 0, 3);
    BOOST_TEST(stageOf(step(10s)) == "rolled_back");
}

// Guards against the same: undecided, the version received requests until 65% of its time, while
// its failed and slow answers went on.
BOOST_FIXTURE_TEST_CASE(undecided_version_with_many_suspect_answers_is_rolled_back_early, Fixture)
{
    for (int second = 1; second <= 2; ++second) {
        report("v1", "a", 60, 0, 0, 40);
        report("v2", "a", 10, 0, 0, 13);
        BOOST_TEST(stageOf(step(std::chrono::seconds(second))) == "none");
    }
    report("v1", "a", 60, 0, 0, 40);
    report("v2", "a", 10, 0, 0, 13);
    BOOST_TEST(stageOf(step(3s)) == "none");
    BOOST_TEST(stageOf(step(4s)) == "rolled_back");
}

// A version with as many failed and slow answers as all others have is given the time to complete.
BOOST_FIXTURE_TEST_CASE(sound_version_among_slow_ones_is_cleared_and_completes, Fixture)
{
    for (int second = 1; second <= 10; ++second) {
        report("v1", "a", 400, 0, 0, 100);
        report("v2", "a", 20, 0, 0, 5);
        BOOST_TEST(stageOf(step(std::chrono::seconds(second))) == "none");
    }
    BOOST_TEST(stageOf(step(11s)) == "expanding");
}

// Guards against a version that turns faulty late and is compared by its answers of all the time:
// hundreds of good answers hid the first dozens of bad ones.
BOOST_FIXTURE_TEST_CASE(version_that_turns_faulty_late_is_rolled_back_after_few_answers, Fixture)
{
    report("v1", "a", 5000, 50);
    report("v2", "a", 400, 4);
    BOOST_TEST(stageOf(step(10s)) == "none");
    BOOST_TEST(stageOf(step(11s)) == "expanding");
    setStage(RolloutStage::Expanding);
    report("v2", "a", 12, 0, 0, 12);
    BOOST_TEST(stageOf(step(12s)) == "rolled_back");
}

// Guards against a sound version that is rolled back because it is loaded more, and has cached
// less, while it expands than the others before: good-among-slow on Mavuno, --vary --seed 24.
BOOST_FIXTURE_TEST_CASE(sound_version_that_is_loaded_by_its_expansion_completes, Fixture)
{
    struct RouteAnswers
    {
        std::uint32_t succeeded;
        std::uint32_t slow;
    };
    report("v1", "a", 287, 0, 0, 35);
    report("v1", "b", 375, 0, 0, 80);
    report("v1", "c", 194, 0, 0, 30);
    report("v2", "a", 21, 0, 0, 1);
    report("v2", "b", 39, 0);
    report("v2", "c", 14, 0);
    BOOST_TEST(stageOf(step(11s)) == "expanding");
    setStage(RolloutStage::Expanding);
    // By step and route.
    const std::vector<std::vector<RouteAnswers>> steps{{{13, 0}, {12, 2}, {5, 1}},
                                                       {{47, 8}, {51, 24}, {34, 9}},
                                                       {{15, 5}, {10, 10}, {11, 6}},
                                                       {{60, 4}, {80, 9}, {50, 4}}};
    Duration elapsed = 11s;
    for (const std::vector<RouteAnswers> &routes : steps) {
        const char *name = "a";
        for (const RouteAnswers &answers : routes) {
            report("v2", name, answers.succeeded, 0, 0, answers.slow);
            name = name == std::string("a") ? "b" : "c";
        }
        elapsed += 700ms;
        BOOST_TEST(stageOf(step(elapsed)) == "none");
    }
    report("v1", "a", 0, 0, 0);
    BOOST_TEST(stageOf(step(15s)) == "completed");
}

// With little traffic evidence takes longer, and few requests are exposed.
BOOST_FIXTURE_TEST_CASE(version_with_few_answers_stays_canary, Fixture)
{
    report("v2", "a", 8, 0);
    BOOST_TEST(stageOf(step(19s)) == "none");
    report("v2", "a", 1, 0);
    BOOST_TEST(stageOf(step(19s)) == "expanding");
}

// The wall clock of a new leader may be ahead, so the time before it saw the order counts only in
// part.
BOOST_AUTO_TEST_CASE(wall_clock_step_does_not_end_a_rollout)
{
    Fixture fixture;
    RolloutJudge judge;
    const auto commands = judge.step(fixture.data, kStart, kWall + 1h);
    BOOST_TEST(commands.empty());
}
