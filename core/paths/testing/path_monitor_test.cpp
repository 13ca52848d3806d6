// Unit tests of the detection of a lost path to the endpoints, and of the choice of relays.

#define BOOST_TEST_MODULE path_monitor
#include "core/paths/path_monitor.h"
#include "core/paths/relay_choice.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;

EndpointId endpoint(int number)
{
    return EndpointId("i-" + std::to_string(number));
}

struct PathFixture
{
    PathFixture()
    {
        path.setEndpointCount(12);
        path.check(now);
    }

    // Advances the time with the usual checks.
    void advance(Duration duration)
    {
        const Instant end = now + duration;
        while (now < end) {
            now = std::min(end, now + PathMonitor::kCheckInterval);
            path.check(now);
        }
    }

    void failConnections(int first, int last)
    {
        for (int i = first; i <= last; ++i)
            path.recordConnectFailure(endpoint(i), now);
    }

    void startRequests(int first, int last)
    {
        for (int i = first; i <= last; ++i)
            (void)path.startWaiting(endpoint(i), now);
    }

    Instant now = kStart;
    PathMonitor path;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(failed_connections_to_three_endpoints_mean_isolation, PathFixture)
{
    failConnections(1, 2);
    failConnections(1, 2);
    BOOST_TEST(!path.isIsolated());
    advance(600ms);
    failConnections(3, 3);
    BOOST_TEST((path.state() == PathState::Refusing));
    BOOST_TEST(path.evidence(now).failedEndpoints == 3U);
}

// Guards against endpoints that crash while others accept connections.
BOOST_FIXTURE_TEST_CASE(a_successful_connection_clears_the_failures, PathFixture)
{
    for (int i = 1; i <= 6; ++i) {
        failConnections(i, i + 1);
        path.recordBytes(now, now);
    }
    BOOST_TEST(!path.isIsolated());
}

BOOST_FIXTURE_TEST_CASE(bytes_of_older_connections_do_not_clear_the_failures, PathFixture)
{
    failConnections(1, 2);
    path.recordBytes(std::nullopt, now);
    failConnections(3, 3);
    BOOST_TEST(path.isIsolated());
}

// Guards against late first bytes of connections that were opened before the path was lost.
BOOST_FIXTURE_TEST_CASE(earlier_connections_do_not_clear_the_failures, PathFixture)
{
    const Instant before = now;
    advance(100ms);
    failConnections(1, 2);
    path.recordBytes(before, now);
    failConnections(3, 3);
    BOOST_TEST(path.isIsolated());
}

BOOST_FIXTURE_TEST_CASE(failures_that_lie_far_apart_do_not_add_up, PathFixture)
{
    for (int i = 1; i <= 6; ++i) {
        failConnections(i, i);
        advance(1600ms);
    }
    BOOST_TEST(!path.isIsolated());
}

BOOST_FIXTURE_TEST_CASE(fewer_endpoints_suffice_if_fewer_are_known, PathFixture)
{
    path.setEndpointCount(2);
    failConnections(1, 2);
    BOOST_TEST(path.isIsolated());
}

// Guards against one crashed endpoint that makes all entries of a small site not ready.
BOOST_FIXTURE_TEST_CASE(one_endpoint_is_never_enough, PathFixture)
{
    path.setEndpointCount(1);
    failConnections(1, 1);
    startRequests(1, 1);
    advance(5s);
    BOOST_TEST(!path.isIsolated());
}

// The platform's entries get about 15 requests a second and have 4 s to react.
BOOST_FIXTURE_TEST_CASE(silence_of_all_endpoints_is_found_within_two_seconds, PathFixture)
{
    path.recordBytes(std::nullopt, now);
    int requests = 0;
    while (!path.isIsolated() && now - kStart < 4s) {
        (void)path.startWaiting(endpoint(++requests % 12), now);
        advance(66ms);
    }
    BOOST_TEST((path.state() == PathState::Silent));
    BOOST_TEST((now - kStart < 2s));
}

BOOST_FIXTURE_TEST_CASE(any_byte_ends_a_silence, PathFixture)
{
    startRequests(1, 6);
    for (int i = 0; i < 10; ++i) {
        advance(900ms);
        path.recordBytes(std::nullopt, now);
    }
    BOOST_TEST(!path.isIsolated());
}

// Guards against an entry with little traffic that takes slow answers for silence.
BOOST_FIXTURE_TEST_CASE(silence_of_few_endpoints_is_no_evidence, PathFixture)
{
    startRequests(1, 2);
    startRequests(1, 2);
    advance(5s);
    BOOST_TEST(!path.isIsolated());
    startRequests(3, 3); // has to wait as long
    advance(900ms);
    BOOST_TEST(!path.isIsolated());
    advance(100ms);
    BOOST_TEST((path.state() == PathState::Silent));
}

BOOST_FIXTURE_TEST_CASE(ended_requests_do_not_count, PathFixture)
{
    for (int i = 1; i <= 6; ++i) {
        const PathMonitor::WaitToken token = path.startWaiting(endpoint(i), now);
        advance(400ms);
        path.endWaiting(token);
    }
    advance(3s);
    BOOST_TEST(!path.isIsolated());
}

// Guards against a process that was stopped: the bytes that arrived meanwhile are not read yet.
BOOST_FIXTURE_TEST_CASE(silence_while_the_process_was_stopped_does_not_count, PathFixture)
{
    startRequests(1, 6);
    now += 4s;
    path.check(now);
    BOOST_TEST(!path.isIsolated());
    advance(900ms);
    BOOST_TEST(!path.isIsolated());
    advance(100ms);
    BOOST_TEST(path.isIsolated());
}

// Guards against idle connections that hang: they are still used while new ones fail.
BOOST_FIXTURE_TEST_CASE(silence_follows_failed_connections_with_fewer_endpoints, PathFixture)
{
    failConnections(1, 3);
    startRequests(4, 5);
    advance(900ms);
    BOOST_TEST((path.state() == PathState::Refusing));
    advance(200ms);
    BOOST_TEST((path.state() == PathState::Silent));
}

BOOST_FIXTURE_TEST_CASE(only_connections_opened_since_end_isolation, PathFixture)
{
    const Instant before = now;
    advance(200ms);
    failConnections(1, 3);
    path.recordBytes(before, now);
    path.recordBytes(std::nullopt, now);
    BOOST_TEST(path.isIsolated());
    advance(500ms);
    path.recordBytes(now - 100ms, now);
    BOOST_TEST(!path.isIsolated());
    BOOST_TEST(path.evidence(now).failedEndpoints == 0U);
}

BOOST_FIXTURE_TEST_CASE(direct_path_is_probed_soon_and_then_once_a_second, PathFixture)
{
    BOOST_TEST(!path.tryProbe(now));
    failConnections(1, 3);
    BOOST_TEST(!path.tryProbe(now));
    int probes = 0;
    for (int i = 0; i < 50; ++i) {
        advance(100ms);
        probes += path.tryProbe(now) ? 1 : 0;
        failConnections(1, 3); // failures of probes change nothing
    }
    BOOST_TEST(probes == 5); // after 0.3 s, 1.3 s, ... 4.3 s
}

BOOST_AUTO_TEST_CASE(relays_take_turns_and_cool_down)
{
    RelayChooser relays(VmId("10.0.0.9"));
    BOOST_TEST(!relays.next(kStart));
    relays.setRelays({VmId("a"), VmId("b"), VmId("c"), VmId("d")});
    std::set<VmId> used;
    for (int i = 0; i < 6; ++i)
        used.insert(*relays.next(kStart));
    BOOST_TEST((used == std::set<VmId>{VmId("a"), VmId("b"), VmId("c")}));
    for (const char *relay : {"a", "c", "d"})
        relays.recordFailure(VmId(relay), kStart);
    BOOST_TEST(relays.next(kStart + 100ms)->value() == "b");
    BOOST_TEST(relays.next(kStart + 100ms)->value() == "b");
    relays.recordFailure(VmId("b"), kStart + 1s);
    BOOST_TEST(!relays.hasUsable(kStart + 1s));
    BOOST_TEST(relays.hasUsable(kStart + 2s));
}
