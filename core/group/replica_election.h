// Counts the votes of one election or pre-election.
//
//   VoteTally tally;
//   tally.grant(id);
//   if (tally.isWon(membership)) ...

#ifndef FIREFLYROUTE_CORE_GROUP_REPLICA_ELECTION_H
#define FIREFLYROUTE_CORE_GROUP_REPLICA_ELECTION_H

#include "core/group/replica_membership.h"

#include <set>

namespace fireflyroute::core {

class VoteTally
{
public:
    void clear() { granted_.clear(); }
    void grant(const ReplicaId &id) { granted_.insert(id); }

    // Returns whether a majority of the voters granted their votes. Votes of learners, non-members
    // and other incarnations of a VM are stored but not counted.
    [[nodiscard]] bool isWon(const Membership &membership) const
    {
        std::size_t votes = 0;
        for (const ReplicaId &id : granted_)
            votes += isVoter(membership, id) ? 1U : 0U;
        return votes >= quorumSize(membership);
    }

private:
    std::set<ReplicaId> granted_;
};

} // namespace fireflyroute::core

#endif
