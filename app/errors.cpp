// Converts failures of the lower layers to application failures.

#include "app/errors.h"

#include <fmt/format.h>

namespace fireflyroute::app {

AppFailure fromStore(const store::StoreFailure &failure)
{
    return AppFailure{AppError::StorageFailed,
                      fmt::format("{}: {}", core::nameOf(failure.code), failure.detail)};
}

AppFailure fromNet(const net::NetFailure &failure)
{
    return AppFailure{AppError::NetworkFailed,
                      fmt::format("{}: {}", core::nameOf(failure.code), failure.detail)};
}

AppFailure fromCore(const core::CoreFailure &failure)
{
    return AppFailure{AppError::Refused,
                      fmt::format("{}: {}", core::nameOf(failure.code), failure.detail)};
}

} // namespace fireflyroute::app
