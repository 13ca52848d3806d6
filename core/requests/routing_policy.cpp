// Checks of a version that all routing policies share.

#include "core/requests/routing_policy.h"

namespace fireflyroute::core {

Result<void> checkDispatchable(const RoutingContext &context, const CallerRequest &request,
                               const ModelVersion &version)
{
    if (!context.leaseValid)
        return CoreFailure{CoreError::LeaseExpired, "the configuration lease has run out"};
    const ClientAccount *account = findAccount(context.config, request.account);
    if (!account)
        return CoreFailure{CoreError::UnknownAccount, request.account.value()};
    const VersionSpec *spec = findVersion(context.config, version);
    if (!spec)
        return CoreFailure{CoreError::UnknownModel, toString(version)};
    if (spec->state == VersionState::Withdrawn)
        return CoreFailure{CoreError::Withdrawn, toString(version) + ": " + spec->stateReason};
    if (!isAllowed(context.config, *account, request.task, request.rank, version, context.wallNow))
        return CoreFailure{CoreError::NotAllowed, toString(version)};
    return outcome::success();
}

Result<void> checkServiceCallable(const RoutingContext &context, const CallerRequest &request)
{
    if (!context.leaseValid)
        return CoreFailure{CoreError::LeaseExpired, "the configuration lease has run out"};
    if (!findAccount(context.config, request.account))
        return CoreFailure{CoreError::UnknownAccount, request.account.value()};
    const ServiceSpec *service = findService(context.config, request.service);
    if (!service)
        return CoreFailure{CoreError::UnknownModel, "service: " + request.service.value()};
    if (!admits(*service, request.account))
        return CoreFailure{CoreError::NotAllowed, "service: " + request.service.value()};
    return outcome::success();
}

} // namespace fireflyroute::core
