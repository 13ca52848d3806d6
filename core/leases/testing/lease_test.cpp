// Tests configuration leases under faults: no entry dispatches under a revision older than one that
// was reported in force, and a change is in force within 4 s.

#define BOOST_TEST_MODULE lease
#include "core/leases/testing/lease_fixture.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

using NetworkPolicy = std::function<std::vector<Duration>(std::size_t, const LeaseMessage &)>;
using Fixture = LeaseFixture<NetworkPolicy>;

constexpr Duration kInForceTarget = 4s;
constexpr Duration kDefaultDelay = 10ms;
constexpr std::size_t kFaultyEntry = 1;

struct Fault
{
    bool active = false;
};

// A network with the default delay, except for messages of one type to or from the faulty entry
// while the fault is active.
template<typename Message>
NetworkPolicy withFaultyMessages(const Fault &fault, std::vector<Duration> delays)
{
    return [&fault, delays](std::size_t entry, const LeaseMessage &message) {
        const bool isAffected =
                fault.active && entry == kFaultyEntry && std::holds_alternative<Message>(message);
        return isAffected ? delays : std::vector<Duration>{kDefaultDelay};
    };
}

NetworkPolicy withPartition(const Fault &fault)
{
    return [&fault](std::size_t entry, const LeaseMessage &) {
        return fault.active && entry == kFaultyEntry ? std::vector<Duration>{}
                                                     : std::vector<Duration>{kDefaultDelay};
    };
}

// Runs through the first term until all entries use the first revision.
void acceptFirstRevision(Fixture &fixture)
{
    fixture.acceptChange();
    fixture.run(kInForceTarget);
    BOOST_TEST_REQUIRE((fixture.inForce() == fixture.applied()));
    for (std::size_t index = 0; index < 3; ++index)
        BOOST_TEST_REQUIRE(fixture.mayDispatch(index));
}

// Accepts a change and requires that it is in force in time and that the invariant held throughout.
void acceptAndExpectInForce(Fixture &fixture)
{
    fixture.acceptChange();
    fixture.run(kInForceTarget);
    BOOST_TEST((fixture.inForce() == fixture.applied()));
    BOOST_TEST(fixture.violations() == 0U);
    BOOST_TEST(fixture.dispatches() > 0U);
}

template<typename Message>
void testChangeWithFault(std::vector<Duration> delays)
{
    Fault fault;
    Fixture fixture(3, withFaultyMessages<Message>(fault, std::move(delays)));
    acceptFirstRevision(fixture);
    fault.active = true;
    acceptAndExpectInForce(fixture);
}

} // namespace

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_lost_requests)
{
    testChangeWithFault<LeaseRequest>({});
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_lost_grants)
{
    testChangeWithFault<LeaseGrant>({});
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_lost_fetched_revisions)
{
    testChangeWithFault<FetchedRevision>({});
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_duplicate_requests_and_grants)
{
    testChangeWithFault<LeaseRequest>({10ms, 700ms, 1900ms});
    testChangeWithFault<LeaseGrant>({10ms, 700ms, 1900ms});
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_delayed_messages)
{
    testChangeWithFault<LeaseRequest>({1800ms});
    testChangeWithFault<LeaseGrant>({1800ms});
    testChangeWithFault<FetchedRevision>({1800ms});
}

BOOST_AUTO_TEST_CASE(partitioned_entry_stops_dispatching_and_detects_timeout)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    acceptFirstRevision(fixture);
    fault.active = true;
    acceptAndExpectInForce(fixture);
    BOOST_TEST(!fixture.mayDispatch(kFaultyEntry));
    BOOST_TEST(fixture.mayDispatch(0));
    const FakeEntry &faultyEntry = fixture.entry(kFaultyEntry);
    BOOST_TEST(faultyEntry.holder.isUnresponsive(faultyEntry.clock.reading.monotonic));
    fault.active = false;
    fixture.run(1s);
    BOOST_TEST(fixture.mayDispatch(kFaultyEntry));
    BOOST_TEST((fixture.entry(kFaultyEntry).holder.heldRevision() == fixture.applied()));
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_leader_failure)
{
    // The fastest election, and the slowest one that fits into 4 s together with one lease.
    for (const Duration electionDuration : {Duration(900ms), Duration(1900ms)}) {
        Fault fault;
        Fixture fixture(3, withPartition(fault));
        acceptFirstRevision(fixture);
        fault.active = true;
        fixture.acceptChange();
        fixture.isolateLeader();
        fixture.run(electionDuration);
        fixture.elect();
        fixture.run(kInForceTarget - electionDuration);
        BOOST_TEST((fixture.inForce() == fixture.applied()));
        BOOST_TEST(fixture.violations() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(resumed_entry_does_not_dispatch_under_old_revision)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    acceptFirstRevision(fixture);
    fixture.entry(kFaultyEntry).frozen = true;
    acceptAndExpectInForce(fixture);
    fixture.entry(kFaultyEntry).frozen = false;
    fault.active = true;
    fixture.run(3s);
    BOOST_TEST(fixture.violations() == 0U);
}

BOOST_AUTO_TEST_CASE(entry_resumed_after_clock_stood_still_does_not_dispatch_under_old_revision)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    acceptFirstRevision(fixture);
    fixture.entry(kFaultyEntry).frozen = true;
    fixture.entry(kFaultyEntry).clock.suspended = true;
    acceptAndExpectInForce(fixture);
    fixture.entry(kFaultyEntry).frozen = false;
    fixture.entry(kFaultyEntry).clock.suspended = false;
    fault.active = true;
    fixture.run(3s);
    BOOST_TEST(fixture.violations() == 0U);
}

BOOST_AUTO_TEST_CASE(change_is_in_force_in_time_despite_clock_drift)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    fixture.entry(kFaultyEntry).clock.rate = 0.975;
    fixture.leader().clock.rate = 1.025;
    acceptFirstRevision(fixture);
    fault.active = true;
    acceptAndExpectInForce(fixture);
}

BOOST_AUTO_TEST_CASE(lease_invariant_holds_when_entry_clock_jumps_back)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    acceptFirstRevision(fixture);
    fault.active = true;
    fixture.run(1s);
    fixture.entry(kFaultyEntry).clock.reading.monotonic -= 900ms;
    acceptAndExpectInForce(fixture);
}

BOOST_AUTO_TEST_CASE(lease_invariant_holds_when_leader_clock_jumps_ahead)
{
    Fault fault;
    Fixture fixture(3, withPartition(fault));
    acceptFirstRevision(fixture);
    fault.active = true;
    fixture.acceptChange();
    fixture.run(200ms);
    fixture.leader().clock.reading.monotonic += 1h;
    fixture.run(kInForceTarget);
    BOOST_TEST((fixture.inForce() == fixture.applied()));
    BOOST_TEST(fixture.violations() == 0U);
}

BOOST_AUTO_TEST_CASE(lease_of_previous_incarnation_delays_in_force)
{
    const ClockReading start{Instant(1h), WallTime(1h)};
    InForceTracker tracker;
    tracker.recordGrant({VmId("e"), Incarnation(1)}, Revision(1), start);
    tracker.recordGrant({VmId("e"), Incarnation(2)}, Revision(2), start);
    tracker.confirm({VmId("e"), Incarnation(2)}, Revision(2));
    BOOST_TEST((tracker.poll(Revision(2), start) == Revision(1)));
    BOOST_TEST_REQUIRE(tracker.pending(Revision(2)).size() == 1U);
    BOOST_TEST((tracker.pending(Revision(2))[0].entry.incarnation == Incarnation(1)));
    const ClockReading later{start.monotonic + kConfigLeaseDuration,
                             start.wall + kConfigLeaseDuration};
    BOOST_TEST((tracker.poll(Revision(2), later) == Revision(2)));
}

BOOST_AUTO_TEST_CASE(grant_requires_valid_leader_lease)
{
    const ClockReading now{Instant(1h), WallTime(1h)};
    const LeaseRequest request{GroupId(0), {VmId("e"), Incarnation(1)}, 1, Revision(0)};
    const LeaderAuthority validAuthority{3, now.monotonic + 1s, true};
    LeaseGranter granter{GroupId(0)};
    BOOST_TEST((granter.grant(request, validAuthority, Revision(1), now).error().code
                == CoreError::NotLeader));
    granter.startTerm(validAuthority, now);
    BOOST_TEST(
            (granter.grant(request, {3, now.monotonic + 1s, false}, Revision(1), now).error().code
             == CoreError::NotLeader));
    BOOST_TEST((granter.grant(request, {3, now.monotonic, true}, Revision(1), now).error().code
                == CoreError::LeaseExpired));
    BOOST_TEST(granter.grant(request, validAuthority, Revision(1), now).has_value());
}

namespace {

// Random delays, losses and duplicates.
struct RandomNetwork
{
    std::mt19937_64 *random;

    std::vector<Duration> operator()(std::size_t, const LeaseMessage &)
    {
        const std::uint64_t sample = (*random)() % 100;
        if (sample < 15)
            return {};
        const Duration delay = std::chrono::milliseconds((*random)() % (sample < 30 ? 2500 : 40));
        if (sample < 25)
            return {delay, delay * 2};
        return {delay};
    }
};

class RandomSchedule
{
public:
    explicit RandomSchedule(std::uint64_t seed)
        : random_(seed)
        , fixture_(3, RandomNetwork{&random_})
    {
        for (std::size_t index = 0; index < 3; ++index)
            fixture_.entry(index).clock.rate = 0.975 + 0.001 * static_cast<double>(random_() % 51);
    }

    void run()
    {
        for (int round = 0; round < 40; ++round) {
            injectFault();
            fixture_.run(std::chrono::milliseconds(random_() % 300));
        }
        fixture_.run(kInForceTarget);
    }

    [[nodiscard]] const LeaseFixture<RandomNetwork> &fixture() const { return fixture_; }

private:
    void injectFault()
    {
        FakeEntry &entry = fixture_.entry(random_() % 3);
        switch (random_() % 7) {
        case 0:
        case 1:
            fixture_.acceptChange();
            break;
        case 2:
            entry.frozen = !entry.frozen;
            entry.clock.suspended = entry.frozen && random_() % 2 == 0;
            break;
        case 3:
            entry.clock.reading.monotonic += std::chrono::milliseconds(random_() % 3000);
            break;
        case 4:
            fixture_.leader().clock.reading.monotonic +=
                    std::chrono::milliseconds(random_() % 3000);
            break;
        case 5:
            entry.clock.reading.monotonic -= std::chrono::milliseconds(random_() % 1500);
            break;
        default:
            fixture_.isolateLeader();
            fixture_.run(LeaseFixture<RandomNetwork>::kLeaderLease * 2);
            fixture_.elect();
            fixture_.leader().clock.rate = 0.975 + 0.001 * static_cast<double>(random_() % 51);
        }
    }

    std::mt19937_64 random_;
    LeaseFixture<RandomNetwork> fixture_;
};

} // namespace

BOOST_AUTO_TEST_CASE(random_schedules_preserve_lease_invariant)
{
    constexpr std::uint64_t kFirstSeed = 1;
    constexpr std::uint64_t kSchedules = 2000;
    BOOST_TEST_MESSAGE("seeds " << kFirstSeed << " to " << kFirstSeed + kSchedules - 1);
    for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSchedules; ++seed) {
        RandomSchedule schedule(seed);
        schedule.run();
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST_REQUIRE(schedule.fixture().violations() == 0U);
            BOOST_TEST_REQUIRE((schedule.fixture().inForce() == schedule.fixture().applied()));
            BOOST_TEST_REQUIRE(schedule.fixture().dispatches() > 0U);
        }
    }
}
