// Elections: pre-vote, vote, leadership transfer, and join requests.

#include "core/group/replica.h"

#include <set>
#include <utility>

namespace fireflyroute::core {

// A voter whose removal is not yet committed may be the only one whose log is up to date enough to
// win.
bool Replica::isElectable() const
{
    if (isVoter(membership(), config_.self))
        return true;
    const LogIndex changedAt = log_.membershipIndex();
    return changedAt > commit_ && isVoter(log_.membershipAt(changedAt - 1), config_.self);
}

bool Replica::isSoleVoter() const
{
    return voterCount(membership()) == 1 && isVoter(membership(), config_.self);
}

bool Replica::needsToJoin() const
{
    const Member *member = findMember(membership(), config_.self);
    if (!member)
        return true;
    return member->role == MemberRole::Learner && config_.targetRole == MemberRole::Voter;
}

// A leader may hold a lease based on its last contact with this replica, so this replica votes for
// no other candidate until that lease has ended.
bool Replica::refusesVotes() const
{
    return role_ == ReplicaRole::Leader || now_ < lastLeaderContactAt_ + config_.timing.electionMin;
}

bool Replica::isUpToDate(LogIndex lastIndex, Term lastTerm) const
{
    return std::pair(lastTerm, lastIndex) >= std::pair(log_.lastTerm(), log_.lastIndex());
}

void Replica::resetElectionDeadline()
{
    std::uniform_int_distribution<Duration::rep> timeout(config_.timing.electionMin.count(),
                                                         config_.timing.electionMax.count());
    electionDeadline_ = now_ + Duration(timeout(rng_));
}

void Replica::startPreVote()
{
    if (isSoleVoter()) {
        startElection(false);
        return;
    }
    resetElectionDeadline();
    setRole(ReplicaRole::PreCandidate, std::nullopt);
    tally_.clear();
    tally_.grant(config_.self);
    for (const Member &member : membership().members) {
        if (member.role == MemberRole::Voter && member.id != config_.self)
            send(member.id, PreVoteRequest{log_.lastIndex(), log_.lastTerm()});
    }
}

void Replica::startElection(bool transfer)
{
    resetElectionDeadline();
    hardState_ = HardState{hardState_.term + 1, config_.self};
    deferredMessages_.clear();
    incomingSnapshot_.reset();
    writeHardState();
    setRole(ReplicaRole::Candidate, std::nullopt);
    tally_.clear();
    for (const Member &member : membership().members) {
        if (member.role == MemberRole::Voter && member.id != config_.self)
            send(member.id, VoteRequest{log_.lastIndex(), log_.lastTerm(), transfer});
    }
}

// The local vote is counted like any other vote, once it is on disk.
void Replica::countLocalVote()
{
    if (!writes_.isComplete(hardStateToken_))
        return;
    tally_.grant(config_.self);
    checkElectionWon();
}

void Replica::checkElectionWon()
{
    if (!tally_.isWon(membership()))
        return;
    if (role_ == ReplicaRole::PreCandidate)
        startElection(false);
    else if (role_ == ReplicaRole::Candidate)
        becomeLeader();
}

void Replica::receive(const ReplicaMessage &message, const PreVoteRequest &body)
{
    // A voter that was removed while it was down has not received its removal and requests
    // votes. Such a request is handled as a join request.
    if (!findMember(membership(), message.from))
        receive(message, JoinRequest{MemberRole::Voter});
    const bool granted = message.term >= hardState_.term && !refusesVotes()
                         && isUpToDate(body.lastIndex, body.lastTerm);
    ReplicaMessage reply{config_.group, config_.self, message.from, hardState_.term,
                         VoteReply{.preVote = true, .granted = granted}};
    if (granted)
        reply.term = message.term; // a pre-vote is not binding, so its term need not be on disk
    if (writes_.isComplete(hardStateToken_))
        actions_.emplace_back(SendMessage{std::move(reply)});
}

void Replica::receive(const ReplicaMessage &message, const VoteRequest &body)
{
    if (!body.transfer && refusesVotes())
        return;
    const bool canVoteForSender = !hardState_.votedFor || *hardState_.votedFor == message.from;
    if (!canVoteForSender || !isUpToDate(body.lastIndex, body.lastTerm)) {
        send(message.from, VoteReply{});
        return;
    }
    if (!hardState_.votedFor) {
        hardState_.votedFor = message.from;
        writeHardState();
        resetElectionDeadline();
    }
    send(message.from, VoteReply{.preVote = false, .granted = true});
}

void Replica::receive(const ReplicaMessage &message, const VoteReply &body)
{
    const ReplicaRole expectedRole =
            body.preVote ? ReplicaRole::PreCandidate : ReplicaRole::Candidate;
    if (role_ != expectedRole || !body.granted)
        return;
    tally_.grant(message.from);
    checkElectionWon();
}

void Replica::receive(const ReplicaMessage & /*message*/, const TimeoutNow & /*body*/)
{
    if (role_ != ReplicaRole::Leader && isElectable())
        startElection(true);
}

void Replica::sendJoinRequests()
{
    joinDeadline_ = now_ + config_.timing.joinInterval;
    std::set<VmId> receivers(config_.seeds.begin(), config_.seeds.end());
    for (const Member &member : membership().members)
        receivers.insert(member.id.vm);
    if (leader_ && refusesVotes())
        receivers = {leader_->vm};
    receivers.erase(config_.self.vm);
    for (const VmId &receiver : receivers)
        send(ReplicaId{receiver, Incarnation{0}}, JoinRequest{config_.targetRole});
}

// The seeds may all be followers or former members, so a follower forwards the join request to the
// leader unchanged.
void Replica::forwardJoinRequest(const ReplicaMessage &message, const JoinRequest &body)
{
    if (!leader_ || *leader_ == message.from)
        return;
    ReplicaMessage forwarded{config_.group, message.from, *leader_, message.term, body};
    actions_.emplace_back(SendMessage{std::move(forwarded)});
}

} // namespace fireflyroute::core
