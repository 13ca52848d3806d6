// One replica of a group of three that a test drives message by message.
//
//   SingleReplica replica;
//   replica.becomeLeader();
//   replica.receive(kPeer, replica.replica.term(), AppendReply{...});
//   replica.countSent<AppendRequest>();

#ifndef FIREFLYROUTE_CORE_GROUP_TESTING_SINGLE_REPLICA_H
#define FIREFLYROUTE_CORE_GROUP_TESTING_SINGLE_REPLICA_H

#include "core/group/replica.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace fireflyroute::core {

inline const Instant kStart{std::chrono::hours(1)};
inline const ReplicaId kSelf{VmId("vm0"), Incarnation{1}};
inline const ReplicaId kPeer{VmId("vm1"), Incarnation{1}};
inline const ReplicaId kSecondPeer{VmId("vm2"), Incarnation{1}};

inline Membership threeVoters()
{
    return Membership{{{kSelf, MemberRole::Voter},
                       {kPeer, MemberRole::Voter},
                       {kSecondPeer, MemberRole::Voter}}};
}

// A single replica that is driven message by message.
struct SingleReplica
{
    explicit SingleReplica(RecoveredReplica recovered = newGroup(threeVoters()),
                           const ReplicaLimits &limits = {})
        : replica(ReplicaConfig{.self = kSelf, .limits = limits}, std::move(recovered),
                  std::minstd_rand(kSeed), kStart)
    {}

    void step(const ReplicaInput &input)
    {
        sent.clear();
        outcomes.clear();
        snapshots.clear();
        for (const ReplicaAction &action : replica.step(input, now)) {
            if (const auto *message = std::get_if<SendMessage>(&action))
                sent.push_back(message->message);
            if (const auto *write = std::get_if<WriteHardState>(&action))
                lastWrite = write->token;
            if (const auto *write = std::get_if<WriteEntries>(&action))
                lastWrite = write->token;
            if (const auto *done = std::get_if<ProposalDone>(&action))
                outcomes.push_back(done->outcome);
            if (const auto *taken = std::get_if<TakeSnapshot>(&action))
                snapshots.push_back(taken->meta);
        }
    }

    void receive(const ReplicaId &from, Term term, MessageBody body)
    {
        step(MessageReceived{ReplicaMessage{GroupId{0}, from, kSelf, term, std::move(body)}});
    }

    void sync() { step(SyncCompleted{lastWrite}); }

    // Lets the election timeout of the replica expire and makes it win the election of the next
    // term with the vote of kPeer.
    void becomeLeader()
    {
        now = replica.nextDeadline();
        step(Tick{});
        receive(kPeer, replica.term(), VoteReply{.preVote = true, .granted = true});
        sync();
        receive(kPeer, replica.term(), VoteReply{.preVote = false, .granted = true});
    }

    // Returns the number of messages of type Body that the last step sent.
    template<typename Body>
    [[nodiscard]] std::size_t countSent() const
    {
        return static_cast<std::size_t>(
                std::count_if(sent.begin(), sent.end(), [](const ReplicaMessage &message) {
                    return std::holds_alternative<Body>(message.body);
                }));
    }

    Replica replica;
    Instant now =
            kStart
            + std::chrono::seconds(2); // after the time in which a restarted replica refuses votes
    WriteToken lastWrite = 0;
    // Of the last step.
    std::vector<ReplicaMessage> sent;
    std::vector<ProposalOutcome> outcomes;
    std::vector<SnapshotMeta> snapshots; // that were requested

private:
    static constexpr std::uint64_t kSeed = 20;
};

} // namespace fireflyroute::core

#endif
