// Rules of group membership: quorums, single-member changes, and the steps by which a VM joins or
// rejoins after it lost its data directory.
//
//   Result<Membership> next = applyChange(current, MembershipChange{ChangeKind::Promote, id});
//
// Consecutive memberships differ in at most one voter, so any majority of one overlaps with any
// majority of the other.

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_MEMBERSHIP_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_MEMBERSHIP_H

#include "core/common/errors.h"
#include "core/group/replication_types.h"

namespace fireflyroute::core {

enum class ChangeKind { AddLearner, Promote, Remove };

template<>
struct EnumNames<ChangeKind>
{
    static constexpr std::array table{
            EnumName{ChangeKind::AddLearner, "add_learner"},
            EnumName{ChangeKind::Promote, "promote"},
            EnumName{ChangeKind::Remove, "remove"},
    };
};

struct MembershipChange
{
    ChangeKind kind = ChangeKind::AddLearner;
    ReplicaId id;

    bool operator==(const MembershipChange &) const = default;
};

// Returns the member with the id, or null. The pointer is valid as long as the membership.
[[nodiscard]] const Member *findMember(const Membership &membership, const ReplicaId &id);

// Lists all members with their incarnations and roles, for logs.
[[nodiscard]] std::string describe(const Membership &membership);

[[nodiscard]] bool isVoter(const Membership &membership, const ReplicaId &id);

[[nodiscard]] std::size_t voterCount(const Membership &membership);

// The number of voters in a majority.
[[nodiscard]] std::size_t quorumSize(const Membership &membership);

// Returns the membership after one change. Fails with AlreadyExists, NotFound, or InvalidArgument
// if the change would remove the last voter or add an incarnation older than a current member.
[[nodiscard]] Result<Membership> applyChange(const Membership &membership,
                                             const MembershipChange &change);

// A VM that requests to join, with the information that the leader has about it and the other
// members.
struct JoinCandidate
{
    ReplicaId id;
    MemberRole requestedRole = MemberRole::Voter;
    bool caughtUp = false;
    std::size_t maxVoters = 9; // further learners wait until there are fewer voters
    std::optional<ReplicaId> replaceableVoter; // a lost voter that may be replaced
};

// Returns the next change towards the requested role, or nullopt if none is needed or possible yet.
// An earlier incarnation of the same VM is removed before the new one becomes a voter, so that a
// second disk loss of the same VM cannot leave two failed voters in the group.
[[nodiscard]] std::optional<MembershipChange> planJoin(const Membership &membership,
                                                       const JoinCandidate &candidate);

} // namespace fireflyroute::core

#endif
