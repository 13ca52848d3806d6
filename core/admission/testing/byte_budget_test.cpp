// Tests of the budget of held bytes under the loads of clients that ignore the limits: crowds of
// large bodies, bodies that stop short of their end, and callers that don't read their answers.

#define BOOST_TEST_MODULE byte_budget
#include "core/admission/byte_budget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

BOOST_TEST_DONT_PRINT_LOG_VALUE(HoldVerdict)

namespace {

const Instant kStart{1h};
constexpr HoldLimits kLimits{.totalBytes = 1000,
                             .ordinaryBytes = 10,
                             .maxWait = 1s,
                             .stallPeriod = 500ms};
constexpr std::size_t kLargeBody = 250;

HolderState receiving(std::size_t bytes, Duration quiet)
{
    return {bytes, HoldPhase::Receiving, kStart - quiet};
}

} // namespace

// Guards against a crowd of large bodies that together exceed the memory of a VM.
BOOST_AUTO_TEST_CASE(large_bodies_never_hold_more_than_their_part)
{
    ByteBudget budget(kLimits);
    std::vector<Holding> crowd(20);
    int granted = 0;
    for (Holding &holding : crowd)
        granted += budget.ask(holding, kLargeBody, 0s) == HoldVerdict::Granted ? 1 : 0;
    BOOST_TEST(granted == 3);
    BOOST_TEST(budget.usedBytes() == 750U);
    budget.set(crowd[0], 0);
    BOOST_TEST((budget.ask(crowd[19], kLargeBody, 0s) == HoldVerdict::Granted));
}

// Guards against ordinary requests that a crowd of large bodies keeps out.
BOOST_AUTO_TEST_CASE(ordinary_requests_have_a_reserved_part)
{
    ByteBudget budget(kLimits);
    std::vector<Holding> crowd(3);
    for (Holding &holding : crowd)
        BOOST_TEST((budget.ask(holding, kLargeBody, 0s) == HoldVerdict::Granted));
    std::vector<Holding> ordinary(26);
    int granted = 0;
    for (Holding &holding : ordinary)
        granted += budget.ask(holding, 10, 0s) == HoldVerdict::Granted ? 1 : 0;
    BOOST_TEST(granted == 25);
}

// Guards against a small budget that refuses the largest legal request in calm.
BOOST_AUTO_TEST_CASE(lone_large_body_is_granted_whatever_its_length)
{
    ByteBudget budget(kLimits);
    Holding lone;
    Holding second;
    BOOST_TEST((budget.ask(lone, 5000, 0s) == HoldVerdict::Granted));
    BOOST_TEST((budget.ask(second, 20, 0s) == HoldVerdict::Wait));
    // What was granted stays granted.
    BOOST_TEST((budget.ask(lone, 5000, 2s) == HoldVerdict::Granted));
}

BOOST_AUTO_TEST_CASE(wait_ends_with_a_refusal)
{
    ByteBudget budget(kLimits);
    Holding first;
    Holding second;
    BOOST_TEST((budget.ask(first, 750, 0s) == HoldVerdict::Granted));
    BOOST_TEST((budget.ask(second, 100, 999ms) == HoldVerdict::Wait));
    BOOST_TEST((budget.ask(second, 100, 1s) == HoldVerdict::Refused));
    BOOST_TEST(budget.usedBytes() == 750U);
}

// Guards against bodies that stop just short of their end and hold the budget for good.
BOOST_AUTO_TEST_CASE(largest_and_then_slowest_stalled_connection_gives_way)
{
    const ByteBudget budget(kLimits);
    const std::vector<HolderState> holders{receiving(200, 600ms), receiving(250, 600ms),
                                           receiving(250, 700ms), receiving(300, 100ms)};
    BOOST_TEST(*budget.chooseToClose(holders, kLargeBody, kStart) == 2U);
    BOOST_TEST(!budget.chooseToClose({holders[3]}, kLargeBody, kStart));
}

// Guards against ordinary requests that wait for large bodies which arrive slowly.
BOOST_AUTO_TEST_CASE(large_body_gives_way_to_an_ordinary_request)
{
    const ByteBudget budget(kLimits);
    const std::vector<HolderState> holders{receiving(10, 100ms), receiving(300, 100ms),
                                           receiving(200, 100ms)};
    BOOST_TEST(*budget.chooseToClose(holders, 10, kStart) == 1U);
    BOOST_TEST(!budget.chooseToClose({holders[0]}, 10, kStart));
}

// Guards against callers that don't read their answers, and against closing those who owe nothing.
BOOST_AUTO_TEST_CASE(only_connections_whose_callers_owe_something_give_way)
{
    const ByteBudget budget(kLimits);
    const HolderState running{400, HoldPhase::Running, kStart - 1h};
    const HolderState unread{50, HoldPhase::Sending, kStart - 1s};
    const HolderState read{500, HoldPhase::Sending, kStart - 100ms};
    BOOST_TEST(*budget.chooseToClose({running, unread, read}, kLargeBody, kStart) == 1U);
    BOOST_TEST(*budget.chooseToClose({running, unread, read}, 10, kStart) == 1U);
    BOOST_TEST(!budget.chooseToClose({running, read}, 10, kStart));
}
