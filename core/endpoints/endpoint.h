// Endpoint announcements, and the state that an entry records for each endpoint. The directory that
// collects them is in core/endpoints/directory.h.

#ifndef FIREFLYROUTE_CORE_ENDPOINTS_ENDPOINT_H
#define FIREFLYROUTE_CORE_ENDPOINTS_ENDPOINT_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyroute::core {

// The lifecycle phase that an endpoint announces. Leaving: it completes running requests and
// accepts no new ones.
enum class EndpointPhase { Starting, Ready, Leaving };

template<>
struct EnumNames<EndpointPhase>
{
    static constexpr std::array table{
            EnumName{EndpointPhase::Starting, "starting"},
            EnumName{EndpointPhase::Ready, "ready"},
            EnumName{EndpointPhase::Leaving, "leaving"},
    };
};

// Load as reported by the endpoint; it lags behind the actual load.
struct EndpointLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t concurrency = 0; // requests served in parallel; 0 means the fleet default
    double tokensPerSecond = 0;

    bool operator==(const EndpointLoad &) const = default;
};

// A heartbeat of an endpoint: its identity, what it serves and its load.
struct EndpointAnnouncement
{
    EndpointId id;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // increases within one incarnation
    std::string address; // "http://IP:PORT"
    DataCentreId dataCentre;
    EndpointPhase phase = EndpointPhase::Starting;
    std::vector<ModelVersion> versions; // served model versions
    std::vector<ServiceName> services; // served plain services
    bool checksFencing = false; // rejects orders with an outdated fencing number
    EndpointLoad load;
    // Hashes of cached prompt prefixes; delayed and incomplete.
    std::vector<std::uint64_t> cachedPrefixes;

    bool operator==(const EndpointAnnouncement &) const = default;
};

// The state of an endpoint as recorded by an entry.
struct EndpointState
{
    EndpointAnnouncement lastAnnouncement; // newest by incarnation and sequence
    Instant announcedAt; // time of the announcement, derived from its age

    bool operator==(const EndpointState &) const = default;
};

} // namespace fireflyroute::core

#endif
