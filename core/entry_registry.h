// The leader's list of entries and other VMs of the fleet. VMs register by heartbeats; the registry
// tells those that announced their departure from those that fell silent, and answers which
// claimants are lost, so that their running claims become unknown.
//
//   EntryRegistry registry(electedAt);
//   EntryChange change = registry.heartbeat(message, now);
//   for (const VmIncarnation &lost : registry.expire(now)) ...
//
// The list is not replicated: a new leader starts an empty one and learns it from heartbeats.

#ifndef FIREFLYROUTE_CORE_ENTRY_REGISTRY_H
#define FIREFLYROUTE_CORE_ENTRY_REGISTRY_H

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fireflyroute::core {

// One life of the process on a VM.
struct VmIncarnation
{
    VmId vm;
    Incarnation incarnation{0};

    auto operator<=>(const VmIncarnation &) const = default;
};

// Alive: heard of lately. Leaving: it said that it drains and will stop. Dead: silent for too long
// without having said so, or replaced by a later incarnation.
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

// What a heartbeat changed.
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
    std::uint64_t sequence = 0; // grows within one incarnation
    DataCentreId dataCentre;
    bool leaving = false; // final for the incarnation

    bool operator==(const EntryHeartbeat &) const = default;
};

struct EntryStatus
{
    EntryHeartbeat last;
    VmLiveness liveness = VmLiveness::Alive;
    Duration age{0}; // since the last heartbeat arrived

    bool operator==(const EntryStatus &) const = default;
};

class EntryRegistry
{
public:
    // Silence after which a VM counts as dead. Longer than a lease plus an election, so that a
    // change of leader alone loses nobody.
    static constexpr std::chrono::milliseconds kFailureTimeout{10'000};

    explicit EntryRegistry(Instant electedAt)
        : electedAt_(electedAt)
    {}

    // Takes in a heartbeat. One of an earlier incarnation, or out of order, changes nothing.
    EntryChange heartbeat(const EntryHeartbeat &heartbeat, Instant now);

    // Forgets VMs that are silent for kFailureTimeout; returns those that had not said they leave.
    std::vector<VmIncarnation> expire(Instant now);

    // Nothing for a VM that was never heard of or is forgotten.
    [[nodiscard]] std::optional<EntryStatus> find(const VmId &vm, Instant now) const;

    [[nodiscard]] std::vector<EntryStatus> all(Instant now) const;

    // Another message of a VM, for example a ledger command, is a sign of life as well.
    void recordActivity(const VmIncarnation &id, Instant now);

    // Whether this incarnation will not act any more: kFailureTimeout has passed since a later one
    // registered, or since it was last heard of, or since the election for one that this leader
    // never heard of.
    [[nodiscard]] bool isLost(const VmIncarnation &id, Instant now) const;

private:
    struct Registration
    {
        EntryHeartbeat last; // incarnation and sequence never go back
        Instant lastSeenAt;
        Instant firstSeenAt; // first heartbeat of this incarnation
    };

    [[nodiscard]] static EntryStatus statusOf(const Registration &registration, Instant now);

    Instant electedAt_;
    std::map<VmId, Registration> registrations_;
};

} // namespace fireflyroute::core

#endif
