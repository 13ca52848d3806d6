// Tests the order of timestamps with wrong clocks, and the bounded log with merging and filtering.

#define BOOST_TEST_MODULE event_log
#include "core/timeline/event_log.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

struct FakeWallTime
{
    WallTime now{1000s};

    [[nodiscard]] WallTime wallNow() const { return now; }
};

using FakeHybridClock = HybridClock<FakeWallTime>;

} // namespace

BOOST_AUTO_TEST_CASE(reply_timestamp_follows_request_timestamp_despite_clock_lag)
{
    FakeWallTime fast{WallTime{1050s}};
    FakeWallTime slow;
    FakeHybridClock sender(fast);
    FakeHybridClock receiver(slow);
    const HybridTimestamp sent = sender.tick();
    const HybridTimestamp received = receiver.receive(sent);
    BOOST_TEST((sent < received));
    BOOST_TEST((received < receiver.tick()));
}

BOOST_AUTO_TEST_CASE(timestamps_are_monotonic_when_wall_clock_goes_back)
{
    FakeWallTime wall;
    FakeHybridClock clock(wall);
    const HybridTimestamp before = clock.tick();
    wall.now -= 3600s;
    BOOST_TEST((before < clock.tick()));
}

BOOST_AUTO_TEST_CASE(timestamp_beyond_forward_limit_is_rejected_and_counted)
{
    FakeWallTime wall;
    FakeHybridClock clock(wall);
    const WallTime limit = wall.now + FakeHybridClock::kMaxForwardJump;
    BOOST_TEST((clock.receive(HybridTimestamp{limit + 1ms, 0}).wall == wall.now));
    BOOST_TEST(clock.rejectedJumps() == 1U);
    BOOST_TEST((clock.receive(HybridTimestamp{limit, 0}) == HybridTimestamp{limit, 1}));
    BOOST_TEST(clock.rejectedJumps() == 1U);
}

BOOST_AUTO_TEST_CASE(counter_overflow_advances_to_next_millisecond)
{
    FakeWallTime wall;
    FakeHybridClock clock(wall);
    clock.receive(HybridTimestamp{wall.now, 0xFFFFFFFEU});
    BOOST_TEST((clock.last().counter == 0xFFFFFFFFU));
    BOOST_TEST((clock.tick() == HybridTimestamp{wall.now + 1ms, 0}));
}

BOOST_AUTO_TEST_CASE(full_log_drops_and_counts_oldest_event)
{
    EventLog log(VmId("vm1"), Incarnation(1), 2);
    for (int number = 1; number <= 3; ++number)
        log.record(HybridTimestamp{WallTime{1s * number}, 0}, Event{});
    BOOST_TEST(log.dropped() == 1U);
    BOOST_TEST_REQUIRE(log.since(0).size() == 2U);
    BOOST_TEST(log.since(0).front().sequence == 2U);
    BOOST_TEST(log.since(2).size() == 1U);
    BOOST_TEST(log.since(3).empty());
}

BOOST_AUTO_TEST_CASE(merge_orders_and_deduplicates_events)
{
    EventLog first(VmId("vm1"), Incarnation(1), 8);
    EventLog second(VmId("vm2"), Incarnation(1), 8);
    first.record(HybridTimestamp{WallTime{1s}, 0}, Event{.kind = EventKind::RequestDispatched});
    second.record(HybridTimestamp{WallTime{1s}, 1}, Event{.kind = EventKind::ClaimCreated});
    first.record(HybridTimestamp{WallTime{2s}, 0}, Event{.kind = EventKind::RequestFinished});
    const std::vector<Event> merged =
            mergeEvents({second.select({}), first.select({}), first.since(1)});
    BOOST_TEST_REQUIRE(merged.size() == 3U);
    BOOST_TEST((merged[0].kind == EventKind::RequestDispatched));
    BOOST_TEST((merged[1].kind == EventKind::ClaimCreated));
    BOOST_TEST((merged[2].kind == EventKind::RequestFinished));
}

BOOST_AUTO_TEST_CASE(filter_selects_by_each_field)
{
    const ModelVersion version{ModelName("m"), VersionName("1")};
    EventLog log(VmId("vm1"), Incarnation(1), 8);
    log.record(HybridTimestamp{WallTime{1s}, 0},
               Event{.request = RequestId("r1"), .version = version});
    log.record(HybridTimestamp{WallTime{2s}, 0},
               Event{.request = RequestId("r2"), .endpoint = EndpointId("e1")});
    BOOST_TEST(log.select({.request = RequestId("r1")}).size() == 1U);
    BOOST_TEST(log.select({.version = version}).front().sequence == 1U);
    BOOST_TEST(log.select({.endpoint = EndpointId("e1")}).front().sequence == 2U);
    BOOST_TEST(log.select({.account = ClientAccountId("a")}).empty());
    BOOST_TEST(log.select({.from = WallTime{2s}}).front().sequence == 2U);
    BOOST_TEST(log.select({.until = WallTime{2s}}).front().sequence == 1U);
}
