// Merging reports of endpoints in any order, with reused ids and addresses.

#define BOOST_TEST_MODULE endpoint_registry
#include "core/endpoint_registry.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};

EndpointRecord record(const std::string &id, std::uint64_t bornMs, std::uint64_t sequence)
{
    EndpointRecord made;
    made.id = EndpointId(id);
    made.service = ServiceName("llm");
    made.address = "10.0.0.9:8080";
    made.version = VersionName("v1");
    made.slots = 8;
    made.bornMs = bornMs;
    made.sequence = sequence;
    return made;
}

EndpointState stateOf(const EndpointRegistry &registry, const std::string &id)
{
    const EndpointRecord *found = registry.find(EndpointId(id));
    return found ? found->state : EndpointState::Gone;
}

} // namespace

BOOST_AUTO_TEST_CASE(later_reports_win_whatever_comes_first)
{
    EndpointRegistry registry;
    EndpointRecord draining = record("a", 100, 3);
    draining.state = EndpointState::Draining;
    BOOST_TEST((registry.apply(draining, kStart) == RegistryChange::Changed));
    BOOST_TEST((registry.apply(record("a", 100, 2), kStart) == RegistryChange::Outdated));
    BOOST_TEST((stateOf(registry, "a") == EndpointState::Draining));
}

BOOST_AUTO_TEST_CASE(the_same_content_again_is_only_a_sign_of_life)
{
    EndpointRegistry registry;
    (void)registry.apply(record("a", 100, 1), kStart);
    BOOST_TEST((registry.apply(record("a", 100, 2), kStart + 1s) == RegistryChange::Refreshed));
    BOOST_TEST(registry.expire(kStart + 5s, 5s, 60s).empty());
    BOOST_TEST(registry.expire(kStart + 6s, 5s, 60s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_old_id_is_a_new_life)
{
    EndpointRegistry registry;
    (void)registry.apply(record("a", 100, 50), kStart);
    (void)registry.leave(EndpointId("a"), 0, kStart);
    BOOST_TEST((registry.apply(record("a", 100, 51), kStart) == RegistryChange::Outdated));
    BOOST_TEST((registry.apply(record("a", 200, 1), kStart) == RegistryChange::Changed));
    BOOST_TEST((stateOf(registry, "a") == EndpointState::Ready));
    // A goodbye of the earlier life comes late.
    BOOST_TEST((registry.leave(EndpointId("a"), 100, kStart) == RegistryChange::Outdated));
    BOOST_TEST((stateOf(registry, "a") == EndpointState::Ready));
}

BOOST_AUTO_TEST_CASE(of_two_at_one_address_the_later_life_holds_it)
{
    EndpointRegistry registry;
    (void)registry.apply(record("old", 100, 9), kStart);
    (void)registry.apply(record("new", 200, 1), kStart);
    BOOST_TEST((stateOf(registry, "old") == EndpointState::Gone));
    BOOST_TEST((stateOf(registry, "new") == EndpointState::Ready));
    // A late report of the first one changes nothing, here or where only the second is known.
    BOOST_TEST((registry.apply(record("old", 100, 10), kStart) == RegistryChange::Outdated));
    EndpointRegistry other;
    (void)other.apply(record("new", 200, 1), kStart);
    BOOST_TEST((other.apply(record("old", 100, 10), kStart) == RegistryChange::Outdated));
}

BOOST_AUTO_TEST_CASE(silence_is_news_and_ends_with_the_next_report)
{
    EndpointRegistry registry;
    (void)registry.apply(record("a", 100, 1), kStart);
    EndpointRecord silent = record("a", 100, 1);
    silent.silent = true;
    BOOST_TEST((registry.apply(silent, kStart) == RegistryChange::Changed));
    BOOST_TEST(registry.find(EndpointId("a"))->silent);
    BOOST_TEST((registry.apply(record("a", 100, 2), kStart) == RegistryChange::Changed));
    BOOST_TEST(!registry.find(EndpointId("a"))->silent);
}

BOOST_AUTO_TEST_CASE(the_ended_are_forgotten_after_the_retention)
{
    EndpointRegistry registry;
    (void)registry.apply(record("a", 100, 1), kStart);
    (void)registry.leave(EndpointId("a"), 0, kStart);
    (void)registry.expire(kStart + 59s, 5s, 60s);
    BOOST_TEST(registry.all().size() == 1U);
    (void)registry.expire(kStart + 60s, 5s, 60s);
    BOOST_TEST(registry.all().empty());
}
