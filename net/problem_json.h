// Error responses to callers as problem documents (RFC 9457), with a member `ran` that states
// whether the request was executed, and the HTTP status of each error of the core.

#ifndef FIREFLYROUTE_NET_PROBLEM_JSON_H
#define FIREFLYROUTE_NET_PROBLEM_JSON_H

#include "core/common/errors.h"
#include "core/common/types.h"
#include "net/errors.h"
#include "net/http_types.h"

#include <chrono>

namespace fireflyroute::net {

// Returns the HTTP status for an error of the core.
[[nodiscard]] int statusOf(core::CoreError error);

[[nodiscard]] HttpResponse
problemResponse(const core::CoreFailure &failure, core::Executed executed,
                std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0));

// Returns status 400 for a request that could not be decoded and was therefore not executed.
[[nodiscard]] HttpResponse malformedResponse(const NetFailure &failure);

} // namespace fireflyroute::net

#endif
