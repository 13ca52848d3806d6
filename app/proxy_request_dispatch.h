// Dispatch: sends the request to the chosen endpoint and watches its progress.
//
// In: the chosen endpoint.
// Out: a running attempt, with the handlers of its answer, and a timer for the deadline of the
// request and for an endpoint that stalls; or a retry if the endpoint can't be reached.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_DISPATCH_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_DISPATCH_H

#include "app/proxy_request.h"

#include <algorithm>

namespace fireflyroute::app {

namespace proxy {

// An idempotent request is retried on another endpoint if the current one makes no progress for the
// longer of two times: the route's latency objective multiplied by the factor for streams or calls,
// and the route's typical latency multiplied by kStallLatencyFactor. After the first event of a
// stream, the time is the route's gap objective multiplied by kGapStallFactor, but at least
// kMinGapTimeout: a healthy endpoint may pause for a second or so, and leaving it repeats its work.
constexpr double kStreamStallObjectiveFactor = 1.3;
constexpr double kCallStallObjectiveFactor = 0.75;
constexpr double kStallLatencyFactor = 4;
constexpr double kGapStallFactor = 1.5;
constexpr std::chrono::milliseconds kMinGapTimeout{2000};
constexpr std::chrono::milliseconds kProbeStallTimeout{800}; // of the direct path while isolated

// Urgency values of the platform, where 5 is the default and 0 the most urgent, derived from the
// rank.
constexpr std::uint32_t kUrgencyPerRank = 3;
constexpr std::uint32_t kMaxUrgency = 9;

inline core::Duration scaled(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace proxy

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::send(const core::PickResult &pick, core::Instant now)
{
    attemptTracker_.recordStart();
    const core::EndpointRecord &endpoint = *pick.endpoint;
    lastEndpoint_ = endpoint.id;
    const bool mayProbe = route_->isIdempotent() && attemptTracker_.attemptCount() == 1
                          && attemptTracker_.allowsAnother(route_->maxAttempts)
                          && plane_.canRetry(service_, now);
    const auto onPathLost = [weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->onPathLost();
    };
    const bool isAllowed = plane_.takeColdAllowance(endpoint, now);
    std::optional<EndpointExchange> exchange;
    if (isAllowed) {
        exchange = plane_.path.start(endpoint, meta_.id, {mayProbe, !regions_.isRestricted()},
                                     onPathLost, now);
    }
    if (!exchange) {
        excludedEndpoints_.insert(endpoint.id);
        retryOrFail(core::AttemptOutcome::NotSent, isAllowed ? "bad address" : "cold");
        return;
    }
    attempt_.emplace();
    attempt_->endpoint = endpoint;
    attempt_->exchange = *exchange;
    attempt_->sentAt = now;
    attempt_->lastProgressAt = now;
    attempt_->load =
            core::loadLevel(plane_.monitor.estimatedLoad(endpoint.id, now), endpoint.slots);
    ++plane_.counts.attempts;
    attempt_->prefillTokens = pick.prefillTokens;
    plane_.monitor.recordDispatch(endpoint.id, pick.prefillTokens);
    plane_.adjustRunning(endpoint, route_->name, 1);
    if (!meta_.prompt.empty() && !route_->models.empty())
        plane_.prompts.recordSent(endpoint.id, route_->models[model_], meta_.prompt, now);
    plane_.pins.recordStart(meta_.session, endpoint.version, now);
    const core::Dispatch dispatch = makeDispatch(endpoint, now);
    armTimer();
    const net::HttpRequestMessage dispatched = Dialect::encodeDispatch(request_, dispatch);
    exchange->connection->send(net::encodeRequest(dispatched, body_), handlers(),
                               exchange->connectTimeout);
}

template<TrafficDialect Dialect>
core::Dispatch ProxyRequest<Dialect>::makeDispatch(const core::EndpointRecord &endpoint,
                                                   core::Instant now) const
{
    core::Dispatch dispatch;
    dispatch.endpoint = endpoint.id;
    if (account_)
        dispatch.account = account_->id;
    dispatch.deadline = deadlineAt_ - now;
    if (!route_->models.empty()) {
        dispatch.model = route_->models[model_];
        dispatch.urgency = std::min(rank() * proxy::kUrgencyPerRank, proxy::kMaxUrgency);
    }
    dispatch.resumeAfter = streamSplice_.lastEvent();
    return dispatch;
}

template<TrafficDialect Dialect>
net::ExchangeHandlers ProxyRequest<Dialect>::handlers()
{
    const auto self = this->shared_from_this();
    net::ExchangeHandlers handlers;
    handlers.matchesRequest = [self](const net::HttpResponseHead &head) {
        return Dialect::decodeAnswer(head).id == self->meta_.id;
    };
    handlers.onHead = [self](const net::HttpResponseHead &head) { self->onHead(head); };
    handlers.onBody = [self](std::string_view piece) { self->onBody(piece); };
    handlers.onComplete = [self](net::ResponseEnd end) { self->onEnd(end); };
    handlers.onFailure = [self](const net::ExchangeFailure &failure) { self->onFailed(failure); };
    return handlers;
}

template<TrafficDialect Dialect>
std::uint32_t ProxyRequest<Dialect>::rank() const
{
    return account_ && account_->rank ? *account_->rank : route_->rank;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::armTimer()
{
    const core::Instant now = plane_.clock.now();
    timer_.expires_after(
            std::max(core::Duration::zero(), std::min(deadlineAt_, stallDeadline()) - now));
    timer_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        // The wait may have expired before the attempt that it belongs to ended.
        if (!error && !self->finished_ && self->attempt_)
            self->onTimer();
    });
}

// Returns the time at which the endpoint is considered stalled, or the request's deadline if a
// retry is not allowed.
template<TrafficDialect Dialect>
core::Instant ProxyRequest<Dialect>::stallDeadline() const
{
    const bool mayRetry = attempt_ && !attempt_->isPaused && route_->isIdempotent()
                          && attemptTracker_.allowsAnother(route_->maxAttempts);
    return mayRetry ? attempt_->lastProgressAt + stallTimeout() : deadlineAt_;
}

template<TrafficDialect Dialect>
core::Duration ProxyRequest<Dialect>::stallTimeout() const
{
    if (attempt_->exchange.isProbe && !attempt_->hasHead)
        return proxy::kProbeStallTimeout;
    const core::Duration typical =
            proxy::scaled(plane_.typicalLatency(route_->name), proxy::kStallLatencyFactor);
    if (!isStream()) {
        return std::max(typical,
                        proxy::scaled(route_->latencyObjective, proxy::kCallStallObjectiveFactor));
    }
    if (!attempt_->hasEvent) {
        return std::max(typical, proxy::scaled(route_->latencyObjective,
                                               proxy::kStreamStallObjectiveFactor));
    }
    return std::max<core::Duration>(proxy::kMinGapTimeout,
                                    proxy::scaled(route_->gapObjective, proxy::kGapStallFactor));
}

} // namespace fireflyroute::app

#endif
