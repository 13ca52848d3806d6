// A group that founds on three seeds, grows to five voters by itself, and loses disks and VMs on
// the way: what was acknowledged is kept through the loss of any two disks.

#define BOOST_TEST_MODULE replica_growth
#include "core/testing/replica_harness.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kSeeds = 3;
constexpr std::size_t kVms = 5;
constexpr std::size_t kTolerated = 2;

struct Site
{
    explicit Site(std::uint64_t seed)
        : harness(seed)
    {
        harness.config.members.maxVoters = kVms;
        harness.config.members.minCopies = kTolerated + 1;
        harness.config.members.replaceVoterAfter = 2s;
        harness.config.members.dropLearnerAfter = 20s;
        harness.startGroup(kSeeds);
        // Only the seeds are named in the settings of the others.
        for (std::size_t i = kSeeds; i < kVms; ++i)
            addEmpty();
    }

    FakeVm &addEmpty()
    {
        FakeVm &vm = harness.addVm({});
        harness.config.seeds.resize(kSeeds);
        return vm;
    }

    [[nodiscard]] std::size_t voters()
    {
        FakeVm *leader = harness.leader();
        return leader ? voterCount(leader->replica->membership()) : 0;
    }

    bool commits()
    {
        const std::size_t before = harness.acknowledgements;
        if (FakeVm *leader = harness.leader())
            harness.propose(*leader);
        harness.run(1s);
        return harness.acknowledgements > before;
    }

    ReplicaHarness harness;
};

bool isVoterNow(Site &site, const FakeVm &vm)
{
    FakeVm *leader = site.harness.leader();
    return leader && isVoter(leader->replica->membership(), vm.id);
}

} // namespace

BOOST_AUTO_TEST_CASE(a_group_of_three_seeds_grows_to_five_voters)
{
    Site site(1);
    site.harness.run(5s);
    BOOST_TEST(site.voters() == kVms);
    BOOST_TEST(site.commits());
}

BOOST_AUTO_TEST_CASE(a_group_of_three_acknowledges_only_with_three_copies)
{
    ReplicaHarness harness(2);
    harness.config.members.minCopies = kTolerated + 1;
    harness.startGroup(kSeeds);
    harness.run(2s);
    FakeVm *leader = harness.leader();
    BOOST_REQUIRE(leader);
    for (FakeVm &vm : harness.vms) {
        if (&vm != leader) {
            harness.crash(vm, 0);
            break;
        }
    }
    harness.propose(*leader);
    harness.run(2s);
    BOOST_TEST(harness.acknowledgements == 0U);
}

BOOST_AUTO_TEST_CASE(a_sixth_vm_waits_as_a_spare_and_takes_the_place_of_a_lost_voter)
{
    Site site(3);
    site.harness.run(5s);
    FakeVm &spare = site.addEmpty();
    site.harness.run(3s);
    BOOST_TEST(site.voters() == kVms);
    BOOST_TEST(!isVoterNow(site, spare));
    FakeVm *lost = site.harness.leader();
    BOOST_REQUIRE(lost);
    site.harness.crash(*lost, 0);
    site.harness.run(6s);
    BOOST_TEST(site.voters() == kVms);
    BOOST_TEST(isVoterNow(site, spare));
    BOOST_TEST(!isVoterNow(site, *lost));
}

BOOST_AUTO_TEST_CASE(a_replaced_voter_that_comes_back_joins_again)
{
    Site site(4);
    site.harness.run(5s);
    site.addEmpty();
    site.harness.run(3s);
    FakeVm *lost = site.harness.leader();
    BOOST_REQUIRE(lost);
    site.harness.crash(*lost, 0);
    site.harness.run(6s);
    site.harness.start(*lost);
    site.harness.run(4s);
    FakeVm *leader = site.harness.leader();
    BOOST_REQUIRE(leader);
    BOOST_TEST(findMember(leader->replica->membership(), lost->id) != nullptr);
    BOOST_TEST(site.commits());
}

BOOST_AUTO_TEST_CASE(a_follower_passes_a_wish_to_join_on_to_the_leader)
{
    Site site(5);
    site.harness.run(5s);
    // The joining VM knows one follower only.
    FakeVm *leader = site.harness.leader();
    BOOST_REQUIRE(leader);
    for (const FakeVm &vm : site.harness.vms) {
        if (vm.id != leader->id) {
            site.harness.config.seeds = {vm.id.vm};
            break;
        }
    }
    FakeVm &joining = site.harness.addVm({});
    site.harness.run(3s);
    leader = site.harness.leader();
    BOOST_REQUIRE(leader);
    BOOST_TEST(findMember(leader->replica->membership(), joining.id) != nullptr);
}

// Two disks are lost at once, right after an acknowledgement, at a random moment of the growth;
// sometimes all other VMs lose power too. What was acknowledged is there afterwards.
BOOST_AUTO_TEST_CASE(acknowledged_commands_outlive_two_disks_at_any_moment)
{
    constexpr std::uint64_t kSchedules = 400;
    std::size_t acknowledged = 0;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Site site(seed);
            std::mt19937_64 draw(seed);
            site.harness.run(std::chrono::milliseconds(draw() % 6000));
            for (int i = 0; i < 3; ++i) {
                if (FakeVm *leader = site.harness.leader())
                    site.harness.propose(*leader);
                site.harness.run(std::chrono::milliseconds(draw() % 300));
            }
            const bool losesPower = draw() % 2 == 0;
            if (losesPower) {
                for (FakeVm &vm : site.harness.vms)
                    site.harness.crash(vm, 0);
            }
            const std::size_t first = draw() % kVms;
            const std::size_t second = (first + 1 + draw() % (kVms - 1)) % kVms;
            const LogIndex before = site.harness.acknowledged;
            site.harness.loseDisk(site.harness.vms[first]);
            site.harness.loseDisk(site.harness.vms[second]);
            for (FakeVm &vm : site.harness.vms) {
                if (!vm.replica)
                    site.harness.start(vm);
            }
            site.harness.run(8s);
            // A group that had not grown yet may have lost its majority; it must not go on without
            // what it acknowledged.
            if (FakeVm *leader = site.harness.leader())
                BOOST_TEST(leader->replica->log().lastIndex() >= before);
            if (before > 0) {
                ++acknowledged;
                const bool hadGrown = site.voters() == kVms;
                BOOST_TEST((!hadGrown || site.commits()));
            }
        }
    }
    BOOST_TEST(acknowledged > kSchedules / 2);
}
