// Usage reports under loss, repetition, reordering, restarts and time-outs.

#define BOOST_TEST_MODULE usage_exchange
#include "core/admission/usage_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const UsageKey kKey{PoolId("returns"), ClientAccountId("duka"), Rank::Normal};

std::int64_t tokens(const std::vector<UsageDelta> &deltas)
{
    std::int64_t sum = 0;
    for (const UsageDelta &delta : deltas)
        sum += delta.tokens;
    return sum;
}

std::int64_t running(const std::vector<UsageDelta> &deltas)
{
    std::int64_t sum = 0;
    for (const UsageDelta &delta : deltas)
        sum += delta.running;
    return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(lost_report_is_compensated_and_repeated_one_counts_once)
{
    UsageExchange sender(VmId("a"), Incarnation(1));
    UsageExchange receiver(VmId("b"), Incarnation(1));
    sender.addTokens(kKey, 100);
    const UsageReport first = sender.report();
    sender.addTokens(kKey, 10);
    const UsageReport lost = sender.report();
    sender.addTokens(kKey, -3);
    const UsageReport third = sender.report();
    BOOST_TEST(tokens(receiver.receive(first, 0ms, kStart)) == 100);
    BOOST_TEST(tokens(receiver.receive(first, 0ms, kStart)) == 0);
    BOOST_TEST(tokens(receiver.receive(third, 0ms, kStart)) == 7);
    BOOST_TEST(tokens(receiver.receive(lost, 0ms, kStart)) == 0);
    BOOST_TEST(sender.receive(third, 0ms, kStart).empty());
}

BOOST_AUTO_TEST_CASE(restarted_receiver_does_not_charge_earlier_usage)
{
    UsageExchange sender(VmId("a"), Incarnation(1));
    sender.addTokens(kKey, 1'000'000);
    (void)sender.report();
    sender.addTokens(kKey, 5);
    UsageExchange receiver(VmId("b"), Incarnation(2));
    BOOST_TEST(tokens(receiver.receive(sender.report(), 0ms, kStart)) == 0);
    sender.addTokens(kKey, 5);
    BOOST_TEST(tokens(receiver.receive(sender.report(), 0ms, kStart)) == 5);
}

BOOST_AUTO_TEST_CASE(running_requests_of_a_restarted_or_timed_out_sender_are_released)
{
    UsageExchange receiver(VmId("b"), Incarnation(1));
    UsageExchange sender(VmId("a"), Incarnation(1));
    sender.addRunning(kKey, 4);
    BOOST_TEST(running(receiver.receive(sender.report(), 0ms, kStart)) == 4);
    UsageExchange restarted(VmId("a"), Incarnation(2));
    restarted.addRunning(kKey, 1);
    BOOST_TEST(running(receiver.receive(restarted.report(), 0ms, kStart)) == -3);
    BOOST_TEST(receiver.expire(kStart + 1s).empty());
    BOOST_TEST(running(receiver.expire(kStart + 1min)) == -1);
    BOOST_TEST(receiver.peerCount() == 0U);
}

BOOST_AUTO_TEST_CASE(report_contains_changed_keys_and_periodically_all_keys)
{
    UsageExchange sender(VmId("a"), Incarnation(1));
    sender.addTokens(kKey, 1);
    BOOST_TEST(sender.report().lines.size() == 1U);
    BOOST_TEST(sender.report().lines.empty());
    std::size_t lines = 0;
    for (int i = 0; i < 40; ++i)
        lines += sender.report().lines.size();
    BOOST_TEST(lines > 0U);
    BOOST_TEST(lines < 10U);
}
