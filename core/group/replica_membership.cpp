// Quorums and single-member changes.

#include "core/group/replica_membership.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::core {

namespace {

std::string describe(const ReplicaId &id)
{
    return fmt::format("{}#{}", id.vm.value(), static_cast<std::uint64_t>(id.incarnation));
}

// Returns another incarnation of the same VM if it is a member, or null.
const Member *findOtherIncarnation(const Membership &membership, const ReplicaId &id)
{
    const auto found = std::find_if(
            membership.members.begin(), membership.members.end(),
            [&](const Member &member) { return member.id.vm == id.vm && member.id != id; });
    return found == membership.members.end() ? nullptr : &*found;
}

Result<Membership> addLearner(Membership membership, const ReplicaId &id)
{
    if (findMember(membership, id))
        return CoreFailure{CoreError::AlreadyExists, describe(id) + " is a member already"};
    const Member *other = findOtherIncarnation(membership, id);
    if (other && other->id.incarnation > id.incarnation)
        return CoreFailure{CoreError::InvalidArgument, describe(id) + " has a later incarnation"};
    membership.members.push_back(Member{id, MemberRole::Learner});
    std::sort(membership.members.begin(), membership.members.end());
    return membership;
}

Result<Membership> promote(Membership membership, const ReplicaId &id)
{
    for (Member &member : membership.members) {
        if (member.id == id && member.role == MemberRole::Learner) {
            member.role = MemberRole::Voter;
            return membership;
        }
    }
    return CoreFailure{CoreError::NotFound, describe(id) + " is no learner"};
}

Result<Membership> removeMember(Membership membership, const ReplicaId &id)
{
    if (!findMember(membership, id))
        return CoreFailure{CoreError::NotFound, describe(id) + " is no member"};
    std::erase_if(membership.members, [&](const Member &member) { return member.id == id; });
    if (voterCount(membership) == 0)
        return CoreFailure{CoreError::InvalidArgument, "the last voter can't be removed"};
    return membership;
}

} // namespace

const Member *findMember(const Membership &membership, const ReplicaId &id)
{
    const auto found = std::find_if(membership.members.begin(), membership.members.end(),
                                    [&](const Member &member) { return member.id == id; });
    return found == membership.members.end() ? nullptr : &*found;
}

std::string describe(const Membership &membership)
{
    std::string text;
    for (const Member &member : membership.members)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", describe(member.id),
                            nameOf(member.role));
    return text;
}

bool isVoter(const Membership &membership, const ReplicaId &id)
{
    const Member *member = findMember(membership, id);
    return member && member->role == MemberRole::Voter;
}

std::size_t voterCount(const Membership &membership)
{
    return static_cast<std::size_t>(
            std::count_if(membership.members.begin(), membership.members.end(),
                          [](const Member &member) { return member.role == MemberRole::Voter; }));
}

std::size_t quorumSize(const Membership &membership)
{
    return voterCount(membership) / 2 + 1;
}

Result<Membership> applyChange(const Membership &membership, const MembershipChange &change)
{
    switch (change.kind) {
    case ChangeKind::AddLearner:
        return addLearner(membership, change.id);
    case ChangeKind::Promote:
        return promote(membership, change.id);
    case ChangeKind::Remove:
        return removeMember(membership, change.id);
    }
    return CoreFailure{CoreError::InvalidArgument, "unknown kind of change"};
}

std::optional<MembershipChange> planJoin(const Membership &membership,
                                         const JoinCandidate &candidate)
{
    const ReplicaId &id = candidate.id;
    const Member *other = findOtherIncarnation(membership, id);
    if (other && other->id.incarnation > id.incarnation)
        return std::nullopt;
    const Member *member = findMember(membership, id);
    if (!member)
        return MembershipChange{ChangeKind::AddLearner, id};
    if (member->role == MemberRole::Voter)
        return std::nullopt;
    if (other && (candidate.caughtUp || other->role == MemberRole::Learner))
        return MembershipChange{ChangeKind::Remove, other->id};
    if (other || candidate.requestedRole != MemberRole::Voter || !candidate.caughtUp)
        return std::nullopt;
    if (voterCount(membership) < candidate.maxVoters)
        return MembershipChange{ChangeKind::Promote, id};
    if (candidate.replaceableVoter)
        return MembershipChange{ChangeKind::Remove, *candidate.replaceableVoter};
    return std::nullopt;
}

} // namespace fireflyroute::core
