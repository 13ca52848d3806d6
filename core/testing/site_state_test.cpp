// Commands of the replicated state of a site, repeated and out of order.

#define BOOST_TEST_MODULE site_state
#include "core/site_state.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

StartRollout order(const std::string &target, std::int64_t atMs)
{
    Rollout rollout;
    rollout.service = ServiceName("llm");
    rollout.target = VersionName(target);
    rollout.durationMs = 16'000;
    rollout.orderedAtMs = atMs;
    return StartRollout{rollout};
}

const Rollout &rolloutOf(const SiteState &state)
{
    return state.data().rollouts.at(ServiceName("llm"));
}

MoveRollout move(const SiteState &state, RolloutStage stage)
{
    return MoveRollout{ServiceName("llm"), rolloutOf(state).number, stage};
}

} // namespace

BOOST_AUTO_TEST_CASE(the_highest_version_stays)
{
    SiteState state;
    state.apply(PutDocument{{7, "seven"}});
    state.apply(PutDocument{{5, "five"}});
    state.apply(PutDocument{{7, "another seven"}});
    BOOST_TEST(state.data().document.bytes == "seven");
    BOOST_TEST(state.data().revision == 1U);
    state.apply(PutDocument{{9, "nine"}});
    BOOST_TEST(state.data().document.bytes == "nine");
    BOOST_TEST(state.data().revision == 2U);
}

BOOST_AUTO_TEST_CASE(a_repeated_order_changes_nothing)
{
    SiteState state;
    state.apply(order("v2", 1000));
    state.apply(move(state, RolloutStage::Expanding));
    state.apply(order("v2", 3000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Expanding));
    state.apply(move(state, RolloutStage::RolledBack));
    // The acknowledgement was lost, and the roll-out has ended in the meantime.
    state.apply(order("v2", 6000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::RolledBack));
    state.apply(order("v2", 60'000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Canary));
}

BOOST_AUTO_TEST_CASE(a_rollout_moves_forward_only)
{
    SiteState state;
    state.apply(order("v2", 1000));
    const MoveRollout old = move(state, RolloutStage::RolledBack);
    state.apply(move(state, RolloutStage::Completed));
    state.apply(old);
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Completed));
    state.apply(order("v3", 30'000));
    state.apply(old); // of the earlier order
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Canary));
}
