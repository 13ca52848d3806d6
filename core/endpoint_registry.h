// What endpoints say of themselves, as control VMs and entries know it. Soft state: rebuilt from
// heartbeats, and merged from several sources in any order.
//
//   EndpointRegistry registry;
//   if (registry.apply(record, now) == RegistryChange::Changed)
//       ...                                          // tell the entries
//   for (const EndpointRecord &silent : registry.expire(now, silence))
//       ...
//
// Records of one id are ordered by the start of its life and the number of its report, never by
// arrival. Of two ids at one address the later life holds it: the other one is gone.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_REGISTRY_H
#define FIREFLYROUTE_CORE_ENDPOINT_REGISTRY_H

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Ready: takes work. Draining: finishes what it has. Gone: ended, or its address belongs to
// another.
enum class EndpointState { Ready, Draining, Removed };

template<>
struct EnumNames<EndpointState>
{
    static constexpr std::array table{
            EnumName{EndpointState::Ready, "ready"},
            EnumName{EndpointState::Draining, "draining"},
            EnumName{EndpointState::Removed, "gone"},
    };
};

struct EndpointRecord
{
    EndpointId id;
    ServiceName service;
    std::string address; // "IP:PORT"
    DataCentreId dataCentre;
    VersionName version; // of the software, which roll-outs replace
    std::uint32_t slots = 0;
    EndpointState state = EndpointState::Ready;
    std::uint64_t startedAtMs = 0; // start of this life, Unix milliseconds; 0 when it was not said
    std::uint64_t sequence = 0; // of the report within this life
    std::uint32_t warmupMs = 0; // how much longer it is slow after its start
    bool unresponsive = false; // no report for longer than the allowed silence

    bool operator==(const EndpointRecord &) const = default;
};

// Sequence of a record that ends a life: no report follows it.
constexpr std::uint64_t kFinalSequence = std::numeric_limits<std::uint64_t>::max();

// Outdated: an older report than the one known. Refreshed: the same content again.
enum class RegistryChange { Outdated, Refreshed, Changed };

class EndpointRegistry
{
public:
    // Merges a record.
    RegistryChange apply(const EndpointRecord &record, Instant now);

    // The endpoint said that it leaves for good. `startedAtMs` 0 means its present life.
    RegistryChange deregister(const EndpointId &id, std::uint64_t startedAtMs, Instant now);

    // Marks endpoints without a report for `silence` and returns them. Drops those that have been
    // gone or silent for `retention`.
    std::vector<EndpointRecord> expire(Instant now, Duration heartbeatTimeout, Duration retention);

    [[nodiscard]] std::vector<EndpointRecord> all() const;
    [[nodiscard]] const EndpointRecord *find(const EndpointId &id) const;

private:
    struct Registration
    {
        EndpointRecord record;
        Instant lastSeenAt;
    };

    RegistryChange update(Registration &registration, const EndpointRecord &record, Instant now);
    [[nodiscard]] bool isAddressTaken(const EndpointRecord &record) const;
    void removeOthersAtAddress(const EndpointRecord &record);

    std::map<EndpointId, Registration> endpoints_;
};

} // namespace fireflyroute::core

#endif
