// Errors of the network layer. Exceptions of the HTTP and JSON libraries and errors of the core are
// converted to these at the interface of net/, so that its callers never handle library exceptions.

#ifndef FIREFLYROUTE_NET_ERRORS_H
#define FIREFLYROUTE_NET_ERRORS_H

#include "core/common/enum_names.h"
#include "core/common/errors.h"

#include <array>
#include <string>

namespace fireflyroute::net {

enum class NetError { Malformed, Unreachable, Timeout, Closed, RemoteFailure, BindFailed };

struct NetFailure
{
    NetError code;
    std::string detail;

    bool operator==(const NetFailure &) const = default;
};

// The result of a network call: a value or a failure.
template<typename T>
using Result = core::outcome::result<T, NetFailure, core::outcome::policy::terminate>;

} // namespace fireflyroute::net

namespace fireflyroute::core {

template<>
struct EnumNames<net::NetError>
{
    static constexpr std::array table{
            EnumName{net::NetError::Malformed, "malformed"},
            EnumName{net::NetError::Unreachable, "unreachable"},
            EnumName{net::NetError::Timeout, "timeout"},
            EnumName{net::NetError::Closed, "closed"},
            EnumName{net::NetError::RemoteFailure, "remote_failure"},
            EnumName{net::NetError::BindFailed, "bind_failed"},
    };
};

} // namespace fireflyroute::core

#endif
