// What is known about endpoints: the announcements that they send by themselves, and the state that
// an entry keeps of each one. The directory that collects them is in core/directory.h.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_H
#define FIREFLYROUTE_CORE_ENDPOINT_H

#include "core/clock.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace fireflyroute::core {

// What an endpoint says about its own readiness. Leaving means: finish what runs, take nothing new.
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

// Load as the endpoint reports it; it lags behind the truth.
struct EndpointLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t concurrency = 0; // requests it serves at once; 0 means the fleet default
    double tokensPerSecond = 0;

    bool operator==(const EndpointLoad &) const = default;
};

// A heartbeat of an endpoint: who it is, what it serves and how loaded it is.
struct EndpointAnnouncement
{
    EndpointId id;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // grows within one incarnation
    std::string address; // "http://IP:PORT"
    DataCentreId dataCentre;
    EndpointPhase phase = EndpointPhase::Starting;
    std::vector<ModelVersion> versions; // served models
    std::vector<ServiceName> services; // served plain services
    bool checksFencing = false; // refuses orders with an old fencing number
    EndpointLoad load;
    std::vector<std::uint64_t> cachedPrefixes; // prefix hashes it holds; late and with gaps

    bool operator==(const EndpointAnnouncement &) const = default;
};

// An endpoint as an entry knows it.
struct EndpointState
{
    EndpointAnnouncement last; // the newest announcement by incarnation and sequence
    Instant announcedAt; // when that announcement was made, as far as its age is known

    bool operator==(const EndpointState &) const = default;
};

} // namespace fireflyroute::core

#endif
