// Endpoint records as held by control VMs and entries. The registry is soft state: it is rebuilt
// from heartbeats and merges records from several sources in any order.
//
//   EndpointRegistry registry;
//   if (registry.apply(record, now) == RegistryChange::Changed)
//       ...                                          // notify the entries
//   for (const EndpointRecord &record : registry.expire(now, heartbeatTimeout, retention))
//       ...                                          // control VMs, which receive each report
//   registry.dropObsolete(now, leaderConnectedAt, retention);  // entries, which receive changes
//
// Records of one id are ordered by the start time of the endpoint and the sequence number of the
// report, never by arrival. If two ids share an address, the one that started later keeps it and
// the other one is removed.

#ifndef FIREFLYROUTE_CORE_ENDPOINTS_ENDPOINT_REGISTRY_H
#define FIREFLYROUTE_CORE_ENDPOINTS_ENDPOINT_REGISTRY_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Ready: accepts requests. Draining: completes running requests only. Removed: terminated, or its
// address belongs to another endpoint.
enum class EndpointRecordState { Ready, Draining, Removed };

template<>
struct EnumNames<EndpointRecordState>
{
    static constexpr std::array table{
            EnumName{EndpointRecordState::Ready, "ready"},
            EnumName{EndpointRecordState::Draining, "draining"},
            EnumName{EndpointRecordState::Removed, "gone"},
    };
};

struct EndpointRecord
{
    EndpointId id;
    ServiceName service;
    std::string address; // "IP:PORT"
    DataCentreId dataCentre;
    VersionName version; // of the software that roll-outs replace
    std::uint32_t slots = 0;
    EndpointRecordState state = EndpointRecordState::Ready;
    // Start of this incarnation, Unix milliseconds; 0 when not reported.
    std::uint64_t startedAtMs = 0;
    std::uint64_t sequence = 0; // of the report within this incarnation
    std::uint32_t warmupMs = 0; // remaining time of reduced speed after the start
    bool unresponsive = false; // no report within the heartbeat timeout

    bool operator==(const EndpointRecord &) const = default;
};

// Sequence of the final record of an incarnation: no report follows it.
constexpr std::uint64_t kFinalSequence = std::numeric_limits<std::uint64_t>::max();

// Outdated: not newer than the current record, or its address belongs to an endpoint that started
// later. Refreshed: newer, but with the same content, and the warm-up, if any, ends as reported
// before.
enum class RegistryChange { Outdated, Refreshed, Changed };

// How long records that are no longer in use are kept.
struct RecordRetention
{
    Duration removed{}; // so that delayed reports are recognised
    Duration unresponsive{}; // such an endpoint may still answer requests
};

class EndpointRegistry
{
public:
    // Merges a record that may be outdated or repeated.
    RegistryChange apply(const EndpointRecord &record, Instant now);

    // The endpoint announced that it terminates. `startedAtMs` 0 means the current incarnation.
    RegistryChange deregister(const EndpointId &id, std::uint64_t startedAtMs, Instant now);

    // Marks endpoints without a report for `heartbeatTimeout` as unresponsive and returns them.
    // Drops records without an update for `retention`.
    std::vector<EndpointRecord> expire(Instant now, Duration heartbeatTimeout, Duration retention);

    // For a registry that receives changes only, so that a record may be old and still correct.
    // The sender sends all its records when it connects, at `senderConnectedAt`. Drops removed
    // records that were not updated for `retention.removed`, unresponsive ones that were not
    // updated for `retention.unresponsive`, and others that the sender has not sent within
    // `retention.removed` after it connected. Returns the dropped records that were not removed.
    std::vector<EndpointRecord> dropObsolete(Instant now, Instant senderConnectedAt,
                                             const RecordRetention &retention);

    [[nodiscard]] std::vector<EndpointRecord> all() const;
    [[nodiscard]] const EndpointRecord *find(const EndpointId &id) const;

private:
    struct Registration
    {
        EndpointRecord record;
        Instant lastSeenAt; // last update, or removal
        Instant receivedAt; // last record of this incarnation, also if it was outdated
    };

    RegistryChange update(Registration &registration, const EndpointRecord &record, Instant now);
    [[nodiscard]] bool isAddressTaken(const EndpointRecord &record) const;
    void removeOthersAtAddress(const EndpointRecord &record, Instant now);

    std::map<EndpointId, Registration> endpoints_;
};

} // namespace fireflyroute::core

#endif
