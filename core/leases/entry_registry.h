// The leader's registry of entries and other VMs of the fleet, maintained from heartbeats. It
// distinguishes VMs that announced their departure from failed ones, and decides which claimants
// are lost, so that their running claims become unknown.
//
//   EntryRegistry registry(electedAt);
//   EntryChange change = registry.heartbeat(message, now);
//   for (const VmIncarnation &lost : registry.expire(now)) ...
//
// The registry is not replicated: a new leader starts with an empty one and rebuilds it from
// heartbeats.

#ifndef FIREFLYROUTE_CORE_LEASES_ENTRY_REGISTRY_H
#define FIREFLYROUTE_CORE_LEASES_ENTRY_REGISTRY_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// One incarnation of the process on a VM.
struct VmIncarnation
{
    VmId vm;
    Incarnation incarnation{0};

    auto operator<=>(const VmIncarnation &) const = default;
};

// Alive: sent a heartbeat recently. Leaving: announced that it drains and will stop. Failed: sent
// no heartbeat for kFailureTimeout without announcing its departure.
enum class VmLiveness { Alive, Leaving, Failed };

template<>
struct EnumNames<VmLiveness>
{
    static constexpr std::array table{
            EnumName{VmLiveness::Alive, "alive"},
            EnumName{VmLiveness::Leaving, "leaving"},
            EnumName{VmLiveness::Failed, "dead"},
    };
};

// How a heartbeat changed the registry.
enum class EntryChange { None, Refreshed, Joined, Restarted, Leaving };

template<>
struct EnumNames<EntryChange>
{
    static constexpr std::array table{
            EnumName{EntryChange::None, "none"},
            EnumName{EntryChange::Refreshed, "refreshed"},
            EnumName{EntryChange::Joined, "joined"},
            EnumName{EntryChange::Restarted, "restarted"},
            EnumName{EntryChange::Leaving, "leaving"},
    };
};

struct EntryHeartbeat
{
    VmIncarnation id;
    std::uint64_t sequence = 0; // increases within one incarnation
    DataCentreId dataCentre;
    bool leaving = false; // irreversible within the incarnation

    bool operator==(const EntryHeartbeat &) const = default;
};

struct EntryStatus
{
    EntryHeartbeat lastHeartbeat;
    VmLiveness liveness = VmLiveness::Alive;
    Duration age{0}; // time since the last heartbeat arrived

    bool operator==(const EntryStatus &) const = default;
};

class EntryRegistry
{
public:
    // Time without a heartbeat after which a VM counts as failed. It exceeds a lease plus an
    // election, so that a change of leader alone never marks a VM as failed.
    static constexpr std::chrono::milliseconds kFailureTimeout{10'000};

    explicit EntryRegistry(Instant electedAt)
        : electedAt_(electedAt)
    {}

    // Applies a heartbeat. Heartbeats of an earlier incarnation or with an outdated sequence are
    // ignored.
    EntryChange heartbeat(const EntryHeartbeat &heartbeat, Instant now);

    // Removes VMs without a heartbeat for kFailureTimeout; returns those that had not announced
    // their departure.
    std::vector<VmIncarnation> expire(Instant now);

    // Empty for a VM that is not registered.
    [[nodiscard]] std::optional<EntryStatus> find(const VmId &vm, Instant now) const;

    [[nodiscard]] std::vector<EntryStatus> all(Instant now) const;

    // Any other message of a VM, for example a ledger command, also refreshes its registration.
    void recordActivity(const VmIncarnation &id, Instant now);

    // Whether this incarnation can no longer act: kFailureTimeout has passed since a later
    // incarnation registered, since its last message, or since the election if this leader never
    // received a message from it.
    [[nodiscard]] bool isLost(const VmIncarnation &id, Instant now) const;

private:
    struct Registration
    {
        EntryHeartbeat lastHeartbeat; // incarnation and sequence never decrease
        Instant lastSeenAt;
        Instant firstSeenAt; // time of the first heartbeat of this incarnation
    };

    [[nodiscard]] static EntryStatus statusOf(const Registration &registration, Instant now);

    Instant electedAt_;
    std::map<VmId, Registration> registrations_;
};

} // namespace fireflyroute::core

#endif
