// Rules of group membership: quorums, the one-member-at-a-time changes, and the steps by which a VM
// joins or comes back after it lost its data folder.
//
//   Result<Membership> next = applyChange(present, MembershipChange{ChangeKind::Promote, id});
//
// Adjacent memberships differ in at most one voter, so that any two of their majorities overlap.

#ifndef FIREFLYROUTE_CORE_REPLICA_MEMBERSHIP_H
#define FIREFLYROUTE_CORE_REPLICA_MEMBERSHIP_H

#include "core/errors.h"
#include "core/replication_types.h"

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

// The member with that id, or null. The pointer lives as long as the membership.
[[nodiscard]] const Member *findMember(const Membership &membership, const ReplicaId &id);

// All members with their lives and roles, for logs.
[[nodiscard]] std::string describe(const Membership &membership);

[[nodiscard]] bool isVoter(const Membership &membership, const ReplicaId &id);

[[nodiscard]] std::size_t voterCount(const Membership &membership);

// The number of voters that make a majority.
[[nodiscard]] std::size_t quorumSize(const Membership &membership);

// The membership after one change. Fails with AlreadyExists, NotFound, or InvalidArgument for a
// change that would leave no voter or that adds an incarnation older than a known one.
[[nodiscard]] Result<Membership> applyChange(const Membership &membership,
                                             const MembershipChange &change);

// A member that asks to join, and what the leader knows of it and of the others.
struct JoinCandidate
{
    ReplicaId id;
    MemberRole requestedRole = MemberRole::Voter;
    bool caughtUp = false;
    std::size_t maxVoters = 9; // a learner above that number waits for a place
    std::optional<ReplicaId> replaceableVoter; // a lost voter whose place may be taken
};

// The next change that fulfils the wish, or nothing when none is needed or possible yet.
// An earlier incarnation of the same VM leaves before the new one gets a vote, so that a second
// loss of the new one can't leave two dead voters behind.
[[nodiscard]] std::optional<MembershipChange> planJoin(const Membership &membership,
                                                       const JoinCandidate &candidate);

} // namespace fireflyroute::core

#endif
