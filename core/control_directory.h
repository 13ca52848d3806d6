// Which control VMs a process keeps connections to: those of its settings, the members of the group
// as a leader or the own log names them, and for a while every one that speaks or is spoken of.
//
//   directory.setMembers(members);
//   directory.heardOf(vm, now);
//   for (const VmId &vm : directory.wanted(now)) ...
//
// The last kind matters to a process that knows nothing yet: the leader may be no seed, and its
// messages can't be answered without a connection to it.

#ifndef FIREFLYROUTE_CORE_CONTROL_DIRECTORY_H
#define FIREFLYROUTE_CORE_CONTROL_DIRECTORY_H

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <set>
#include <vector>

namespace fireflyroute::core {

class ControlDirectory
{
public:
    // How long a name that is neither seed nor member is kept; longer than a VM takes to join.
    static constexpr std::chrono::seconds kNameLifetime{10};

    void setSeeds(const std::vector<VmId> &seeds) { seeds_ = {seeds.begin(), seeds.end()}; }

    void setMembers(const std::vector<VmId> &members)
    {
        members_ = {members.begin(), members.end()};
    }

    void heardOf(const VmId &vm, Instant now) { heardOf_[vm] = now; }

    [[nodiscard]] std::set<VmId> wanted(Instant now) const
    {
        std::set<VmId> all = seeds_;
        all.insert(members_.begin(), members_.end());
        for (const auto &[vm, at] : heardOf_) {
            if (now - at < kNameLifetime)
                all.insert(vm);
        }
        return all;
    }

private:
    std::set<VmId> seeds_;
    std::set<VmId> members_;
    std::map<VmId, Instant> heardOf_;
};

} // namespace fireflyroute::core

#endif
