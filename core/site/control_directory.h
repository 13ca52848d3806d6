// Selects the control VMs that a process keeps connections to: the seeds from its settings, the
// members of the group as reported by a leader or by the local log, and for a limited time every VM
// that has sent a message or was named in one.
//
//   directory.setMembers(members);
//   directory.recordContact(vm, now);
//   for (const VmId &vm : directory.connectionTargets(now)) ...
//
// Recent contacts are needed by a process that has no membership yet: the leader may not be one of
// the seeds, and the process cannot reply to it without a connection.

#ifndef FIREFLYROUTE_CORE_SITE_CONTROL_DIRECTORY_H
#define FIREFLYROUTE_CORE_SITE_CONTROL_DIRECTORY_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <map>
#include <set>
#include <vector>

namespace fireflyroute::core {

class ControlDirectory
{
public:
    // Retention of contacts that are neither seeds nor members. It is longer than the time a VM
    // needs to join.
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
