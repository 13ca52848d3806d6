// Unit tests of version admission during the stages of a roll-out.

#define BOOST_TEST_MODULE version_gate
#include "core/versions/version_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;

namespace {

const VersionName kOld("v1");
const VersionName kNew("v2");
constexpr double kShare = 0.08;

EndpointRecord endpoint(const VersionName &version)
{
    EndpointRecord result;
    result.version = version;
    return result;
}

SiteRollout rollout(RolloutStage stage)
{
    SiteRollout result;
    result.target = kNew;
    result.number = 3;
    result.stage = stage;
    return result;
}

} // namespace

BOOST_AUTO_TEST_CASE(only_the_majority_version_is_admitted_without_rollout)
{
    const VersionGate gate(nullptr, {endpoint(kOld), endpoint(kOld), endpoint(kNew)});
    BOOST_TEST(gate.admits(kOld));
    BOOST_TEST(!gate.admits(kNew));
}

BOOST_AUTO_TEST_CASE(canary_runs_its_share_of_requests)
{
    const SiteRollout running = rollout(RolloutStage::Canary);
    int selected = 0;
    constexpr int kRequests = 20'000;
    for (int i = 0; i < kRequests; ++i) {
        VersionGate gate(&running, {});
        gate.sampleCanary("request-" + std::to_string(i), kShare, std::nullopt);
        BOOST_TEST(gate.admits(kNew) != gate.admits(kOld));
        selected += gate.admits(kNew) ? 1 : 0;
    }
    BOOST_TEST(selected > kRequests * kShare * 0.9);
    BOOST_TEST(selected < kRequests * kShare * 1.1);
}

BOOST_AUTO_TEST_CASE(a_session_keeps_the_version_that_ran_it)
{
    const SiteRollout running = rollout(RolloutStage::Canary);
    for (int i = 0; i < 100; ++i) {
        VersionGate gate(&running, {});
        gate.sampleCanary("session-" + std::to_string(i), kShare, kOld);
        BOOST_TEST(gate.admits(kOld));
        gate.sampleCanary("session-" + std::to_string(i), kShare, kNew);
        BOOST_TEST(gate.admits(kNew));
    }
}

BOOST_AUTO_TEST_CASE(canary_assignment_can_be_cleared)
{
    const SiteRollout running = rollout(RolloutStage::Canary);
    VersionGate gate(&running, {});
    gate.sampleCanary("any", 1, std::nullopt);
    BOOST_TEST(gate.isCanary());
    gate.clearCanary();
    BOOST_TEST(gate.admits(kOld));
    BOOST_TEST(!gate.admits(kNew));
}

BOOST_AUTO_TEST_CASE(later_stages_admit_one_version)
{
    for (const RolloutStage stage : {RolloutStage::Expanding, RolloutStage::Completed}) {
        const SiteRollout current = rollout(stage);
        const VersionGate gate(&current, {});
        BOOST_TEST(gate.admits(kNew));
        BOOST_TEST(!gate.admits(kOld));
    }
    const SiteRollout rolledBack = rollout(RolloutStage::RolledBack);
    const VersionGate gate(&rolledBack, {});
    BOOST_TEST(!gate.admits(kNew));
    BOOST_TEST(gate.admits(kOld));
}
