// End and refuse: the last phase of a request.
//
// In: a refusal, a cause without a further attempt, a caller that left, the stop of the process, or
// the outcome of a complete response.
// Out: the refusal or the interruption of the response, one log line and one latency sample. The
// running attempt is ended and the session is released.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_END_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_END_H

#include "app/proxy_request.h"

namespace fireflyroute::app {

namespace proxy {

// Retry-After values of refusals. An entry without fresh state waits for an election or for its
// first connections, which takes about a second.
constexpr std::chrono::milliseconds kRetryAfter{300};
constexpr std::chrono::milliseconds kRetryAfterNotReady{1300};

} // namespace proxy

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::failRequest(std::string_view cause)
{
    if (responseStarted_) {
        ++plane_.counts.interrupted;
        ++plane_.interruptions[std::string(cause)];
        session_->abort();
        finish(cause, 0);
        return;
    }
    const bool isPastDeadline = plane_.clock.now() + proxy::kMinAttemptTime >= deadlineAt_;
    if (attemptTracker_.ran() != core::Executed::No)
        refuse(isPastDeadline ? core::Refusal::DeadlineExceeded : core::Refusal::EndpointFailed);
    else if (isPastDeadline)
        refuse(core::Refusal::Expired);
    else if (attemptTracker_.wasRejected())
        refuse(core::Refusal::NotExecuted);
    else
        refuse(plane_.isEvacuated(service_) ? core::Refusal::Evacuated : core::Refusal::NoEndpoint);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::refuse(core::Refusal refusal, std::optional<core::Duration> retryAfter)
{
    ++plane_.counts.refused;
    ++plane_.refusals[refusal];
    const bool isRetryable =
            refusal == core::Refusal::NotReady || refusal == core::Refusal::NoEndpoint
            || refusal == core::Refusal::Evacuated || refusal == core::Refusal::NotExecuted
            || refusal == core::Refusal::Overloaded;
    if (isRetryable && !retryAfter) {
        retryAfter = refusal == core::Refusal::NotReady ? proxy::kRetryAfterNotReady
                                                        : proxy::kRetryAfter;
    }
    const net::HttpResponseMessage response =
            Dialect::encodeRefusal(refusal, retryAfter.value_or(core::Duration::zero()));
    session_->respond(response);
    finish(core::nameOf(refusal), response.status);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onCallerDisconnected()
{
    if (finished_)
        return;
    ++plane_.counts.disconnected;
    finish("caller left", 0);
}

// The process exits soon, before the deadline of the request. A stream that has begun may still be
// completed until then.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onLastCall()
{
    if (finished_ || responseStarted_)
        return;
    if (attempt_) {
        const bool isConnected = attempt_->exchange.connection->isConnected();
        attemptTracker_.recordOutcome(isConnected ? core::AttemptOutcome::Failed
                                                  : core::AttemptOutcome::NotSent);
    }
    endAttempt();
    deadlineAt_ = plane_.clock.now();
    failRequest("process stops");
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::finish(std::string_view outcome, unsigned status)
{
    finished_ = true;
    const core::Instant now = plane_.clock.now();
    LogLine line(plane_.log, LogKind::Request);
    line.add("id", meta_.id.value())
            .add("outcome", outcome)
            .add("status", status)
            .add("took_ms", core::toMillis(now - arrivedAt_))
            .add("attempts", attemptTracker_.attemptCount())
            .add("revision", static_cast<std::int64_t>(plane_.view->revision))
            .add("proof_left_ms", core::toMillis(plane_.freshUntil - now));
    if (route_)
        line.add("route", route_->name).add("ran", core::nameOf(attemptTracker_.ran()));
    if (attempt_) {
        line.add("endpoint", attempt_->endpoint.id.value())
                .add("version", attempt_->endpoint.version.value())
                .add("busy", static_cast<std::int64_t>(
                                     plane_.monitor.estimatedLoad(attempt_->endpoint.id, now)));
        if (!route_->models.empty())
            line.add("model", route_->models[model_].value());
        if (attempt_->hasEvent)
            line.add("events", attempt_->relayedEvents)
                    .add("likely_tokens", meta_.estimatedOutputTokens.value_or(0))
                    .add("first_ms", core::toMillis(attempt_->firstEventAt - attempt_->sentAt));
        if (attempt_->meta.confidence)
            line.add("confidence", static_cast<std::int64_t>(*attempt_->meta.confidence));
    }
    recordLatency(outcome, now);
    if (attempt_)
        recordUnfinishedAnswer(now);
    endAttempt();
    timer_.cancel();
    session_->onDisconnect(nullptr);
    session_->onLastCall(nullptr);
    session_->onDrained(nullptr);
    session_.reset();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::recordLatency(std::string_view outcome, core::Instant now)
{
    RequestLabels labels{"none", 0, "", std::string(outcome)};
    if (route_) {
        labels.kind = core::nameOf(route_->kind);
        labels.rank = rank();
        if (attempt_ && !route_->models.empty())
            labels.model = route_->models[model_].value();
    }
    const bool hasEvent = attempt_ && attempt_->hasEvent;
    plane_.histograms.count(labels, now - arrivedAt_,
                            hasEvent ? std::optional(attempt_->firstEventAt - arrivedAt_)
                                     : std::nullopt);
}

} // namespace fireflyroute::app

#endif
