// Errors of durable storage. File system errors are converted to these at the interface of store/.

#ifndef FIREFLYROUTE_STORE_ERRORS_H
#define FIREFLYROUTE_STORE_ERRORS_H

#include "core/common/enum_names.h"
#include "core/common/errors.h"

#include <array>
#include <string>

namespace fireflyroute::store {

enum class StoreError { CannotOpen, Locked, Corrupt, WriteFailed, SyncFailed, WrongFormat };

struct StoreFailure
{
    StoreError code;
    std::string detail;

    bool operator==(const StoreFailure &) const = default;
};

// The result of a storage call: a value or a failure.
template<typename T>
using Result = core::outcome::result<T, StoreFailure, core::outcome::policy::terminate>;

} // namespace fireflyroute::store

namespace fireflyroute::core {

template<>
struct EnumNames<store::StoreError>
{
    static constexpr std::array table{
            EnumName{store::StoreError::CannotOpen, "cannot_open"},
            EnumName{store::StoreError::Locked, "locked"},
            EnumName{store::StoreError::Corrupt, "corrupt"},
            EnumName{store::StoreError::WriteFailed, "write_failed"},
            EnumName{store::StoreError::SyncFailed, "sync_failed"},
            EnumName{store::StoreError::WrongFormat, "wrong_format"},
    };
};

} // namespace fireflyroute::core

#endif
