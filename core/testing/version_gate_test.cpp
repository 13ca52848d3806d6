// Which versions a request may run on while versions come and go.

#define BOOST_TEST_MODULE version_gate
#include "core/version_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;

namespace {

const VersionName kOld("v1");
const VersionName kNew("v2");
constexpr double kShare = 0.08;

EndpointRecord endpoint(const VersionName &version)
{
    EndpointRecord made;
    made.version = version;
    return made;
}

Rollout rollout(RolloutStage stage)
{
    Rollout made;
    made.target = kNew;
    made.number = 3;
    made.stage = stage;
    return made;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_version_that_nobody_ordered_waits)
{
    const VersionGate gate(nullptr, {endpoint(kOld), endpoint(kOld), endpoint(kNew)});
    BOOST_TEST(gate.admits(kOld));
    BOOST_TEST(!gate.admits(kNew));
}

BOOST_AUTO_TEST_CASE(the_canary_share_is_kept)
{
    const Rollout running = rollout(RolloutStage::Canary);
    int drawn = 0;
    constexpr int kRequests = 20'000;
    for (int i = 0; i < kRequests; ++i) {
        VersionGate gate(&running, {});
        gate.draw("request-" + std::to_string(i), kShare, std::nullopt);
        BOOST_TEST(gate.admits(kNew) != gate.admits(kOld));
        drawn += gate.admits(kNew) ? 1 : 0;
    }
    BOOST_TEST(drawn > kRequests * kShare * 0.9);
    BOOST_TEST(drawn < kRequests * kShare * 1.1);
}

BOOST_AUTO_TEST_CASE(a_session_keeps_the_version_that_ran_it)
{
    const Rollout running = rollout(RolloutStage::Canary);
    for (int i = 0; i < 100; ++i) {
        VersionGate gate(&running, {});
        gate.draw("session-" + std::to_string(i), kShare, kOld);
        BOOST_TEST(gate.admits(kOld));
        gate.draw("session-" + std::to_string(i), kShare, kNew);
        BOOST_TEST(gate.admits(kNew));
    }
}

BOOST_AUTO_TEST_CASE(a_draw_is_taken_back_where_the_new_version_has_no_endpoint)
{
    const Rollout running = rollout(RolloutStage::Canary);
    VersionGate gate(&running, {});
    gate.draw("any", 1, std::nullopt);
    BOOST_TEST(gate.isCanary());
    gate.leaveCanary();
    BOOST_TEST(gate.admits(kOld));
    BOOST_TEST(!gate.admits(kNew));
}

BOOST_AUTO_TEST_CASE(later_stages_admit_one_side)
{
    for (const RolloutStage stage : {RolloutStage::Expanding, RolloutStage::Completed}) {
        const Rollout done = rollout(stage);
        const VersionGate gate(&done, {});
        BOOST_TEST(gate.admits(kNew));
        BOOST_TEST(!gate.admits(kOld));
    }
    const Rollout back = rollout(RolloutStage::RolledBack);
    const VersionGate gate(&back, {});
    BOOST_TEST(!gate.admits(kNew));
    BOOST_TEST(gate.admits(kOld));
}
