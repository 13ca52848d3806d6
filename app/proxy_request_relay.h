// Relay: forwards the answer of the running attempt to the caller and records its outcome.
//
// In: the head, pieces of the body and the end of an endpoint's answer.
// Out: the response to the caller, of a stream event by event, and the end of the request; or the
// failure of the attempt, a status that may be retried, or a larger model. The endpoint isn't read
// while the caller is behind.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_RELAY_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_RELAY_H

#include "app/proxy_request.h"

#include <utility>

namespace fireflyroute::app {

namespace proxy {

// Minimum number of events of a stream to measure an endpoint's event interval.
constexpr std::uint32_t kMinEventsForInterval = 6;

// Fewest events of a stream that show whether its endpoint is slow.
constexpr std::uint32_t kMinEventsForPace = 3;

// Limits of answers that are buffered until they are complete: of an error, and of all answers
// together and what callers have not received yet, beyond which those larger than kLargeAnswerBytes
// are given up.
constexpr std::size_t kMaxErrorBytes = 64U << 10U;
constexpr std::size_t kMaxBufferedBytes = 8U << 20U;
constexpr std::size_t kLargeAnswerBytes = 256U << 10U;

constexpr unsigned kStreamStatus = 200;

} // namespace proxy

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onHead(const net::HttpResponseHead &head)
{
    const core::Instant now = plane_.clock.now();
    attempt_->head = head;
    attempt_->meta = Dialect::decodeAnswer(head);
    attempt_->hasHead = true;
    attempt_->lastProgressAt = now;
    plane_.path.recordBytes(attempt_->exchange, now);
    plane_.monitor.recordPrefillDone(attempt_->endpoint.id, attempt_->prefillTokens);
    if (attempt_->meta.load)
        plane_.monitor.recordLoad(attempt_->endpoint.id, *attempt_->meta.load, now);
    // An error response is read to its end, so that the connection can be reused.
    if (head.status >= proxy::kFirstNonSuccessStatus)
        return;
    if (!isValidAnswer(*attempt_)) {
        failAttempt(core::AttemptOutcome::Discarded, "unsound answer", false);
        return;
    }
    if (!isStream())
        return;
    if (const std::optional<std::size_t> largerModel = escalationTarget())
        escalate(*largerModel);
}

template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::isValidAnswer(const Attempt &attempt) const
{
    // A success that states that the request did not run contradicts itself.
    const bool isSound =
            attempt.meta.isSealed && !attempt.meta.isEncoded && !attempt.meta.notExecuted;
    return isSound && (!isStream() || isStreamAnswer(attempt.head));
}

// Whether the answer has the status of a stream and, if another endpoint began the stream, the same
// media type.
template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::isStreamAnswer(const net::HttpResponseHead &head) const
{
    const std::string *mediaType = net::findField(head.fields, "Content-Type");
    return head.status == proxy::kStreamStatus
           && (!responseStarted_ || (mediaType ? *mediaType : "") == streamMediaType_);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onBody(std::string_view piece)
{
    attempt_->lastProgressAt = plane_.clock.now();
    plane_.path.recordBytes(attempt_->exchange, attempt_->lastProgressAt);
    const bool isStreamed = isStream() && attempt_->head.status < proxy::kFirstNonSuccessStatus;
    if (isStreamed) {
        onEvents(piece);
        return;
    }
    attempt_->body += piece;
    plane_.bufferedBytes += piece.size();
    session_->setBufferedBytes(attempt_->body.size());
    if (isTooLarge())
        failAttempt(core::AttemptOutcome::Discarded, "answer too large", false);
}

template<TrafficDialect Dialect>
std::string ProxyRequest<Dialect>::takeBody()
{
    plane_.bufferedBytes -= attempt_->body.size();
    session_->setBufferedBytes(0);
    return std::exchange(attempt_->body, {});
}

// Whether the buffered answer has to be given up, since it may have no end.
template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::isTooLarge() const
{
    const std::size_t size = attempt_->body.size();
    if (attempt_->head.status >= proxy::kFirstNonSuccessStatus)
        return size > proxy::kMaxErrorBytes;
    const std::size_t total = plane_.bufferedBytes + session_->unsentBytesOfGroup();
    return size > proxy::kLargeAnswerBytes && total > proxy::kMaxBufferedBytes;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onEvents(std::string_view piece)
{
    std::string relayed;
    std::string_view fault;
    for (const core::StreamEvent &event : attempt_->splitter.push(piece)) {
        const core::SpliceDecision decision = streamSplice_.accept(event);
        if (decision == core::SpliceDecision::Gap)
            fault = "gap in the stream";
        else if (decision == core::SpliceDecision::Foreign)
            fault = "no event of the stream";
        if (!fault.empty())
            break;
        if (decision == core::SpliceDecision::Relay) {
            relayed += event.bytes;
            ++attempt_->relayedEvents;
        }
    }
    if (attempt_->splitter.isOversized())
        fault = "event too large";
    // The accepted events count as received by the caller, also if the attempt fails after them.
    if (!relayed.empty())
        relayEvents(relayed);
    if (!fault.empty())
        failAttempt(core::AttemptOutcome::Discarded, fault, false);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::relayEvents(std::string_view relayed)
{
    if (!attempt_->hasEvent) {
        attempt_->hasEvent = true;
        attempt_->firstEventAt = attempt_->lastProgressAt;
        const core::Duration latency = attempt_->lastProgressAt - attempt_->sentAt;
        plane_.monitor.recordSuccess(attempt_->endpoint.id, attempt_->lastProgressAt);
        if (plane_.isSlowStart(answerKind(), attempt_->load, latency))
            recordAnswer(latency);
        recordAnswered();
    }
    const std::optional<core::Duration> interval = eventInterval(proxy::kMinEventsForPace);
    const bool isSlow = interval && plane_.isSlowPace(answerKind(), attempt_->load, *interval);
    if (isSlow || attempt_->relayedEvents >= proxy::kMinEventsForInterval)
        recordAnswer(attempt_->firstEventAt - attempt_->sentAt);
    beginStream();
    session_->writeChunk(relayed);
    if (session_->isCongested())
        pauseForCaller();
}

// Without the pause, this process would hold whatever the endpoint sends before the caller reads
// it.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::pauseForCaller()
{
    attempt_->isPaused = true;
    attempt_->wasPaused = true;
    ++plane_.counts.pauses;
    attempt_->exchange.connection->pauseReading();
    session_->onDrained([weak = this->weak_from_this()] {
        if (const auto self = weak.lock())
            self->resumeAfterPause();
    });
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::resumeAfterPause()
{
    if (finished_ || !attempt_ || !attempt_->isPaused)
        return;
    attempt_->isPaused = false;
    attempt_->lastProgressAt = plane_.clock.now();
    armTimer();
    attempt_->exchange.connection->resumeReading();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onEnd(net::ResponseEnd /*end*/)
{
    if (attempt_->meta.notExecuted) {
        handleNotExecuted();
        return;
    }
    if (attempt_->head.status >= proxy::kFirstNonSuccessStatus) {
        recordAnswered();
        // Without the endpoint's statement that the request did not run, the status may be wrong.
        if (attempt_->meta.statusDeniesRun && !route_->isIdempotent())
            failAttempt(core::AttemptOutcome::Discarded, "refusal without a statement", false);
        else
            retryOrForwardError();
        return;
    }
    if (isStream()) {
        finishStream();
        return;
    }
    const core::Instant now = plane_.clock.now();
    const core::Duration latency = now - attempt_->sentAt;
    const core::Duration typical = plane_.typicalLatency(route_->name);
    recordAnswered();
    plane_.monitor.recordSuccess(attempt_->endpoint.id, now);
    if (typical > core::Duration::zero()) {
        plane_.monitor.recordRelativeLatency(attempt_->endpoint.id,
                                             static_cast<double>(latency.count())
                                                     / static_cast<double>(typical.count()));
    }
    recordAnswer(latency);
    ++plane_.counts.answered;
    session_->respond({attempt_->head.status, responseFields(), takeBody()});
    finish("answered", attempt_->head.status);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::finishStream()
{
    if (attempt_->splitter.hasIncompleteEvent()) {
        failAttempt(core::AttemptOutcome::Discarded, "ended within an event", false);
        return;
    }
    beginStream();
    if (attempt_->hasEvent)
        recordAnswer(attempt_->firstEventAt - attempt_->sentAt);
    ++plane_.counts.answered;
    session_->endStream();
    finish("answered", attempt_->head.status);
}

// Sends the head of the caller's stream, once.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::beginStream()
{
    if (std::exchange(responseStarted_, true))
        return;
    if (const std::string *mediaType = net::findField(attempt_->head.fields, "Content-Type"))
        streamMediaType_ = *mediaType;
    session_->beginStream({attempt_->head.status, responseFields()});
}

template<TrafficDialect Dialect>
net::HttpFields ProxyRequest<Dialect>::responseFields() const
{
    net::HttpFields fields;
    for (const net::HttpHeader &field : attempt_->head.fields) {
        if (!net::isHopByHop(field.name))
            fields.push_back(field);
    }
    return fields;
}

// The endpoint did not crash on the request.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::recordAnswered()
{
    if (plane_.crashWatch.isActive())
        plane_.crashWatch.recordAnswered(service_, traits());
}

// Records the event interval that was measured in this attempt.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::recordEventInterval()
{
    const std::optional<core::Duration> interval = eventInterval(proxy::kMinEventsForInterval);
    if (interval && !route_->models.empty())
        plane_.recordEventInterval(attempt_->endpoint.id, route_->models[model_], *interval);
}

// The mean interval between the events of this attempt, if at least `minEvents` have arrived.
template<TrafficDialect Dialect>
std::optional<core::Duration> ProxyRequest<Dialect>::eventInterval(std::uint32_t minEvents) const
{
    if (attempt_->relayedEvents < minEvents || attempt_->wasPaused)
        return std::nullopt;
    return (attempt_->lastProgressAt - attempt_->firstEventAt) / (attempt_->relayedEvents - 1);
}

template<TrafficDialect Dialect>
core::AnswerKind ProxyRequest<Dialect>::answerKind() const
{
    return {route_->name, route_->models.empty() ? core::ModelName() : route_->models[model_]};
}

// Records the successful answer of this attempt for roll-outs, once: a stream as soon as it is
// known to be slow or has enough events to tell.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::recordAnswer(core::Duration firstByte)
{
    if (std::exchange(attempt_->isOutcomeRecorded, true))
        return;
    plane_.recordAnswer(attempt_->endpoint, answerKind(),
                        {attempt_->load, firstByte, eventInterval(proxy::kMinEventsForPace)});
}

// Records an attempt that ends with its request, before its answer is complete: callers leave slow
// answers, and those must not be missing from the outcomes.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::recordUnfinishedAnswer(core::Instant now)
{
    const core::Duration firstByte =
            (attempt_->hasEvent ? attempt_->firstEventAt : now) - attempt_->sentAt;
    if (attempt_->hasEvent || plane_.isSlowStart(answerKind(), attempt_->load, firstByte))
        recordAnswer(firstByte);
}

} // namespace fireflyroute::app

#endif
