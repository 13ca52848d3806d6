// Unit tests of the cascade, with missing ratings and failed steps.

#define BOOST_TEST_MODULE cascade
#include "core/versions/cascade.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kNow{1h};

CascadePlan twoStepPlan(double lower)
{
    const QualityBounds quality{lower, 0.9, 0.95, 100};
    PlanStep first{.quality = quality, .qualityTarget = 0.8};
    PlanStep second{.reason = ChoiceReason::Escalation, .quality = quality, .qualityTarget = 0.8};
    return CascadePlan{.steps = {first, second}};
}

struct Fixture
{
    CascadeActionKind stepKind(Cascade &cascade, const CascadeInput &input)
    {
        last = cascade.step(input, kNow, budget);
        return last.kind;
    }

    EscalationBudget budget{100, 1};
    CascadeAction last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cascade, Fixture)

BOOST_AUTO_TEST_CASE(unsampled_answer_of_certain_step_is_delivered_without_rating)
{
    Cascade cascade(twoStepPlan(0.85), false, CascadePolicy{});
    BOOST_TEST((stepKind(cascade, CascadeStarted{}) == CascadeActionKind::Run));
    BOOST_TEST((stepKind(cascade, CascadeAnswered{}) == CascadeActionKind::Deliver));
}

BOOST_AUTO_TEST_CASE(a_low_rating_escalates_and_the_better_answer_is_delivered)
{
    Cascade cascade(twoStepPlan(0.5), false, CascadePolicy{});
    stepKind(cascade, CascadeStarted{});
    BOOST_TEST((stepKind(cascade, CascadeAnswered{}) == CascadeActionKind::AwaitRating));
    BOOST_TEST((last.deadline == kNow + CascadePolicy{}.ratingTimeout));
    BOOST_TEST((stepKind(cascade, CascadeRated{0.3}) == CascadeActionKind::Run));
    BOOST_TEST(last.step == 1U);
    BOOST_TEST((stepKind(cascade, CascadeAnswered{}) == CascadeActionKind::Deliver));
    BOOST_TEST(last.step == 1U);
}

BOOST_AUTO_TEST_CASE(missing_rating_does_not_block_delivery)
{
    Cascade cascade(twoStepPlan(0.5), true, CascadePolicy{});
    stepKind(cascade, CascadeStarted{});
    stepKind(cascade, CascadeAnswered{});
    BOOST_TEST((stepKind(cascade, CascadeUnrated{}) == CascadeActionKind::Deliver));
    BOOST_TEST(last.step == 0U);
}

BOOST_AUTO_TEST_CASE(failed_escalation_delivers_the_first_answer)
{
    Cascade cascade(twoStepPlan(0.5), false, CascadePolicy{});
    stepKind(cascade, CascadeStarted{});
    stepKind(cascade, CascadeAnswered{});
    stepKind(cascade, CascadeRated{0.3});
    BOOST_TEST((stepKind(cascade, CascadeFailed{}) == CascadeActionKind::Deliver));
    BOOST_TEST(last.step == 0U);
}

BOOST_AUTO_TEST_CASE(failed_step_continues_with_the_next_and_fails_after_the_last)
{
    Cascade cascade(twoStepPlan(0.5), false, CascadePolicy{});
    stepKind(cascade, CascadeStarted{});
    BOOST_TEST((stepKind(cascade, CascadeFailed{}) == CascadeActionKind::Run));
    BOOST_TEST((stepKind(cascade, CascadeFailed{}) == CascadeActionKind::Fail));
}

BOOST_AUTO_TEST_CASE(empty_budget_prevents_escalation)
{
    BOOST_TEST(budget.trySpend());
    Cascade cascade(twoStepPlan(0.5), false, CascadePolicy{});
    stepKind(cascade, CascadeStarted{});
    stepKind(cascade, CascadeAnswered{});
    BOOST_TEST((stepKind(cascade, CascadeRated{0.3}) == CascadeActionKind::Deliver));
    for (int attempt = 0; attempt < 9; ++attempt)
        budget.recordFirstAttempt();
    BOOST_TEST(budget.trySpend());
    BOOST_TEST(!budget.trySpend());
}

BOOST_AUTO_TEST_SUITE_END()
