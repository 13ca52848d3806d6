// Unit tests of fair queueing between accounts.

#define BOOST_TEST_MODULE fair_queue
#include "core/admission/fair_queue.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace fireflyroute::core;

namespace {

const ClientAccountId kLarge("large");
const ClientAccountId kSmall("small");
const auto kAnyAccount = [](const auto &) { return true; };

// Serves `count` elements and returns the tokens served per account.
std::map<ClientAccountId, double> serve(FairQueue<int> &queue, int count)
{
    std::map<ClientAccountId, double> tokens;
    for (int i = 0; i < count && queue.head(kAnyAccount); ++i) {
        const auto element = queue.pop();
        tokens[element.account] += element.tokens;
    }
    return tokens;
}

void fill(FairQueue<int> &queue, const ClientAccountId &account, double weight, double tokens)
{
    for (int i = 0; i < 1000; ++i)
        queue.push(account, weight, tokens, i);
}

} // namespace

BOOST_AUTO_TEST_CASE(tokens_are_shared_by_weight_for_any_request_size)
{
    FairQueue<int> queue;
    fill(queue, kLarge, 1, 1000);
    fill(queue, kSmall, 3, 100);
    const auto tokens = serve(queue, 800);
    BOOST_TEST(tokens.at(kSmall) / tokens.at(kLarge) == 3.0, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(idle_account_accumulates_no_credit_and_is_served_next)
{
    FairQueue<int> queue;
    fill(queue, kLarge, 1, 10);
    serve(queue, 500);
    fill(queue, kSmall, 1, 10);
    queue.head(kAnyAccount);
    BOOST_TEST(serve(queue, 2).count(kSmall) == 1U);
    const auto tokens = serve(queue, 200);
    BOOST_TEST(tokens.at(kSmall) == tokens.at(kLarge), boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(remote_usage_is_charged_up_to_the_maximum_lead)
{
    FairQueue<int> queue;
    fill(queue, kLarge, 1, 10);
    fill(queue, kSmall, 1, 10);
    queue.charge(kLarge, 1, 1'000'000, 500);
    const auto first = serve(queue, 50);
    BOOST_TEST(first.count(kLarge) == 0U);
    BOOST_TEST(serve(queue, 10).count(kLarge) == 1U);
}

BOOST_AUTO_TEST_CASE(blocked_account_does_not_delay_others_and_can_be_unblocked)
{
    FairQueue<int> queue;
    queue.push(kLarge, 1, 10, 1);
    queue.push(kSmall, 1, 10, 2);
    const auto exceptLarge = [](const auto &element) { return element.account != kLarge; };
    BOOST_TEST_REQUIRE(queue.head(exceptLarge));
    BOOST_TEST(queue.pop().item == 2);
    BOOST_TEST(!queue.head(exceptLarge));
    BOOST_TEST(queue.size() == 1U);
    queue.unblock(kLarge);
    BOOST_TEST_REQUIRE(queue.head(kAnyAccount));
    BOOST_TEST(queue.pop().item == 1);
}

BOOST_AUTO_TEST_CASE(erased_elements_are_removed_from_totals)
{
    FairQueue<int> queue;
    const auto first = queue.push(kLarge, 1, 10, 1);
    const auto second = queue.push(kLarge, 1, 20, 2);
    queue.erase(first);
    BOOST_TEST(queue.tokens() == 20.0);
    queue.erase(second);
    BOOST_TEST(queue.size() == 0U);
    BOOST_TEST(queue.tokens() == 0.0);
    BOOST_TEST(!queue.head(kAnyAccount));
}
