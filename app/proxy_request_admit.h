// Admit: whether a checked request may be sent to endpoints.
//
// In: the route, the account and the content of the request.
// Out: an admitted request, which starts its first attempt, or a refusal, as the policy of the
// entry decides (core/admission/request_admission.h). For later phases: whether the request shares
// a trait with requests that crashed endpoints. This is asked before every attempt, because a trait
// may be quarantined while the request runs.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_ADMIT_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_ADMIT_H

#include "app/proxy_request.h"

namespace fireflyroute::app {

// A request that is routed again, after a wait for the start of the process, stays admitted.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::admit(core::Instant now)
{
    if (!isAdmitted_) {
        if (const std::optional<core::Refusal> refusal =
                    plane_.admission.admit({*route_, account_, form_}, now)) {
            refuse(*refusal);
            return;
        }
        isAdmitted_ = true;
        plane_.recordRequest(service_, now);
    }
    startAttempt();
}

// What the request has in common with others that may crash endpoints.
template<TrafficDialect Dialect>
std::vector<core::RequestTrait> ProxyRequest<Dialect>::traits() const
{
    return core::traitsOf(meta_.prompt, account_ ? account_->id : core::ClientAccountId(),
                          request_.target, *body_);
}

// Returns the quarantined trait because of which the request must not be sent now.
template<TrafficDialect Dialect>
std::optional<core::QuarantinedTrait> ProxyRequest<Dialect>::checkQuarantine(core::Instant now)
{
    if (!plane_.crashWatch.isActive())
        return std::nullopt;
    const std::optional<core::QuarantinedTrait> found =
            plane_.crashWatch.checkQuarantine(traits(), now);
    if (found) {
        LogLine(plane_.log, LogKind::Quarantine)
                .add("event", "refused")
                .add("id", meta_.id.value())
                .add("trait", core::describe(std::vector{*found}))
                .add("remaining_ms", core::toMillis(found->remaining))
                .add("attempts", attemptTracker_.attemptCount());
    }
    return found;
}

// A request that is only suspended and has not run may come again once it is clear whether it
// crashed endpoints.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::refuseQuarantined(const core::QuarantinedTrait &quarantined)
{
    if (responseStarted_)
        failRequest("quarantined");
    else if (quarantined.remaining <= core::CrashWatch::kMaxSuspension
             && attemptTracker_.ran() == core::Executed::No)
        refuse(core::Refusal::Suspended, quarantined.remaining);
    else
        refuse(core::Refusal::Quarantined);
}

} // namespace fireflyroute::app

#endif
