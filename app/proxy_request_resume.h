// Resume: what follows an attempt that gave no complete answer.
//
// In: the failure of an attempt, its time-out, a lost path, an error status, a statement that the
// request did not run, or a larger model that should answer.
// Out: the end of the attempt, and another one (which continues a stream after the last event that
// was sent to the caller), a pause, or the end of the request.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_RESUME_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_RESUME_H

#include "app/proxy_request.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::app {

namespace proxy {

// Pause before a stream that no endpoint can continue now is tried again.
constexpr std::chrono::milliseconds kResumePause{250};

constexpr unsigned kFirstServerError = 500;

} // namespace proxy

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onTimer()
{
    const core::Instant now = plane_.clock.now();
    if (now >= deadlineAt_) {
        attemptTracker_.recordOutcome(core::AttemptOutcome::Failed);
        endAttempt();
        failRequest("deadline");
        return;
    }
    const bool isStalled = now >= stallDeadline();
    if (isStalled && plane_.canRetry(service_, now) && hasAlternative(now)) {
        failAttempt(core::AttemptOutcome::Failed, "silent", true);
        return;
    }
    // Without a possible retry, cancelling gains nothing: the endpoint may still answer.
    if (isStalled)
        attempt_->lastProgressAt = now;
    armTimer();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onFailed(const net::ExchangeFailure &failure)
{
    if (attempt_->meta.notExecuted) {
        handleNotExecuted();
        return;
    }
    const core::AttemptOutcome outcome = failure.mayHaveReachedPeer ? core::AttemptOutcome::Failed
                                                                    : core::AttemptOutcome::NotSent;
    const bool isEndpointAtFault = plane_.path.recordFailure(
            attempt_->exchange, attempt_->endpoint.id, failure, plane_.clock.now());
    // Other idle connections to the endpoint may have failed with this one.
    if (!attempt_->hasHead && failure.error != net::ExchangeError::RelayFailed)
        plane_.pool.closeIdle(attempt_->endpoint.id,
                              EndpointPool::pathOf(*attempt_->exchange.connection));
    const bool mayHaveCrashed = failure.mayHaveReachedPeer && !attempt_->hasEvent
                                && failure.error != net::ExchangeError::Malformed;
    if (mayHaveCrashed) {
        plane_.crashWatch.recordCrash(
                {attempt_->endpoint.id, attempt_->endpoint.startedAtMs, service_, traits()},
                plane_.clock.now());
    }
    if (!isEndpointAtFault) {
        // The relay's view may be newer than this entry's.
        if (failure.relayAnswer == net::TunnelStatus::NotAllowed)
            excludedEndpoints_.insert(attempt_->endpoint.id);
        failAttemptOnPath(outcome, core::nameOf(failure.error));
        return;
    }
    // A relay that is about to lose its own path may be refused by every endpoint.
    const bool isRefused = failure.error == net::ExchangeError::ConnectFailed
                           && !attempt_->exchange.connection->isRelayed();
    if (isRefused)
        plane_.recordConnectionRefusal(attempt_->endpoint.id);
    failAttempt(outcome, core::nameOf(failure.error), !failure.mayHaveReachedPeer);
}

// The path of the running attempt is lost. Continues on a relayed connection what is safe to send
// again.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onPathLost()
{
    if (!attempt_ || finished_)
        return;
    if (!attempt_->exchange.connection->isConnected()) {
        failAttemptOnPath(core::AttemptOutcome::NotSent, "path lost");
        return;
    }
    const bool mayRetry = plane_.path.state() == core::PathState::Silent && !attempt_->hasHead
                          && route_->isIdempotent()
                          && attemptTracker_.allowsAnother(route_->maxAttempts)
                          && plane_.canRetry(service_, plane_.clock.now());
    if (mayRetry)
        failAttemptOnPath(core::AttemptOutcome::Failed, "path lost");
}

// Handles a response in which the endpoint reports that it did not run the request.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::handleNotExecuted()
{
    const core::EndpointId id = attempt_->endpoint.id;
    const core::Instant now = plane_.clock.now();
    if (attempt_->meta.wrongEndpoint)
        plane_.monitor.recordReplacement(id, now);
    else
        plane_.monitor.recordSaturation(id, now);
    const bool isWrongEndpoint = attempt_->meta.wrongEndpoint;
    endAttempt();
    if (isWrongEndpoint)
        plane_.pool.closeIdle(id);
    else
        unavailableEndpoints_.insert(id);
    excludedEndpoints_.insert(id);
    retryOrFail(core::AttemptOutcome::Rejected,
                isWrongEndpoint ? "another endpoint has the address" : "endpoint full");
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::escalate(std::size_t largerModel)
{
    const core::Instant now = plane_.clock.now();
    if (!plane_.tryEscalation(service_, now))
        return;
    attemptTracker_.recordOutcome(core::AttemptOutcome::Discarded);
    ++plane_.counts.escalated;
    recordAnswer(now - attempt_->sentAt);
    LogLine(plane_.log, LogKind::Attempt)
            .add("id", meta_.id.value())
            .add("endpoint", lastEndpoint_.value())
            .add("decision", "larger model")
            .add("model", route_->models[model_].value())
            .add("confidence", static_cast<std::int64_t>(*attempt_->meta.confidence));
    endAttempt();
    model_ = largerModel;
    startAttempt();
}

// Handles an error status of an endpoint: retries on another endpoint if allowed, otherwise
// forwards the response.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::retryOrForwardError()
{
    const core::Instant now = plane_.clock.now();
    const unsigned status = attempt_->head.status;
    const bool isServerError = status >= proxy::kFirstServerError;
    if (isServerError) {
        attempt_->isOutcomeRecorded = true;
        plane_.recordFailedAnswer(attempt_->endpoint, route_->name);
        plane_.monitor.recordFailure(attempt_->endpoint.id, false, now);
    }
    if (isServerError && responseStarted_) {
        excludedEndpoints_.insert(attempt_->endpoint.id);
        endAttempt();
        retryOrFail(core::AttemptOutcome::Discarded, "error status");
        return;
    }
    const bool mayRetry = isServerError && route_->isIdempotent()
                          && attemptTracker_.allowsAnother(route_->maxAttempts)
                          && deadlineAt_ - now > proxy::kMinAttemptTime
                          && plane_.tryRetry(service_, now);
    if (mayRetry) {
        excludedEndpoints_.insert(attempt_->endpoint.id);
        endAttempt();
        attemptTracker_.recordOutcome(core::AttemptOutcome::Discarded);
        ++plane_.counts.retries;
        startAttempt();
        return;
    }
    if (responseStarted_) {
        failRequest("error status");
        return;
    }
    session_->respond({status, responseFields(), takeBody()});
    finish("failed", status);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::failAttemptOnPath(core::AttemptOutcome outcome, std::string_view cause)
{
    if (regions_.isRestricted()) {
        excludedEndpoints_.insert(attempt_->endpoint.id);
        if (outcome == core::AttemptOutcome::NotSent)
            unavailableEndpoints_.insert(attempt_->endpoint.id);
    }
    endAttempt();
    retryOrFail(outcome, cause);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::failAttempt(core::AttemptOutcome outcome, std::string_view cause,
                                        bool isSevere)
{
    const core::Instant now = plane_.clock.now();
    const core::EndpointRecord endpoint = attempt_->endpoint;
    if (outcome == core::AttemptOutcome::Failed
        && !plane_.path.mayBlameEndpoint(attempt_->exchange, now)) {
        failAttemptOnPath(outcome, cause);
        return;
    }
    plane_.monitor.recordFailure(endpoint.id, isSevere, now);
    if (outcome == core::AttemptOutcome::Discarded)
        plane_.recordFailedAnswer(endpoint, route_->name);
    else if (outcome == core::AttemptOutcome::Failed)
        plane_.recordInterruption(endpoint, route_->name, now);
    excludedEndpoints_.insert(endpoint.id);
    if (outcome == core::AttemptOutcome::NotSent)
        unavailableEndpoints_.insert(endpoint.id);
    endAttempt();
    retryOrFail(outcome, cause);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::retryOrFail(core::AttemptOutcome outcome, std::string_view cause)
{
    const core::Instant now = plane_.clock.now();
    attemptTracker_.recordOutcome(outcome);
    const bool wasTaken =
            outcome != core::AttemptOutcome::NotSent && outcome != core::AttemptOutcome::Rejected;
    if (wasTaken)
        failedEndpoint_ = lastEndpoint_;
    const bool hasAttemptsLeft = attemptTracker_.allowsAnother(route_->maxAttempts);
    const bool consumesBudget = core::consumesRetryBudget(outcome);
    const core::RetryVerdict verdict = retryVerdict();
    const core::NextStep step = nextStep(verdict, consumesBudget, now);
    LogLine(plane_.log, LogKind::Attempt)
            .add("id", meta_.id.value())
            .add("endpoint", lastEndpoint_.value())
            .add("cause", cause)
            .add("end", core::nameOf(outcome))
            .add("verdict", core::nameOf(verdict))
            .add("decision", core::nameOf(step))
            .add("attempts", attemptTracker_.attemptCount())
            .add("attempts_left", hasAttemptsLeft ? "yes" : "no")
            .add("begun", responseStarted_ ? "yes" : "no")
            .add("age_ms", core::toMillis(now - arrivedAt_));
    switch (step) {
    case core::NextStep::Retry:
        retry();
        break;
    case core::NextStep::Wait:
        waitForEndpoint(consumesBudget);
        break;
    case core::NextStep::GiveUp:
        failRequest(cause);
        break;
    }
}

template<TrafficDialect Dialect>
core::RetryVerdict ProxyRequest<Dialect>::retryVerdict() const
{
    return attemptTracker_.retryVerdict(route_->isIdempotent(), responseStarted_ && !isStream());
}

// Takes a retry from the budget if one is due and `consumesBudget` is set.
template<TrafficDialect Dialect>
core::NextStep ProxyRequest<Dialect>::nextStep(core::RetryVerdict verdict, bool consumesBudget,
                                               core::Instant now)
{
    const auto step = [&](bool isAffordable) {
        return attemptTracker_.nextStep(verdict, route_->maxAttempts, isAffordable,
                                        responseStarted_ && isStream());
    };
    const bool isAffordable = step(true) != core::NextStep::Retry || !consumesBudget
                              || plane_.tryRetry(service_, now);
    return step(isAffordable);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::retry()
{
    ++plane_.counts.retries;
    plane_.counts.resumed += responseStarted_ ? 1 : 0;
    startAttempt();
}

// Retries after a pause, or ends the request if its deadline has passed by then. Endpoints that did
// not take the request may be tried again.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::waitForEndpoint(bool consumesBudget)
{
    ++plane_.counts.waits;
    timer_.expires_after(
            std::min<core::Duration>(proxy::kResumePause, deadlineAt_ - plane_.clock.now()));
    timer_.async_wait([self = this->shared_from_this(),
                       consumesBudget](const boost::system::error_code &error) {
        if (error || self->finished_ || self->attempt_)
            return;
        self->attemptTracker_.recordPause();
        for (const core::EndpointId &id : std::exchange(self->unavailableEndpoints_, {}))
            self->excludedEndpoints_.erase(id);
        const core::Instant now = self->plane_.clock.now();
        if (self->deadlineAt_ - now < proxy::kMinAttemptTime)
            self->failRequest("deadline");
        else if (self->nextStep(self->retryVerdict(), consumesBudget, now) == core::NextStep::Retry)
            self->retry();
        else
            self->waitForEndpoint(consumesBudget);
    });
}

// Called if no endpoint is eligible. Readmits the one that failed last, unless others become
// eligible after the pause.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::waitForAnyEndpoint()
{
    if (failedEndpoint_ && unavailableEndpoints_.empty())
        excludedEndpoints_.erase(*failedEndpoint_);
    waitForEndpoint(false);
}

// Ends the exchange with the endpoint. Cancels it if it is still running.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::endAttempt()
{
    if (!attempt_)
        return;
    recordEventInterval();
    if (!attempt_->hasHead)
        plane_.monitor.recordPrefillDone(attempt_->endpoint.id, attempt_->prefillTokens);
    plane_.monitor.recordEnd(attempt_->endpoint.id);
    plane_.adjustRunning(attempt_->endpoint, route_->name, -1);
    plane_.pins.recordEnd(meta_.session, attempt_->endpoint.version, plane_.clock.now());
    (void)takeBody();
    plane_.path.end(attempt_->exchange);
    const std::shared_ptr<net::EndpointConnection> &connection = attempt_->exchange.connection;
    if (connection->isReusable())
        plane_.pool.release(attempt_->endpoint, connection);
    else
        connection->cancel();
    attempt_.reset();
}

} // namespace fireflyroute::app

#endif
