// Merging of endpoint records in any order, with reused ids and addresses.

#define BOOST_TEST_MODULE endpoint_registry
#include "core/endpoints/endpoint_registry.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};

EndpointRecord makeRecord(const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence)
{
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = ServiceName("llm");
    record.address = "10.0.0.9:8080";
    record.version = VersionName("v1");
    record.slots = 8;
    record.startedAtMs = startedAtMs;
    record.sequence = sequence;
    return record;
}

EndpointRecordState stateOf(const EndpointRegistry &registry, const std::string &id)
{
    const EndpointRecord *found = registry.find(EndpointId(id));
    return found ? found->state : EndpointRecordState::Removed;
}

} // namespace

// Guards against entries that aren't told that an endpoint has turned cold, or stays so for longer.
BOOST_AUTO_TEST_CASE(later_end_of_the_warmup_is_a_change)
{
    EndpointRegistry registry;
    EndpointRecord record;
    record.id = EndpointId("warming");
    record.address = "10.9.0.1:80";
    const auto report = [&](std::uint32_t warmupMs, std::chrono::milliseconds at) {
        ++record.sequence;
        record.warmupMs = warmupMs;
        return registry.apply(record, Instant{1h} + at);
    };
    BOOST_TEST((report(2000, 0ms) == RegistryChange::Changed));
    BOOST_TEST((report(800, 1200ms) == RegistryChange::Refreshed));
    BOOST_TEST((report(0, 2400ms) == RegistryChange::Refreshed));
    BOOST_TEST((report(500, 3600ms) == RegistryChange::Changed));
    BOOST_TEST((report(500, 4800ms) == RegistryChange::Changed));
}

BOOST_AUTO_TEST_CASE(reports_are_ordered_by_sequence_not_by_arrival)
{
    EndpointRegistry registry;
    EndpointRecord draining = makeRecord("a", 100, 3);
    draining.state = EndpointRecordState::Draining;
    BOOST_TEST((registry.apply(draining, kStart) == RegistryChange::Changed));
    BOOST_TEST((registry.apply(makeRecord("a", 100, 2), kStart) == RegistryChange::Outdated));
    BOOST_TEST((stateOf(registry, "a") == EndpointRecordState::Draining));
}

BOOST_AUTO_TEST_CASE(unchanged_report_only_refreshes_the_expiry)
{
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("a", 100, 1), kStart);
    BOOST_TEST((registry.apply(makeRecord("a", 100, 2), kStart + 1s) == RegistryChange::Refreshed));
    BOOST_TEST(registry.expire(kStart + 5s, 5s, 60s).empty());
    BOOST_TEST(registry.expire(kStart + 6s, 5s, 60s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(restart_under_the_same_id_is_a_new_incarnation)
{
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("a", 100, 50), kStart);
    (void)registry.deregister(EndpointId("a"), 0, kStart);
    BOOST_TEST((registry.apply(makeRecord("a", 100, 51), kStart) == RegistryChange::Outdated));
    BOOST_TEST((registry.apply(makeRecord("a", 200, 1), kStart) == RegistryChange::Changed));
    BOOST_TEST((stateOf(registry, "a") == EndpointRecordState::Ready));
    // A deregistration of the earlier incarnation arrives late.
    BOOST_TEST((registry.deregister(EndpointId("a"), 100, kStart) == RegistryChange::Outdated));
    BOOST_TEST((stateOf(registry, "a") == EndpointRecordState::Ready));
}

BOOST_AUTO_TEST_CASE(later_incarnation_takes_over_a_shared_address)
{
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("old", 100, 9), kStart);
    (void)registry.apply(makeRecord("new", 200, 1), kStart);
    BOOST_TEST((stateOf(registry, "old") == EndpointRecordState::Removed));
    BOOST_TEST((stateOf(registry, "new") == EndpointRecordState::Ready));
    // A late report of the first endpoint is ignored, also by a registry that contains only the
    // second.
    BOOST_TEST((registry.apply(makeRecord("old", 100, 10), kStart) == RegistryChange::Outdated));
    EndpointRegistry other;
    (void)other.apply(makeRecord("new", 200, 1), kStart);
    BOOST_TEST((other.apply(makeRecord("old", 100, 10), kStart) == RegistryChange::Outdated));
}

BOOST_AUTO_TEST_CASE(unresponsive_flag_is_a_change_and_is_cleared_by_the_next_report)
{
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("a", 100, 1), kStart);
    EndpointRecord unresponsive = makeRecord("a", 100, 1);
    unresponsive.unresponsive = true;
    BOOST_TEST((registry.apply(unresponsive, kStart) == RegistryChange::Changed));
    BOOST_TEST(registry.find(EndpointId("a"))->unresponsive);
    BOOST_TEST((registry.apply(makeRecord("a", 100, 2), kStart) == RegistryChange::Changed));
    BOOST_TEST(!registry.find(EndpointId("a"))->unresponsive);
}

BOOST_AUTO_TEST_CASE(removed_endpoints_are_dropped_after_the_retention)
{
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("a", 100, 1), kStart);
    (void)registry.deregister(EndpointId("a"), 0, kStart);
    (void)registry.expire(kStart + 59s, 5s, 60s);
    BOOST_TEST(registry.all().size() == 1U);
    (void)registry.expire(kStart + 60s, 5s, 60s);
    BOOST_TEST(registry.all().empty());
}

// Guards against entries that forget ready endpoints because nothing about them changes, and refuse
// all requests (review/1).
BOOST_AUTO_TEST_CASE(ready_endpoint_without_changes_is_never_obsolete)
{
    const RecordRetention retention{90s, 600s};
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("a", 100, 1), kStart);
    for (const auto age : {89s, 90s, 91s, 3600s, 86400s})
        BOOST_TEST(registry.dropObsolete(kStart + age, kStart, retention).empty());
    BOOST_TEST((stateOf(registry, "a") == EndpointRecordState::Ready));
}

// Guards against endpoints that were removed while the registry had no sender: nothing reports the
// removal afterwards.
BOOST_AUTO_TEST_CASE(endpoint_that_a_new_connection_does_not_confirm_is_dropped)
{
    const RecordRetention retention{90s, 600s};
    EndpointRegistry registry;
    const auto apply = [&](const std::string &id, std::uint64_t startedAtMs, std::uint64_t sequence,
                           Instant now) {
        EndpointRecord record = makeRecord(id, startedAtMs, sequence);
        record.address = id + ":8080";
        return registry.apply(record, now);
    };
    (void)apply("kept", 100, 5, kStart);
    (void)apply("lost", 100, 5, kStart);
    (void)apply("restarted", 100, 5, kStart);
    const Instant reconnectedAt = kStart + 120s;
    // An outdated report of the same incarnation still shows that the sender knows the endpoint.
    BOOST_TEST((apply("kept", 100, 4, reconnectedAt) == RegistryChange::Outdated));
    (void)apply("restarted", 99, 9, reconnectedAt);
    BOOST_TEST(registry.dropObsolete(reconnectedAt + 89s, reconnectedAt, retention).empty());
    BOOST_TEST(registry.dropObsolete(reconnectedAt + 90s, reconnectedAt, retention).size() == 2U);
    BOOST_TEST(registry.all().size() == 1U);
    BOOST_TEST((stateOf(registry, "kept") == EndpointRecordState::Ready));
}

// Guards against entries that forget endpoints that only the control VMs can't reach: they may
// still answer requests.
BOOST_AUTO_TEST_CASE(unresponsive_and_removed_endpoints_have_their_own_retention)
{
    const RecordRetention retention{90s, 600s};
    EndpointRegistry registry;
    EndpointRecord unresponsive = makeRecord("a", 100, 1);
    unresponsive.unresponsive = true;
    (void)registry.apply(unresponsive, kStart);
    EndpointRecord removed = makeRecord("b", 100, 1);
    removed.address = "10.0.0.8:8080";
    (void)registry.apply(removed, kStart);
    (void)registry.deregister(EndpointId("b"), 0, kStart + 10s);
    (void)registry.dropObsolete(kStart + 99s, kStart, retention);
    BOOST_TEST(registry.all().size() == 2U);
    BOOST_TEST(registry.dropObsolete(kStart + 100s, kStart, retention).empty());
    BOOST_TEST(registry.find(EndpointId("b")) == nullptr);
    BOOST_TEST(registry.dropObsolete(kStart + 599s, kStart, retention).empty());
    BOOST_TEST(registry.dropObsolete(kStart + 600s, kStart, retention).size() == 1U);
}

// Guards against a delayed report that brings back an endpoint whose address was taken over.
BOOST_AUTO_TEST_CASE(endpoint_whose_address_was_taken_over_is_kept_as_removed)
{
    const RecordRetention retention{90s, 600s};
    EndpointRegistry registry;
    (void)registry.apply(makeRecord("old", 100, 1), kStart);
    (void)registry.apply(makeRecord("new", 200, 1), kStart + 200s);
    (void)registry.dropObsolete(kStart + 201s, kStart, retention);
    BOOST_TEST(registry.all().size() == 2U);
    (void)registry.dropObsolete(kStart + 290s, kStart, retention);
    BOOST_TEST(registry.all().size() == 1U);
}
