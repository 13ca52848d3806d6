// Messages between entries and control VMs. Each request and reply contains the id of its
// replication group.

#ifndef FIREFLYROUTE_CORE_CONFIG_CONTROL_MESSAGES_H
#define FIREFLYROUTE_CORE_CONFIG_CONTROL_MESSAGES_H

#include "core/common/clock.h"
#include "core/config/control_command.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::core {

// The address of one process of the system.
struct VmAddress
{
    VmId id;
    Incarnation incarnation{0};
    std::string address; // "http://IP:PORT"
    DataCentreId dataCentre;

    bool operator==(const VmAddress &) const = default;
};

// Heartbeat of an entry to a control VM: requests a configuration lease and reports the revision
// that the entry holds.
struct FollowRequest
{
    GroupId group{0};
    VmAddress entry;
    std::uint64_t number = 0; // increases within the incarnation of the entry
    Revision confirmed{0}; // revision that the entry uses for every new decision
    bool leaving = false;

    bool operator==(const FollowRequest &) const = default;
};

// Reply of a control VM. Only a leader with a valid leader lease grants configuration leases.
struct FollowReply
{
    GroupId group{0};
    bool granted = false;
    std::string leaderAddress; // leader to contact if not granted; empty if unknown
    std::uint64_t number = 0; // number of the request
    std::uint64_t term = 0; // term of the leader
    std::chrono::milliseconds lease{0};
    Revision revision{0};
    std::optional<FleetConfig> config; // set if the entry's revision is older
    std::vector<VmAddress> entries; // live entries, for messages between entries

    bool operator==(const FollowReply &) const = default;
};

struct SubmitRequest
{
    GroupId group{0};
    ControlCommand command;

    bool operator==(const SubmitRequest &) const = default;
};

// The reply of the replicated state, or the reason why there is no reply.
struct SubmitReply
{
    GroupId group{0};
    std::optional<ControlReply> reply;
    std::string leaderAddress; // set if the receiver is not the leader and the leader is known
    std::string problem; // set if there is no reply

    bool operator==(const SubmitReply &) const = default;
};

// Progress of a configuration change.
struct InForceReport
{
    Revision revision{0}; // the accepted revision
    Revision inForce{0}; // the newest revision that is in force on every entry

    bool operator==(const InForceReport &) const = default;
};

} // namespace fireflyroute::core

#endif
