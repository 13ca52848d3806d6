// Decides which versions of a service may run a request during a roll-out.
//
//   VersionGate gate(rollout, endpoints);
//   gate.sampleCanary(identity, canaryShare, pinned);
//   if (gate.admits(endpoint.version)) ...
//
// A small share of the requests, sampled by session or else by request, runs on the version that is
// rolled out. The sample is the same on all entries and for all roll-outs and only grows from one
// stage to the next. Without a roll-out, only the version of most endpoints is admitted; another
// version must wait for its roll-out.

#ifndef FIREFLYROUTE_CORE_VERSIONS_VERSION_GATE_H
#define FIREFLYROUTE_CORE_VERSIONS_VERSION_GATE_H

#include "core/endpoints/endpoint_registry.h"
#include "core/site/site_state.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

class VersionGate
{
public:
    // `rollout`: newest roll-out of the service, or null. `endpoints`: all registered ones of
    // the service.
    VersionGate(const SiteRollout *rollout, const std::vector<EndpointRecord> &endpoints);

    // Whether the given share of all sessions or requests contains this one.
    [[nodiscard]] static bool isInShare(std::string_view identity, double share);

    // Samples the request for the canary by its session or, without one, by its id. `pinned` is the
    // version of the session's last request, if that is recent.
    void sampleCanary(std::string_view identity, double canaryShare,
                      const std::optional<VersionName> &pinned);

    [[nodiscard]] bool admits(const VersionName &version) const;

    // Cancels the canary assignment, for use when no canary endpoint can accept the request.
    void clearCanary() { canary_ = false; }

    // Whether the request is assigned to the version that is rolled out but not yet validated.
    [[nodiscard]] bool isCanary() const { return canary_; }

private:
    const SiteRollout *rollout_;
    VersionName majorityVersion_; // version of most endpoints; used without a roll-out
    bool canary_ = false;
};

} // namespace fireflyroute::core

#endif
