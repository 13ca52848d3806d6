// Splits the allowance of each cold endpoint over the entries. Runs on the leader. An allowance
// consists of parts, each of which permits one request per second; an entry holds parts for a
// limited time, and asks for them with each of its probes.
//
//   ColdGrantor grantor(kColdGrantLifetime);
//   grantor.recordElected(now);                     // when this VM becomes leader
//   grantor.setEndpoints({{id, parts}, ...}, now);  // the cold endpoints, periodically
//   link.send(grantor.grantTo(entry, nonce, now));  // with a valid leader lease only
//
// Invariant: the parts of an endpoint that any entries may hold are never more than its allowance.
// It does not depend on which entries are known. An entry counts the lifetime from the time it sent
// the probe, the leader from the time it received it, so the entry stops first, whatever the delay
// of messages. A new leader grants nothing until the grants of its predecessors have expired.

#ifndef FIREFLYROUTE_CORE_COLD_COLD_GRANTS_H
#define FIREFLYROUTE_CORE_COLD_COLD_GRANTS_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// How long a grant is valid. Covers several probes, so that a lost one does not interrupt its use.
constexpr std::chrono::seconds kColdGrantLifetime{2};

// The parts of an endpoint that tolerates the given number of requests per second. At least one,
// which the slack of the rule allows.
[[nodiscard]] std::uint32_t coldParts(double requestsPerSecond);

struct ColdEndpointAllowance
{
    EndpointId endpoint;
    std::uint32_t parts = 0;

    bool operator==(const ColdEndpointAllowance &) const = default;
};

class ColdGrantor
{
public:
    explicit ColdGrantor(Duration lifetime)
        : lifetime_(lifetime)
    {}

    void recordElected(Instant now);

    // Replaces the list of cold endpoints, forgets entries that send no more probes, and chooses
    // which entries are to get parts.
    void setEndpoints(std::vector<ColdEndpointAllowance> endpoints, Instant now);

    // Answers the probe of an entry. An entry without a path to the endpoints gets no parts.
    [[nodiscard]] ColdGrants grantTo(const VmId &entry, std::uint64_t nonce, bool isIsolated,
                                     Instant now);

private:
    struct Hold
    {
        std::uint32_t parts = 0;
        Instant until;
    };

    struct Entry
    {
        std::uint64_t hash = 0; // of its name
        Instant probedAt; // last probe
    };

    using Holds = std::map<VmId, std::vector<Hold>>; // of one endpoint

    void recordProbe(const VmId &entry, bool isIsolated, Instant now);
    void chooseOwners();
    [[nodiscard]] static std::uint32_t partsHeldByOthers(Holds &holds, const VmId &entry,
                                                         Instant now);

    Duration lifetime_;
    Instant grantsFrom_; // grants of earlier leaders have expired
    std::vector<ColdEndpointAllowance> endpoints_;
    std::map<VmId, Entry> entries_;
    std::unordered_map<EndpointId, std::map<VmId, std::uint32_t>> owners_; // intended parts
    bool entriesChanged_ = false; // since owners_ were chosen
    std::unordered_map<EndpointId, Holds> holds_; // granted parts, also of endpoints now warm
};

} // namespace fireflyroute::core

#endif
