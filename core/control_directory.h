// Which control VMs an entry keeps connections to: those of its settings, and the members of the
// group as control VMs name them.
//
//   directory.heard(members, authoritative);
//   for (const VmId &vm : directory.wanted()) ...
//
// Before a leader has spoken every name counts: the leader may be a VM that only others know of.

#ifndef FIREFLYROUTE_CORE_CONTROL_DIRECTORY_H
#define FIREFLYROUTE_CORE_CONTROL_DIRECTORY_H

#include "core/types.h"

#include <set>
#include <vector>

namespace fireflyroute::core {

class ControlDirectory
{
public:
    void setSeeds(const std::vector<VmId> &seeds) { seeds_ = {seeds.begin(), seeds.end()}; }

    // A control VM named the members of the group; `authoritative` if it leads it. Returns whether
    // the wanted VMs may have changed.
    bool heard(const std::vector<VmId> &members, bool authoritative)
    {
        const std::set<VmId> before = members_;
        if (authoritative)
            members_.clear();
        members_.insert(members.begin(), members.end());
        return members_ != before;
    }

    [[nodiscard]] std::set<VmId> wanted() const
    {
        std::set<VmId> all = seeds_;
        all.insert(members_.begin(), members_.end());
        return all;
    }

private:
    std::set<VmId> seeds_;
    std::set<VmId> members_; // as the leader last named them, and names that came since
};

} // namespace fireflyroute::core

#endif
