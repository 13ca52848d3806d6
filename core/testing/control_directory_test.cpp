// Which control VMs are dialled by a process that knows little.

#define BOOST_TEST_MODULE control_directory
#include "core/control_directory.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const VmId kSeed("10.0.0.1");
const VmId kLeader("10.0.0.9"); // no seed

} // namespace

// An entry that started anew knew its seeds only, and waited for a leader that was none of them.
BOOST_AUTO_TEST_CASE(a_leader_that_is_no_seed_is_dialled_once_it_is_named)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    BOOST_TEST(!directory.wanted(kStart).contains(kLeader));
    directory.heardOf(kLeader, kStart);
    BOOST_TEST(directory.wanted(kStart).contains(kLeader));
}

// A control VM that lost its disk could not answer the leader (hunt-2a25-3).
BOOST_AUTO_TEST_CASE(who_speaks_stays_wanted_though_the_own_membership_is_empty)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    directory.heardOf(kLeader, kStart);
    directory.setMembers({});
    BOOST_TEST(directory.wanted(kStart + 9s).contains(kLeader));
    BOOST_TEST(!directory.wanted(kStart + 10s).contains(kLeader));
}

BOOST_AUTO_TEST_CASE(members_and_seeds_are_always_wanted)
{
    ControlDirectory directory;
    directory.setSeeds({kSeed});
    directory.setMembers({kLeader});
    BOOST_TEST(directory.wanted(kStart + 1h).size() == 2U);
}
