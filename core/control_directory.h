// Which control VMs a process keeps connections to: those of its settings, the members of the group
// as a leader or the own log names them, and for a while every one that speaks or is spoken of.
//
//   directory.setMembers(members);
//   directory.heardOf(vm, now);
//   for (const VmId &vm : directory.connectionTargets(now)) ...
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
    static constexpr std::chrono::seconds kContactRetention{10};

    void setSeeds(const std::vector<VmId> &seeds) { seeds_ = {seeds.begin(), seeds.end()}; }

    void setMembers(const std::vector<VmId> &members)
    {
        members_ = {members.begin(), members.end()};
    }

    void recordContact(const VmId &vm, Instant now) { lastContactAt_[vm] = now; }

    [[nodiscard]] std::set<VmId> connectionTargets(Instant now) const
    {
        std::set<VmId> targets = seeds_;
        targets.insert(members_.begin(), members_.end());
        for (const auto &[vm, at] : lastContactAt_) {
            if (now - at < kContactRetention)
                targets.insert(vm);
        }
        return targets;
    }

private:
    std::set<VmId> seeds_;
    std::set<VmId> members_;
    std::map<VmId, Instant> lastContactAt_;
};

} // namespace fireflyroute::core

#endif
