// Which versions of a service a request may run on while versions come and go.
//
//   VersionGate gate(view.rollouts, endpoints, policy);
//   if (gate.admits(endpoint.version, choice)) ...
//
// A small share of the requests, drawn by the session or else by the request, goes to the version
// that is rolled out; the draw is the same on all entries and for all roll-outs, and grows only
// from one stage to the next. Without a roll-out, a version that nobody ordered waits.

#ifndef FIREFLYROUTE_CORE_VERSION_GATE_H
#define FIREFLYROUTE_CORE_VERSION_GATE_H

#include "core/endpoint_registry.h"
#include "core/site_state.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fireflyroute::core {

class VersionGate
{
public:
    // `rollout`: the newest one of the service, or null. `endpoints`: those that are known.
    VersionGate(const Rollout *rollout, const std::vector<EndpointRecord> &endpoints);

    // Whether a share of all sessions or requests contains this one.
    [[nodiscard]] static bool isDrawn(std::string_view identity, double share);

    // The draw of a request: its session or, without one, its id. `pinned` is the version that ran
    // the session's last request, if that is recent.
    void draw(std::string_view identity, double canaryShare,
              const std::optional<VersionName> &pinned);

    [[nodiscard]] bool admits(const VersionName &version) const;

    // Takes the draw back, where no endpoint of the version on trial can take the request.
    void leaveCanary() { canary_ = false; }

    // Whether the request was drawn for the version that is rolled out and is not proven yet.
    [[nodiscard]] bool isCanary() const { return canary_; }

private:
    const Rollout *rollout_;
    VersionName steady_; // without a roll-out: the version of most endpoints
    bool canary_ = false;
};

} // namespace fireflyroute::core

#endif
