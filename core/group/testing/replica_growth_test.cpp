// Tests a group that starts with three seeds, grows to five voters automatically, and loses disks
// and VMs meanwhile. Acknowledged entries must survive the loss of any two disks.

#define BOOST_TEST_MODULE replica_growth
#include "core/group/testing/replica_harness.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kSeedVms = 3;
constexpr std::size_t kVms = 5;
constexpr std::size_t kToleratedDiskLosses = 2;

struct GrowingGroup
{
    explicit GrowingGroup(std::uint64_t seed)
        : harness(seed)
    {
        harness.config.membershipPolicy.maxVoters = kVms;
        harness.config.membershipPolicy.minCopies = kToleratedDiskLosses + 1;
        harness.config.membershipPolicy.replaceVoterAfter = 2s;
        harness.config.membershipPolicy.removeLearnerAfter = 20s;
        harness.config.membershipPolicy.promotesLearners = true;
        harness.startGroup(kSeedVms);
        // The settings of the other VMs contain only the seeds.
        for (std::size_t i = kSeedVms; i < kVms; ++i)
            addEmptyVm();
    }

    FakeVm &addEmptyVm()
    {
        FakeVm &vm = harness.addVm({});
        harness.config.seeds.resize(kSeedVms);
        return vm;
    }

    [[nodiscard]] std::size_t voters()
    {
        FakeVm *leader = harness.leader();
        return leader ? voterCount(leader->replica->membership()) : 0;
    }

    bool canCommit()
    {
        const std::size_t before = harness.acknowledgements;
        if (FakeVm *leader = harness.leader())
            harness.propose(*leader);
        harness.run(1s);
        return harness.acknowledgements > before;
    }

    ReplicaHarness harness;
};

bool isCurrentVoter(GrowingGroup &group, const FakeVm &vm)
{
    FakeVm *leader = group.harness.leader();
    return leader && isVoter(leader->replica->membership(), vm.id);
}

} // namespace

BOOST_AUTO_TEST_CASE(group_of_three_seeds_grows_to_five_voters)
{
    GrowingGroup group(1);
    group.harness.run(5s);
    BOOST_TEST(group.voters() == kVms);
    BOOST_TEST(group.canCommit());
}

BOOST_AUTO_TEST_CASE(commit_requires_three_copies)
{
    ReplicaHarness harness(2);
    harness.config.membershipPolicy.minCopies = kToleratedDiskLosses + 1;
    harness.startGroup(kSeedVms);
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

BOOST_AUTO_TEST_CASE(spare_learner_replaces_lost_voter)
{
    GrowingGroup group(3);
    group.harness.run(5s);
    FakeVm &spare = group.addEmptyVm();
    group.harness.run(3s);
    BOOST_TEST(group.voters() == kVms);
    BOOST_TEST(!isCurrentVoter(group, spare));
    FakeVm *lost = group.harness.leader();
    BOOST_REQUIRE(lost);
    group.harness.crash(*lost, 0);
    group.harness.run(6s);
    BOOST_TEST(group.voters() == kVms);
    BOOST_TEST(isCurrentVoter(group, spare));
    BOOST_TEST(!isCurrentVoter(group, *lost));
}

BOOST_AUTO_TEST_CASE(replaced_voter_rejoins_after_restart)
{
    GrowingGroup group(4);
    group.harness.run(5s);
    group.addEmptyVm();
    group.harness.run(3s);
    FakeVm *lost = group.harness.leader();
    BOOST_REQUIRE(lost);
    group.harness.crash(*lost, 0);
    group.harness.run(6s);
    group.harness.start(*lost);
    group.harness.run(4s);
    FakeVm *leader = group.harness.leader();
    BOOST_REQUIRE(leader);
    BOOST_TEST(findMember(leader->replica->membership(), lost->id) != nullptr);
    BOOST_TEST(group.canCommit());
}

BOOST_AUTO_TEST_CASE(follower_forwards_join_request_to_leader)
{
    GrowingGroup group(5);
    group.harness.run(5s);
    // The joining VM has only one follower as its seed.
    FakeVm *leader = group.harness.leader();
    BOOST_REQUIRE(leader);
    for (const FakeVm &vm : group.harness.vms) {
        if (vm.id != leader->id) {
            group.harness.config.seeds = {vm.id.vm};
            break;
        }
    }
    FakeVm &joining = group.harness.addVm({});
    group.harness.run(3s);
    leader = group.harness.leader();
    BOOST_REQUIRE(leader);
    BOOST_TEST(findMember(leader->replica->membership(), joining.id) != nullptr);
}

// Guards against a voter that is gone for good and stays, because the seeds that a waiting learner
// asks are gone too (review/2). Then the loss of two disks would end the group.
BOOST_AUTO_TEST_CASE(learner_whose_seeds_are_gone_replaces_a_lost_voter)
{
    GrowingGroup group(6);
    group.harness.run(5s);
    // All seeds are replaced in turn; each new VM knows only the original ones.
    for (std::size_t seed = 0; seed < kSeedVms; ++seed) {
        group.addEmptyVm();
        group.harness.run(3s);
        group.harness.crash(group.harness.vms[seed], 0);
        group.harness.run(6s);
    }
    BOOST_TEST(group.voters() == kVms);
    for (std::size_t i = kSeedVms; i < group.harness.vms.size(); ++i)
        BOOST_TEST(isCurrentVoter(group, group.harness.vms[i]));
    BOOST_TEST(group.canCommit());
    const LogIndex before = group.harness.acknowledgedIndex;
    for (const std::size_t lost : {3U, 4U}) {
        group.harness.loseDisk(group.harness.vms[lost]);
        group.harness.start(group.harness.vms[lost]);
    }
    group.harness.run(8s);
    BOOST_REQUIRE(group.harness.leader());
    BOOST_TEST(group.harness.leader()->replica->log().lastIndex() >= before);
    BOOST_TEST(group.canCommit());
}

// Guards against a group that a voter's loss weakens for good: VMs are replaced, wiped and
// restarted in random order, leaders among them. A new VM knows three that run when it starts, and
// all of these may be gone later. After a calm period all voters run, so that the loss of any two
// disks loses nothing that was acknowledged.
BOOST_AUTO_TEST_CASE(group_heals_by_itself_whatever_is_replaced)
{
    constexpr std::uint64_t kSchedules = 1000;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            GrowingGroup group(seed);
            ReplicaHarness &harness = group.harness;
            std::mt19937_64 random(seed);
            harness.run(5s);
            std::set<std::size_t> gone;
            const auto addVm = [&] {
                std::vector<VmId> seeds;
                for (std::size_t i = 0; seeds.size() < kSeedVms; ++i) {
                    if (!gone.contains(i))
                        seeds.push_back(harness.vms[i].id.vm);
                }
                harness.config.seeds = seeds;
                group.addEmptyVm();
            };
            const auto drawRunning = [&] {
                std::size_t drawn = random() % harness.vms.size();
                while (gone.contains(drawn))
                    drawn = (drawn + 1) % harness.vms.size();
                return drawn;
            };
            for (int i = 0; i < 4; ++i) {
                const std::size_t drawn = drawRunning();
                switch (random() % 3) {
                case 0: // replaced, the new VM first or last
                    if (random() % 2 == 0) {
                        addVm();
                        harness.run(std::chrono::milliseconds(random() % 3000));
                        harness.crash(harness.vms[drawn], 0);
                        gone.insert(drawn);
                    } else {
                        harness.crash(harness.vms[drawn], 0);
                        gone.insert(drawn);
                        harness.run(std::chrono::milliseconds(random() % 3000));
                        addVm();
                    }
                    break;
                case 1: // wiped
                    harness.loseDisk(harness.vms[drawn]);
                    harness.run(std::chrono::milliseconds(random() % 3000));
                    harness.start(harness.vms[drawn]);
                    break;
                default: // restarted
                    harness.crash(harness.vms[drawn], 0);
                    harness.run(std::chrono::milliseconds(random() % 4000));
                    harness.start(harness.vms[drawn]);
                }
                if (FakeVm *leader = harness.leader())
                    harness.propose(*leader);
                harness.run(5s); // at most two machines count as lost at the same time
            }
            harness.run(8s);
            BOOST_TEST(group.voters() == kVms);
            for (std::size_t i = 0; i < harness.vms.size(); ++i)
                BOOST_TEST((!gone.contains(i) || !isCurrentVoter(group, harness.vms[i])));
            const LogIndex before = harness.acknowledgedIndex;
            const std::size_t first = drawRunning();
            gone.insert(first);
            for (const std::size_t lost : {first, drawRunning()}) {
                harness.loseDisk(harness.vms[lost]);
                harness.start(harness.vms[lost]);
            }
            harness.run(8s);
            BOOST_REQUIRE(harness.leader());
            BOOST_TEST(harness.leader()->replica->log().lastIndex() >= before);
            BOOST_TEST(group.canCommit());
        }
    }
}

// Two disks are lost at the same time, right after an acknowledgement, at a random time during the
// growth of the group. In some schedules all other VMs also lose power. Acknowledged entries must
// still exist afterwards.
BOOST_AUTO_TEST_CASE(acknowledged_commands_survive_loss_of_two_disks)
{
    constexpr std::uint64_t kSchedules = 400;
    std::size_t schedulesWithAcknowledgement = 0;
    for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            GrowingGroup group(seed);
            std::mt19937_64 random(seed);
            group.harness.run(std::chrono::milliseconds(random() % 6000));
            for (int i = 0; i < 3; ++i) {
                if (FakeVm *leader = group.harness.leader())
                    group.harness.propose(*leader);
                group.harness.run(std::chrono::milliseconds(random() % 300));
            }
            const bool losesPower = random() % 2 == 0;
            if (losesPower) {
                for (FakeVm &vm : group.harness.vms)
                    group.harness.crash(vm, 0);
            }
            const std::size_t first = random() % kVms;
            const std::size_t second = (first + 1 + random() % (kVms - 1)) % kVms;
            const LogIndex before = group.harness.acknowledgedIndex;
            group.harness.loseDisk(group.harness.vms[first]);
            group.harness.loseDisk(group.harness.vms[second]);
            for (FakeVm &vm : group.harness.vms) {
                if (!vm.replica)
                    group.harness.start(vm);
            }
            group.harness.run(8s);
            // A group that had not grown yet may have lost its majority, but it must not continue
            // without its acknowledged entries.
            if (FakeVm *leader = group.harness.leader())
                BOOST_TEST(leader->replica->log().lastIndex() >= before);
            if (before > 0) {
                ++schedulesWithAcknowledgement;
                const bool isFullyGrown = group.voters() == kVms;
                BOOST_TEST((!isFullyGrown || group.canCommit()));
            }
        }
    }
    BOOST_TEST(schedulesWithAcknowledgement > kSchedules / 2);
}
