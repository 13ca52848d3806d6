// Fault matrix of the replicated log: each test injects one fault at one step.

#define BOOST_TEST_MODULE replica_faults
#include "core/group/testing/replica_harness.h"
#include "core/group/testing/single_replica.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t kSeed = 20;

LogEntry command(LogIndex index, Term term)
{
    return LogEntry{.index = index, .term = term, .kind = EntryKind::Command, .payload = "x"};
}

// A group of three VMs with a leader and ten acknowledged proposals.
struct ThreeVms : ReplicaHarness
{
    ThreeVms()
        : ReplicaHarness(kSeed)
    {
        startGroup(3);
        run(2s);
        commit(10);
    }

    void commit(std::size_t count)
    {
        const std::size_t before = acknowledgements;
        for (std::size_t i = 0; i < count; ++i)
            propose(*leader());
        run(500ms);
        BOOST_TEST(acknowledgements == before + count);
    }

    FakeVm &follower()
    {
        return vms[0].replica && vms[0].replica->role() != ReplicaRole::Leader ? vms[0] : vms[1];
    }

    [[nodiscard]] bool isVoterEverywhere(const ReplicaId &id) const
    {
        return std::all_of(vms.begin(), vms.end(),
                           [&](const FakeVm &vm) { return isVoter(vm.replica->membership(), id); });
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(vote_is_not_sent_before_it_is_synced)
{
    SingleReplica single;
    single.receive(kPeer, 5, VoteRequest{1, 1});
    BOOST_TEST(single.sent.empty());
    single.sync();
    BOOST_TEST(single.countSent<VoteReply>() == 1U);
}

BOOST_AUTO_TEST_CASE(second_candidate_of_a_term_gets_no_vote)
{
    SingleReplica single;
    single.receive(kPeer, 5, VoteRequest{1, 1});
    single.sync();
    single.receive(kSecondPeer, 5, VoteRequest{9, 4});
    BOOST_TEST_REQUIRE(single.countSent<VoteReply>() == 1U);
    BOOST_TEST(!std::get<VoteReply>(single.sent[0].body).granted);
}

BOOST_AUTO_TEST_CASE(candidate_with_a_shorter_log_gets_no_vote)
{
    SingleReplica single;
    single.receive(kPeer, 5, VoteRequest{0, 0});
    single.sync();
    for (const ReplicaMessage &message : single.sent)
        BOOST_TEST(!std::get<VoteReply>(message.body).granted);
}

BOOST_AUTO_TEST_CASE(vote_after_recent_heartbeat_is_refused_except_for_transfer)
{
    SingleReplica single;
    single.receive(kPeer, 2, AppendRequest{1, 1, {}, 1, 1});
    single.now += 399ms;
    single.receive(kSecondPeer, 3, VoteRequest{1, 1});
    single.sync();
    BOOST_TEST(single.countSent<VoteReply>() == 0U);
    BOOST_TEST(single.replica.term() == 2U);
    single.receive(kSecondPeer, 3, VoteRequest{1, 1, true});
    single.sync();
    BOOST_TEST(single.countSent<VoteReply>() == 1U);
}

BOOST_AUTO_TEST_CASE(restarted_replica_gives_no_vote_within_the_election_timeout)
{
    SingleReplica single;
    single.now = kStart + 399ms;
    single.receive(kPeer, 5, VoteRequest{1, 1});
    BOOST_TEST(single.replica.term() == 1U);
}

BOOST_AUTO_TEST_CASE(entries_are_not_acknowledged_before_they_are_synced)
{
    SingleReplica single;
    single.receive(kPeer, 1, AppendRequest{1, 1, {command(2, 1)}, 0, 1});
    BOOST_TEST(single.sent.empty());
    single.receive(kPeer, 1, AppendRequest{1, 1, {command(2, 1)}, 0, 2}); // resent
    BOOST_TEST(single.sent.empty());
    single.sync();
    BOOST_TEST(single.countSent<AppendReply>() == 2U);
}

BOOST_AUTO_TEST_CASE(unsynced_local_entries_do_not_count_for_quorum)
{
    SingleReplica single;
    single.becomeLeader();
    BOOST_TEST_REQUIRE((single.replica.role() == ReplicaRole::Leader));
    const Term term = single.replica.term();
    single.receive(kPeer, term, AppendReply{.success = true, .match = 2, .round = 1});
    BOOST_TEST(single.replica.commitIndex() == 0U);
    single.sync();
    BOOST_TEST(single.replica.commitIndex() == 2U);
}

BOOST_AUTO_TEST_CASE(entries_of_an_earlier_term_are_not_committed_by_counting)
{
    RecoveredReplica recovered = newGroup(threeVoters());
    recovered.hardState.term = 4;
    recovered.entries.push_back(command(2, 2));
    SingleReplica single(recovered);
    single.becomeLeader();
    single.sync();
    const Term term = single.replica.term();
    single.receive(kPeer, term, AppendReply{.success = true, .match = 2, .round = 1});
    BOOST_TEST(single.replica.commitIndex() == 0U);
    single.receive(kPeer, term, AppendReply{.success = true, .match = 3, .round = 1});
    BOOST_TEST(single.replica.commitIndex() == 3U);
}

BOOST_AUTO_TEST_CASE(vote_of_other_incarnation_does_not_count)
{
    SingleReplica single;
    single.now = single.replica.nextDeadline();
    single.step(Tick{});
    single.receive(kPeer, 1, VoteReply{.preVote = true, .granted = true});
    single.sync();
    ReplicaId laterIncarnation = kPeer;
    laterIncarnation.incarnation = Incarnation{2};
    single.receive(laterIncarnation, 2, VoteReply{.preVote = false, .granted = true});
    BOOST_TEST((single.replica.role() == ReplicaRole::Candidate));
}

BOOST_AUTO_TEST_CASE(lease_starts_at_round_start_and_ends_before_vote_refusal_ends)
{
    SingleReplica single;
    single.becomeLeader();
    single.sync();
    const Instant roundStart = single.now;
    const Term term = single.replica.term();
    single.now += 50ms;
    single.receive(kPeer, term, AppendReply{.success = true, .match = 2, .round = 1});
    const ReplicaTiming timing;
    BOOST_TEST((single.replica.leaseUntil(single.now)
                == roundStart + timing.electionMin - timing.driftMargin));
    BOOST_TEST(single.replica.hasLease(roundStart + 299ms));
    BOOST_TEST(!single.replica.hasLease(roundStart + 300ms));
}

BOOST_AUTO_TEST_CASE(leader_releases_lease_before_transfer)
{
    SingleReplica single;
    single.becomeLeader();
    single.sync();
    const Term term = single.replica.term();
    single.receive(kPeer, term, AppendReply{.success = true, .match = 2, .round = 1});
    BOOST_TEST(single.replica.hasLease(single.now));
    single.step(TransferLeadership{});
    BOOST_TEST(single.countSent<TimeoutNow>() == 1U);
    BOOST_TEST(!single.replica.hasLease(single.now));
}

BOOST_AUTO_TEST_CASE(membership_change_waits_for_a_committed_entry_of_the_term)
{
    RecoveredReplica recovered;
    recovered.hardState.term = 1;
    recovered.snapshot = std::make_shared<const Snapshot>(Snapshot{{5, 1, threeVoters()}, "state"});
    SingleReplica single(recovered);
    single.becomeLeader();
    single.sync();
    const ReplicaId id{VmId("new"), Incarnation{1}};
    const ChangeMembership change{ProposalId{1}, {ChangeKind::AddLearner, id}};
    single.step(change);
    BOOST_TEST(findMember(single.replica.membership(), id) == nullptr);
    single.receive(kPeer, single.replica.term(),
                   AppendReply{.success = true, .match = 6, .round = 1});
    single.step(change);
    BOOST_TEST(findMember(single.replica.membership(), id) != nullptr);
}

BOOST_AUTO_TEST_CASE(second_membership_change_waits_for_the_first)
{
    SingleReplica single;
    single.becomeLeader();
    single.sync();
    const Term term = single.replica.term();
    const auto change = [&](const char *vm) {
        const ReplicaId id{VmId(vm), Incarnation{1}};
        single.step(ChangeMembership{ProposalId{1}, {ChangeKind::AddLearner, id}});
        return findMember(single.replica.membership(), id) != nullptr;
    };
    single.receive(kPeer, term, AppendReply{.success = true, .match = 2, .round = 1});
    BOOST_TEST(change("first"));
    BOOST_TEST(!change("second"));
}

BOOST_FIXTURE_TEST_CASE(partitioned_leader_steps_down_without_data_loss, ThreeVms)
{
    FakeVm &oldLeader = *leader();
    isolate(oldLeader);
    const std::size_t before = acknowledgements;
    propose(oldLeader); // can't be committed
    run(2s);
    BOOST_TEST((oldLeader.replica->role() != ReplicaRole::Leader));
    BOOST_TEST_REQUIRE((leader() != nullptr && leader() != &oldLeader));
    BOOST_TEST(acknowledgements == before);
    commit(3);
    disconnectedLinks.clear();
    run(2s);
    commit(3);
    BOOST_TEST(oldLeader.state.hash == leader()->state.hash);
}

BOOST_FIXTURE_TEST_CASE(partitioned_follower_does_not_raise_term, ThreeVms)
{
    const Term term = leader()->replica->term();
    isolate(follower());
    run(10s);
    disconnectedLinks.clear();
    run(2s);
    BOOST_TEST(leader()->replica->term() == term);
}

BOOST_FIXTURE_TEST_CASE(new_leader_within_two_seconds_of_a_crash, ThreeVms)
{
    FakeVm &oldLeader = *leader();
    crash(oldLeader, 0);
    run(2s);
    BOOST_TEST_REQUIRE((leader() != nullptr));
    commit(1);
    start(oldLeader);
    run(2s);
    BOOST_TEST(oldLeader.state.hash == leader()->state.hash);
}

BOOST_FIXTURE_TEST_CASE(second_disk_loss_after_repair_loses_no_data, ThreeVms)
{
    FakeVm &first = follower();
    loseDisk(first);
    start(first);
    run(5s);
    BOOST_TEST(isVoterEverywhere(first.id));
    FakeVm &second = leader() == &vms[2] ? vms[&first == &vms[0] ? 1 : 0] : vms[2];
    loseDisk(second);
    commit(5);
    start(second);
    run(5s);
    BOOST_TEST(isVoterEverywhere(second.id));
    commit(5);
    BOOST_TEST(leader()->replica->membership().members.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(loss_of_majority_before_repair_stops_commits, ThreeVms)
{
    FakeVm &first = follower();
    FakeVm &second = *leader();
    loseDisk(first);
    loseDisk(second);
    start(first);
    start(second);
    const std::size_t before = acknowledgements;
    run(20s);
    for (FakeVm &vm : vms)
        propose(vm);
    run(5s);
    BOOST_TEST((leader() == nullptr));
    BOOST_TEST(acknowledgements == before);
}

BOOST_FIXTURE_TEST_CASE(lagging_follower_receives_snapshot_in_chunks, ThreeVms)
{
    FakeVm &laggingFollower = follower();
    crash(laggingFollower, 0);
    run(2s);
    for (int i = 0; i < 8; ++i)
        commit(10);
    const std::size_t before = snapshotsInstalled;
    start(laggingFollower);
    run(3s);
    BOOST_TEST(snapshotsInstalled > before);
    BOOST_TEST(laggingFollower.state.hash == leader()->state.hash);
}

BOOST_FIXTURE_TEST_CASE(leadership_transfer_needs_no_election_timeout, ThreeVms)
{
    FakeVm &oldLeader = *leader();
    step(oldLeader, TransferLeadership{});
    run(200ms);
    BOOST_TEST_REQUIRE((leader() != nullptr && leader() != &oldLeader));
    commit(1);
}

BOOST_FIXTURE_TEST_CASE(frozen_leader_has_no_lease_after_resuming, ThreeVms)
{
    FakeVm &oldLeader = *leader();
    BOOST_TEST(oldLeader.replica->hasLease(clockOf(oldLeader)));
    isolate(oldLeader);
    time += 5s;
    BOOST_TEST(!oldLeader.replica->hasLease(clockOf(oldLeader)));
}

BOOST_AUTO_TEST_CASE(sole_voter_commits_after_local_sync_and_group_grows_to_three)
{
    ReplicaHarness harness(kSeed);
    harness.startGroup(1);
    harness.run(20ms);
    BOOST_TEST_REQUIRE((harness.leader() != nullptr));
    harness.step(*harness.leader(), Propose{{Proposal{ProposalId{1}, "x"}}});
    const LogIndex before = harness.leader()->replica->commitIndex();
    harness.sync(*harness.leader());
    BOOST_TEST(harness.leader()->replica->commitIndex() == before + 1);
    harness.addVm({});
    harness.addVm({});
    harness.run(5s);
    BOOST_TEST(voterCount(harness.leader()->replica->membership()) == 3U);
}

BOOST_FIXTURE_TEST_CASE(restart_after_hundreds_of_entries_restores_state, ThreeVms)
{
    for (int i = 0; i < 30; ++i)
        commit(10);
    const std::size_t hash = leader()->state.hash;
    for (FakeVm &vm : vms)
        crash(vm, 0);
    for (FakeVm &vm : vms)
        start(vm);
    run(3s);
    // The new leader appends an entry of its own, so the hash changes. The harness checks that all
    // VMs agree on the entries before it.
    BOOST_TEST(leader()->state.hash != hash);
    BOOST_TEST(leader()->state.applied > 300U);
    commit(1);
}
