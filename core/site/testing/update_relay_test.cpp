// Paths of entry updates through control VMs, and the choice of an entry's home.

#define BOOST_TEST_MODULE update_relay
#include "core/site/home_choice.h"
#include "core/site/update_relay.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace fireflyroute::core;

namespace {

EntryUpdate sessionUpdate(const std::string &session, bool ended)
{
    EntryUpdate update;
    update.sessions = {{SessionId(session), VersionName("v1"), ended}};
    return update;
}

std::vector<HomeCandidate> candidates()
{
    return {{VmId("c1"), false}, {VmId("c2"), true}, {VmId("c3"), true}, {VmId("c4"), false}};
}

} // namespace

// Guards against an update crossing a link between regions once for each entry behind it, as when
// the leader forwarded every update to every entry.
BOOST_AUTO_TEST_CASE(update_is_forwarded_once_to_each_control_vm_and_from_there_to_entries)
{
    UpdateRelay home;
    home.addFromEntry(sessionUpdate("s", false));
    home.addFromEntry(sessionUpdate("s", true));
    const UpdateRelay::Batch first = home.take();
    BOOST_TEST(first.forControlVms.sessions.size() == 2U);
    BOOST_TEST(!first.forControlVms.sessions.front().ended);
    BOOST_TEST((first.forEntries == first.forControlVms));
    UpdateRelay other;
    other.addFromControlVm(first.forControlVms);
    const UpdateRelay::Batch second = other.take();
    BOOST_TEST(second.forControlVms.isEmpty());
    BOOST_TEST((second.forEntries == first.forControlVms));
    BOOST_TEST(home.take().forEntries.isEmpty());
}

// Guards against a batch that grows without bounds while a control VM is busy. Sessions and
// refusing endpoints are kept: rules depend on them.
BOOST_AUTO_TEST_CASE(prompts_beyond_the_limit_are_dropped_and_nothing_else)
{
    UpdateRelay relay;
    EntryUpdate update = sessionUpdate("s", true);
    update.prompts.assign(UpdateRelay::kMaxPrompts - 1, {EndpointId("e"), {7}});
    update.refusingEndpoints = {EndpointId("f")};
    relay.addFromControlVm(update);
    relay.addFromControlVm(update);
    const EntryUpdate batch = relay.take().forEntries;
    BOOST_TEST(batch.prompts.size() == UpdateRelay::kMaxPrompts);
    BOOST_TEST(batch.sessions.size() == 2U);
    BOOST_TEST(batch.refusingEndpoints.size() == 2U);
    BOOST_TEST(relay.droppedPrompts() == UpdateRelay::kMaxPrompts - 2);
}

BOOST_AUTO_TEST_CASE(entries_spread_over_the_control_vms_of_their_region)
{
    std::map<std::string, int> homes;
    for (int i = 0; i < 200; ++i)
        ++homes[chooseHome(VmId("entry-" + std::to_string(i)), candidates())->value()];
    BOOST_TEST(homes.size() == 2U);
    BOOST_TEST(homes["c2"] > 60);
    BOOST_TEST(homes["c3"] > 60);
}

BOOST_AUTO_TEST_CASE(home_is_in_another_region_only_if_none_in_the_own_is_connected)
{
    const VmId entry("entry");
    BOOST_TEST(!chooseHome(entry, {}));
    const auto home = chooseHome(entry, {{VmId("c1"), false}, {VmId("c4"), false}});
    BOOST_REQUIRE(home);
    BOOST_TEST(chooseHome(entry, {{VmId("c1"), false}, {VmId("c2"), true}})->value() == "c2");
}

// Guards against all entries changing their home whenever one control VM leaves.
BOOST_AUTO_TEST_CASE(entries_of_other_homes_keep_theirs_if_a_control_vm_leaves)
{
    for (int i = 0; i < 100; ++i) {
        const VmId entry("entry-" + std::to_string(i));
        const VmId before = *chooseHome(entry, candidates());
        const VmId after = *chooseHome(entry, {{VmId("c1"), false}, {VmId("c3"), true}});
        BOOST_TEST((before == VmId("c2") || after == before));
    }
}
