// Errors of the application layer: settings, commands and start-up. Failures of the lower layers
// are converted to these before they reach main().

#ifndef FIREFLYROUTE_APP_ERRORS_H
#define FIREFLYROUTE_APP_ERRORS_H

#include "core/common/enum_names.h"
#include "core/common/errors.h"
#include "net/errors.h"
#include "store/errors.h"

#include <array>
#include <string>

namespace fireflyroute::app {

enum class AppError { InvalidSetting, StorageFailed, NetworkFailed, Refused, Internal };

struct AppFailure
{
    AppError code;
    std::string detail;

    bool operator==(const AppFailure &) const = default;
};

// The value of an application call, or its failure.
template<typename T>
using Result = core::outcome::result<T, AppFailure, core::outcome::policy::terminate>;

// Convert failures of the lower layers.
[[nodiscard]] AppFailure fromStore(const store::StoreFailure &failure);
[[nodiscard]] AppFailure fromNet(const net::NetFailure &failure);
[[nodiscard]] AppFailure fromCore(const core::CoreFailure &failure);

} // namespace fireflyroute::app

namespace fireflyroute::core {

template<>
struct EnumNames<app::AppError>
{
    static constexpr std::array table{
            EnumName{app::AppError::InvalidSetting, "bad_setting"},
            EnumName{app::AppError::StorageFailed, "storage_failed"},
            EnumName{app::AppError::NetworkFailed, "network_failed"},
            EnumName{app::AppError::Refused, "refused"},
            EnumName{app::AppError::Internal, "internal"},
    };
};

} // namespace fireflyroute::core

#endif
