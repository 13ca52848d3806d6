// Commands on the replicated state of a site, repeated and out of order.

#define BOOST_TEST_MODULE site_state
#include "core/site_state.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

StartSiteRollout startRollout(const std::string &target, std::int64_t atMs)
{
    SiteRollout rollout;
    rollout.service = ServiceName("llm");
    rollout.target = VersionName(target);
    rollout.durationMs = 16'000;
    rollout.orderedAtMs = atMs;
    return StartSiteRollout{rollout};
}

const SiteRollout &rolloutOf(const SiteState &state)
{
    return state.data().rollouts.at(ServiceName("llm"));
}

SetRolloutStage setStage(const SiteState &state, RolloutStage stage)
{
    return SetRolloutStage{ServiceName("llm"), rolloutOf(state).number, stage};
}

} // namespace

BOOST_AUTO_TEST_CASE(document_with_the_highest_version_is_kept)
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

BOOST_AUTO_TEST_CASE(repeated_start_command_is_ignored)
{
    SiteState state;
    state.apply(startRollout("v2", 1000));
    state.apply(setStage(state, RolloutStage::Expanding));
    state.apply(startRollout("v2", 3000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Expanding));
    state.apply(setStage(state, RolloutStage::RolledBack));
    // The acknowledgement was lost and the roll-out has ended in the meantime.
    state.apply(startRollout("v2", 6000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::RolledBack));
    state.apply(startRollout("v2", 60'000));
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Canary));
}

BOOST_AUTO_TEST_CASE(rollout_stage_never_moves_back)
{
    SiteState state;
    state.apply(startRollout("v2", 1000));
    const SetRolloutStage outdated = setStage(state, RolloutStage::RolledBack);
    state.apply(setStage(state, RolloutStage::Completed));
    state.apply(outdated);
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Completed));
    state.apply(startRollout("v3", 30'000));
    state.apply(outdated); // of the earlier order
    BOOST_TEST((rolloutOf(state).stage == RolloutStage::Canary));
}
