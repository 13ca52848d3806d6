// Tests which control VMs a process connects to before it has a membership.

#define BOOST_TEST_MODULE control_directory
#include "core/site/control_directory.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const VmId kSeed("10.0.0.1");
const VmId kLeader("10.0.0.9"); // not a seed

} // namespace

// A restarted entry knew only its seeds and never connected to a leader that was not one of them.
BOOST_AUTO_TEST_CASE(non_seed_leader_becomes_connection_target_after_contact)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    BOOST_TEST(!directory.connectionTargets(kStart).contains(kLeader));
    directory.recordContact(kLeader, kStart);
    BOOST_TEST(directory.connectionTargets(kStart).contains(kLeader));
}

// Regression test for hunt-2a25-3 in docs/FAULTS.md: a control VM that lost its disk had an empty
// membership and therefore no connection on which to reply to the leader.
BOOST_AUTO_TEST_CASE(contact_remains_connection_target_while_membership_is_empty)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    directory.recordContact(kLeader, kStart);
    directory.setMembers({});
    BOOST_TEST(directory.connectionTargets(kStart + 9s).contains(kLeader));
    BOOST_TEST(!directory.connectionTargets(kStart + 10s).contains(kLeader));
}

BOOST_AUTO_TEST_CASE(members_and_seeds_are_permanent_connection_targets)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    directory.setMembers({kLeader});
    BOOST_TEST(directory.connectionTargets(kStart + 1h).size() == 2U);
}
