// Bounds of what a replica holds in memory if its entries are large.

#define BOOST_TEST_MODULE replica_memory
#include "core/group/testing/replica_harness.h"
#include "core/group/testing/single_replica.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20;
constexpr std::size_t kEntryBytes = 1000;

ReplicaLimits smallLimits()
{
    ReplicaLimits limits;
    limits.maxBatchBytes = kEntryBytes;
    limits.maxInFlightBytes = 2 * kEntryBytes;
    limits.snapshotAfterBytes = 4 * kEntryBytes;
    limits.retainedBytes = 3 * kEntryBytes;
    limits.maxUncoveredBytes = 12 * kEntryBytes;
    return limits;
}

std::uint64_t logBytes(const Replica &replica)
{
    return replica.log().bytesAfter(replica.log().baseIndex());
}

Propose largeProposal()
{
    return Propose{{Proposal{ProposalId{1}, std::string(kEntryBytes, 'x')}}};
}

// Payload of the entries that the last step sent to a peer.
std::size_t bytesSentTo(const SingleReplica &single, const ReplicaId &peer)
{
    std::size_t bytes = 0;
    for (const ReplicaMessage &message : single.sent) {
        const auto *request = std::get_if<AppendRequest>(&message.body);
        if (!request || message.to != peer)
            continue;
        for (const LogEntry &entry : request->entries)
            bytes += entry.payload.size();
    }
    return bytes;
}

// A leader whose peers have its whole log.
struct LeaderOfThree : SingleReplica
{
    LeaderOfThree()
        : SingleReplica(newGroup(threeVoters()), smallLimits())
    {
        becomeLeader();
        sync();
        acknowledge(kPeer);
        acknowledge(kSecondPeer);
    }

    void acknowledge(const ReplicaId &peer)
    {
        const LogIndex last = replica.log().lastIndex();
        receive(peer, replica.term(), AppendReply{.success = true, .match = last});
    }
};

} // namespace

// Guards against control VMs that exceed their memory after some tens of changes of a large
// configuration (review/8): the log was bounded by its number of entries only.
BOOST_AUTO_TEST_CASE(log_is_bounded_by_bytes_also_while_a_member_is_away)
{
    ReplicaHarness harness(kSeed);
    harness.config.limits = smallLimits();
    harness.startGroup(3);
    harness.run(2s);
    FakeVm &away = harness.vms[harness.leader() == &harness.vms[0] ? 1 : 0];
    const ReplicaLimits limits = smallLimits();
    const std::uint64_t bound = limits.retainedBytes + limits.snapshotAfterBytes + 2 * kEntryBytes;
    const auto changeManyTimes = [&] {
        for (int i = 0; i < 50; ++i) {
            harness.propose(*harness.leader(), kEntryBytes);
            harness.run(30ms);
            for (const FakeVm &vm : harness.vms)
                BOOST_TEST((!vm.replica || logBytes(*vm.replica) <= bound));
        }
    };
    changeManyTimes();
    harness.crash(away, 0);
    changeManyTimes();
    harness.start(away);
    harness.run(1s);
    BOOST_TEST(harness.snapshotsInstalled > 0U);
    BOOST_TEST(away.replica->appliedIndex() == harness.leader()->replica->commitIndex());
    BOOST_TEST(harness.acknowledgements == 100U);
    // A start takes no more than the running process.
    for (FakeVm &vm : harness.vms) {
        harness.crash(vm, 0);
        harness.start(vm);
        BOOST_TEST(logBytes(*vm.replica) <= bound);
    }
}

// Guards against queues of messages that grow with the number of large changes while a follower
// takes none.
BOOST_AUTO_TEST_CASE(bytes_in_flight_to_a_silent_member_are_bounded)
{
    LeaderOfThree leader;
    std::size_t inFlight = 0;
    for (int i = 0; i < 10; ++i) {
        leader.step(largeProposal());
        inFlight += bytesSentTo(leader, kPeer);
        leader.sync();
        leader.acknowledge(kSecondPeer);
        inFlight += bytesSentTo(leader, kPeer);
    }
    BOOST_TEST(leader.replica.commitIndex() == leader.replica.log().lastIndex());
    BOOST_TEST(inFlight == 2 * kEntryBytes);
    leader.receive(kPeer, leader.replica.term(),
                   AppendReply{.success = true, .match = leader.replica.log().lastIndex() - 9});
    BOOST_TEST(bytesSentTo(leader, kPeer) == kEntryBytes);
}

// Guards against a leader without a majority that collects the changes it can't commit.
BOOST_AUTO_TEST_CASE(proposals_are_refused_while_much_is_not_committed)
{
    LeaderOfThree leader;
    std::size_t refused = 0;
    for (int i = 0; i < 40; ++i) {
        leader.step(largeProposal());
        refused += leader.outcomes.size();
        leader.sync();
    }
    BOOST_TEST(refused == 28U);
    BOOST_TEST(logBytes(leader.replica) == smallLimits().maxUncoveredBytes);
    leader.acknowledge(kPeer);
    BOOST_REQUIRE(leader.snapshots.size() == 1U);
    leader.step(SnapshotCompleted{
            std::make_shared<const Snapshot>(Snapshot{leader.snapshots.front(), "state"})});
    leader.step(largeProposal());
    BOOST_TEST(leader.outcomes.empty());
}

// Guards against a leader whose disk stands still while the group goes on: it keeps every change in
// memory until one of the others leads.
BOOST_AUTO_TEST_CASE(leader_whose_disk_stands_still_hands_leadership_over)
{
    LeaderOfThree leader;
    for (int i = 0; i < 40; ++i) {
        leader.step(largeProposal());
        if (leader.replica.isTransferring())
            break;
        leader.acknowledge(kSecondPeer);
        leader.acknowledge(kPeer);
        BOOST_TEST(logBytes(leader.replica) <= smallLimits().maxUncoveredBytes);
    }
    BOOST_TEST(leader.replica.commitIndex() == leader.replica.log().lastIndex());
    BOOST_TEST(leader.replica.isTransferring());
    BOOST_TEST(leader.countSent<TimeoutNow>() == 1U);
}

// Guards against one old snapshot in memory for each member that is away.
BOOST_AUTO_TEST_CASE(member_that_is_away_gets_the_newest_snapshot)
{
    LeaderOfThree leader;
    const auto commitAndSave = [&](const std::string &state) {
        for (int i = 0; i < 8; ++i) {
            leader.step(largeProposal());
            leader.sync();
            leader.acknowledge(kSecondPeer);
        }
        const Replica &replica = leader.replica;
        const LogIndex index = replica.appliedIndex();
        leader.step(SnapshotCompleted{std::make_shared<const Snapshot>(
                Snapshot{{index, *replica.log().termAt(index), replica.membership()}, state})});
    };
    commitAndSave("first");
    // The peer has lost what was in flight to it, and the leader no longer holds that.
    leader.receive(kPeer, leader.replica.term(),
                   AppendReply{.rejected = leader.replica.log().lastIndex() - 6, .hint = 1});
    BOOST_TEST(leader.countSent<SnapshotChunk>() == 1U);
    leader.now += 1s;
    commitAndSave("second");
    leader.step(Tick{});
    BOOST_REQUIRE(leader.countSent<SnapshotChunk>() == 1U);
    for (const ReplicaMessage &message : leader.sent) {
        if (const auto *chunk = std::get_if<SnapshotChunk>(&message.body))
            BOOST_TEST(chunk->data == "second");
    }
}
