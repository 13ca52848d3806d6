// Thread-safe wrapper of a core routing policy, which has no synchronisation of its own.

#ifndef FIREFLYROUTE_APP_SHARED_POLICY_H
#define FIREFLYROUTE_APP_SHARED_POLICY_H

#include "core/requests/routing_policy.h"

#include <mutex>
#include <utility>
#include <vector>

namespace fireflyroute::app {

template<core::RoutingPolicy Policy>
requires core::AttemptObserver<Policy>
class SharedPolicy
{
public:
    explicit SharedPolicy(Policy policy)
        : policy_(std::move(policy))
    {}

    core::Result<std::vector<core::ModelVersion>>
    planVersions(const core::RoutingContext &context, const core::CallerRequest &request,
                 const std::optional<core::ModelVersion> &pin)
    {
        const std::scoped_lock lock(mutex_);
        return policy_.planVersions(context, request, pin);
    }

    core::Result<core::EndpointChoice> chooseEndpoint(const core::RoutingContext &context,
                                                      const core::CallerRequest &request,
                                                      const core::ModelVersion &version,
                                                      const std::vector<core::EndpointId> &excluded)
    {
        const std::scoped_lock lock(mutex_);
        return policy_.chooseEndpoint(context, request, version, excluded);
    }

    void attemptStarted(const core::EndpointId &endpoint, core::Instant now)
    {
        const std::scoped_lock lock(mutex_);
        policy_.attemptStarted(endpoint, now);
    }

    void attemptEnded(const core::EndpointId &endpoint, core::Instant now)
    {
        const std::scoped_lock lock(mutex_);
        policy_.attemptEnded(endpoint, now);
    }

private:
    std::mutex mutex_;
    Policy policy_;
};

} // namespace fireflyroute::app

#endif
