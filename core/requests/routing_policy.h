// The concept of a routing policy: it plans which versions may answer a request and selects the
// endpoint of each attempt. RequestMachine takes a policy as a template parameter.

#ifndef FIREFLYROUTE_CORE_REQUESTS_ROUTING_POLICY_H
#define FIREFLYROUTE_CORE_REQUESTS_ROUTING_POLICY_H

#include "core/balancing/endpoint_choice_index.h"
#include "core/calls/caller_request.h"
#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/config/fleet_config.h"
#include "core/endpoints/directory.h"

#include <concepts>
#include <vector>

namespace fireflyroute::core {

// Input of routing decisions: the current configuration, directory and time.
struct RoutingContext
{
    const FleetConfig &config;
    const DirectoryView &directory;
    bool leaseValid; // the entry holds a valid configuration lease
    Instant now;
    WallTime wallNow;
    const EndpointIndex *index = nullptr; // index of the directory; unused by some policies
};

// The endpoint of one attempt.
struct EndpointChoice
{
    EndpointId id;
    Incarnation incarnation{0};
    std::string address;

    bool operator==(const EndpointChoice &) const = default;
};

template<typename T>
concept RoutingPolicy = requires(T &policy, const RoutingContext &context,
                                 const CallerRequest &request,
                                 const std::optional<ModelVersion> &pin,
                                 const ModelVersion &version,
                                 const std::vector<EndpointId> &excluded)
{
    // Versions that may answer, in the order of attempts; never empty.
    {
        policy.planVersions(context, request, pin)
        } -> std::same_as<Result<std::vector<ModelVersion>>>;
    // An endpoint that serves the version, or the request's service, and is not excluded.
    {
        policy.chooseEndpoint(context, request, version, excluded)
        } -> std::same_as<Result<EndpointChoice>>;
};

// A policy that is notified of attempts, for example to count outstanding requests.
template<typename T>
concept AttemptObserver = requires(T &policy, const EndpointId &endpoint, Instant now)
{
    policy.attemptStarted(endpoint, now);
    policy.attemptEnded(endpoint, now);
};

// Whether the version may currently be dispatched for the request.
[[nodiscard]] Result<void> checkDispatchable(const RoutingContext &context,
                                             const CallerRequest &request,
                                             const ModelVersion &version);

// Whether the account of a service call may currently call its service.
[[nodiscard]] Result<void> checkServiceCallable(const RoutingContext &context,
                                                const CallerRequest &request);

} // namespace fireflyroute::core

#endif
