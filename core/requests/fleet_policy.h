// The routing policy of an entry. It selects versions by cost and quality, subject to the roll-outs
// and exceptions of the configuration, and endpoints by load, distance and cached prefixes.
//
//   FleetPolicy policy{std::minstd_rand(seed)};
//   Result<std::vector<ModelVersion>> plan = policy.planVersions(context, request, pin);
//   Result<EndpointChoice> endpoint = policy.chooseEndpoint(context, request, plan.value()[0], {});
//   policy.attemptStarted(endpoint.value().id, now);
//
// Not thread safe. A decision takes a few microseconds, so a single mutex is sufficient.

#ifndef FIREFLYROUTE_CORE_REQUESTS_FLEET_POLICY_H
#define FIREFLYROUTE_CORE_REQUESTS_FLEET_POLICY_H

#include "core/balancing/endpoint_choice.h"
#include "core/quality/quality_table.h"
#include "core/requests/routing_policy.h"
#include "core/versions/exposure.h"
#include "core/versions/version_choice.h"

#include <memory>
#include <random>
#include <vector>

namespace fireflyroute::core {

class FleetPolicy
{
public:
    // `rng` samples the endpoints that are compared.
    explicit FleetPolicy(std::minstd_rand rng);

    Result<std::vector<ModelVersion>> planVersions(const RoutingContext &context,
                                                   const CallerRequest &request,
                                                   const std::optional<ModelVersion> &pin);

    // Same as planVersions(), with the reason for each step, for explanations.
    Result<CascadePlan> plan(const RoutingContext &context, const CallerRequest &request,
                             const std::optional<ModelVersion> &pin);

    Result<EndpointChoice> chooseEndpoint(const RoutingContext &context,
                                          const CallerRequest &request, const ModelVersion &version,
                                          const std::vector<EndpointId> &excluded);

    void attemptStarted(const EndpointId &endpoint, Instant now);
    void attemptEnded(const EndpointId &endpoint, Instant now);

    void setQuality(std::shared_ptr<const QualityView> quality) { quality_ = std::move(quality); }

private:
    std::minstd_rand rng_;
    EndpointChooser<> chooser_;
    LoadEstimator loadEstimator_;
    PrefixCache prefixes_;
    ExposureGate exposure_;
    std::shared_ptr<const QualityView> quality_; // never null
};

static_assert(RoutingPolicy<FleetPolicy>);
static_assert(AttemptObserver<FleetPolicy>);

} // namespace fireflyroute::core

#endif
