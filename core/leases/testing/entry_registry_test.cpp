// Detection of alive, leaving and failed VMs, and of lost claimants.

#define BOOST_TEST_MODULE entry_registry
#include "core/leases/entry_registry.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const VmId kVm("vm1");

EntryHeartbeat makeHeartbeat(std::uint64_t incarnation, std::uint64_t sequence,
                             bool leaving = false)
{
    return EntryHeartbeat{{kVm, Incarnation(incarnation)}, sequence, DataCentreId("dc"), leaving};
}

} // namespace

BOOST_AUTO_TEST_CASE(vm_without_heartbeats_has_failed_unless_it_is_leaving)
{
    EntryRegistry registry(kStart);
    BOOST_TEST((registry.heartbeat(makeHeartbeat(1, 1), kStart) == EntryChange::Joined));
    const Instant late = kStart + EntryRegistry::kFailureTimeout;
    BOOST_TEST(registry.expire(late - 1ms).empty());
    BOOST_TEST((registry.find(kVm, late)->liveness == VmLiveness::Failed));
    BOOST_TEST_REQUIRE(registry.expire(late).size() == 1U);
    BOOST_TEST((registry.heartbeat(makeHeartbeat(2, 1), late) == EntryChange::Joined));
    BOOST_TEST((registry.heartbeat(makeHeartbeat(2, 2, true), late) == EntryChange::Leaving));
    BOOST_TEST((registry.find(kVm, late)->liveness == VmLiveness::Leaving));
    BOOST_TEST(registry.expire(late + EntryRegistry::kFailureTimeout).empty());
    BOOST_TEST(registry.all(late).empty());
}

BOOST_AUTO_TEST_CASE(outdated_and_repeated_heartbeats_are_ignored)
{
    EntryRegistry registry(kStart);
    registry.heartbeat(makeHeartbeat(2, 5, true), kStart);
    BOOST_TEST((registry.heartbeat(makeHeartbeat(2, 5), kStart + 1s) == EntryChange::None));
    BOOST_TEST((registry.heartbeat(makeHeartbeat(1, 9), kStart + 1s) == EntryChange::None));
    BOOST_TEST((registry.heartbeat(makeHeartbeat(2, 6), kStart + 1s) == EntryChange::Refreshed));
    BOOST_TEST((registry.find(kVm, kStart + 1s)->liveness == VmLiveness::Leaving));
    BOOST_TEST((registry.heartbeat(makeHeartbeat(3, 1), kStart + 1s) == EntryChange::Restarted));
    BOOST_TEST((registry.find(kVm, kStart + 1s)->liveness == VmLiveness::Alive));
}

BOOST_AUTO_TEST_CASE(claimant_is_lost_after_restart_or_timeout_measured_from_the_election)
{
    EntryRegistry registry(kStart);
    const VmIncarnation first{kVm, Incarnation(1)};
    const Instant late = kStart + EntryRegistry::kFailureTimeout;
    BOOST_TEST(!registry.isLost(first, late - 1ms));
    BOOST_TEST(registry.isLost(first, late));
    registry.heartbeat(makeHeartbeat(1, 1), late);
    BOOST_TEST(!registry.isLost(first, late));
    registry.heartbeat(makeHeartbeat(2, 1), late);
    BOOST_TEST(!registry.isLost(first, late));
    registry.heartbeat(makeHeartbeat(2, 2), late + 1s);
    const Instant later = late + EntryRegistry::kFailureTimeout;
    BOOST_TEST(registry.isLost(first, later));
    BOOST_TEST(!registry.isLost({kVm, Incarnation(2)}, later));
    registry.recordActivity({kVm, Incarnation(2)}, later);
    BOOST_TEST(
            !registry.isLost({kVm, Incarnation(2)}, later + EntryRegistry::kFailureTimeout - 1ms));
    BOOST_TEST(registry.isLost({kVm, Incarnation(2)}, later + EntryRegistry::kFailureTimeout));
}
