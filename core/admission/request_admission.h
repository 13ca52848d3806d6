// Admission of the requests of a site: a policy that decides whether a request that matched a route
// and passed the check of its key may be sent to endpoints.
//
//   static_assert(RequestAdmission<AdmitAll>);
//   if (const std::optional<Refusal> refusal = policy.admit({route, account, form}, now))
//       refuse(*refusal);
//
// A request is asked about once. A refused request has not run and never will.

#ifndef FIREFLYROUTE_CORE_ADMISSION_REQUEST_ADMISSION_H
#define FIREFLYROUTE_CORE_ADMISSION_REQUEST_ADMISSION_H

#include "core/calls/request_form.h"
#include "core/calls/site_calls.h"
#include "core/common/clock.h"
#include "core/config/site_config.h"

#include <concepts>
#include <optional>

namespace fireflyroute::core {

// What a policy knows of a request. Valid during the call only.
struct AdmissionQuery
{
    const Route &route;
    const Account *account; // null on public routes or if no keys are configured
    RequestForm form;
};

// Returns the refusal of the request, or nothing if it is admitted.
template<typename P>
concept RequestAdmission = requires(P &policy, const AdmissionQuery &query, Instant now)
{
    {
        policy.admit(query, now)
        } -> std::same_as<std::optional<Refusal>>;
};

// Admits every request.
struct AdmitAll
{
    [[nodiscard]] static std::optional<Refusal> admit(const AdmissionQuery & /*query*/,
                                                      Instant /*now*/)
    {
        return std::nullopt;
    }
};

static_assert(RequestAdmission<AdmitAll>);

} // namespace fireflyroute::core

#endif
