// Implementation of ProxyRequest. Included by app/proxy_request.h only.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H

#include "app/proxy_request.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::app {

namespace proxy {

// How long a request waits for a change of the entry's state, while the process starts, before it
// is routed again.
constexpr std::chrono::milliseconds kStartupWaitLimit{1500};

// Pause before a stream that no endpoint can continue now is tried again.
constexpr std::chrono::milliseconds kResumePause{250};

// Minimum time before the deadline for a new attempt.
constexpr std::chrono::milliseconds kMinAttemptTime{10};

// Retry-After values of refusals. An entry without fresh state waits for an election or for its
// first connections, which takes about a second.
constexpr std::chrono::milliseconds kRetryAfter{300};
constexpr std::chrono::milliseconds kRetryAfterNotReady{1300};

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

// Estimated bytes of a stream per token, framing included. Used only to choose an endpoint.
constexpr double kStreamBytesPerToken = 10;

// Expected length of an answer relative to the caller's token limit, if the caller gives no
// estimate.
constexpr double kTypicalOutputShare = 0.35;

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
constexpr unsigned kFirstNonSuccessStatus = 300;
constexpr unsigned kFirstServerError = 500;

inline core::Duration scaled(core::Duration duration, double factor)
{
    return std::chrono::duration_cast<core::Duration>(duration * factor);
}

} // namespace proxy

template<TrafficDialect Dialect>
ProxyRequest<Dialect>::ProxyRequest(TrafficPlane &plane,
                                    std::shared_ptr<net::ServerSession> session,
                                    net::HttpRequestMessage request)
    : plane_(plane)
    , session_(std::move(session))
    , request_(std::move(request))
    , body_(std::make_shared<const std::string>(std::move(request_.body)))
    , meta_(Dialect::decodeRequest(request_))
    , timer_(plane.io)
    , arrivedAt_(plane.clock.now())
    , streamSplice_(meta_.lastEvent)
{}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::start()
{
    ++plane_.counts.requests;
    session_->onDisconnect([self = this->shared_from_this()] { self->onCallerDisconnected(); });
    session_->onLastCall([self = this->shared_from_this()] { self->onLastCall(); });
    route();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::route()
{
    const core::Instant now = plane_.clock.now();
    const std::optional<core::Refusal> refusal = prepare(now);
    if (refusal == core::Refusal::NotReady && plane_.isStarting(now)) {
        waitForStartup();
        return;
    }
    if (refusal) {
        refuse(*refusal);
        return;
    }
    if (!std::exchange(isCounted_, true))
        plane_.recordRequest(service_, now);
    startAttempt();
}

// Retries routing after the next change of the entry's state, or after kStartupWaitLimit if nothing
// changes. Once the start-up period is over, route() no longer waits.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::waitForStartup()
{
    const auto retry = [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->finished_ && !self->attempt_ && self->attemptTracker_.hasNoAttempts())
            self->route();
    };
    plane_.onNextChange(retry);
    timer_.expires_after(proxy::kStartupWaitLimit);
    timer_.async_wait(
            [self = this->shared_from_this(), retry](const boost::system::error_code &error) {
                if (!error)
                    retry();
            });
}

template<TrafficDialect Dialect>
std::optional<core::Refusal> ProxyRequest<Dialect>::prepare(core::Instant now)
{
    table_ = plane_.view->table;
    if (!table_ || !plane_.stop.takesRequests(now))
        return core::Refusal::NotReady;
    const std::string_view target(request_.target);
    const std::string_view host(meta_.host);
    route_ = table_->match(host.substr(0, host.find(':')), target.substr(0, target.find('?')));
    const bool needsFreshState = !route_ || !route_->isPublic;
    if (needsFreshState && !plane_.isFresh(now))
        return core::Refusal::NotReady;
    if (!route_)
        return core::Refusal::UnknownRoute;
    if (table_->needsKeys() && !route_->isPublic) {
        account_ = table_->accountOf(meta_.key);
        if (!account_)
            return core::Refusal::UnknownKey;
    }
    deadlineAt_ = arrivedAt_ + std::min(meta_.deadline.value_or(route_->timeout), route_->timeout);
    // The caller of a call gets an answer before this process exits, also if its endpoint is late.
    if (!isStream())
        deadlineAt_ = std::min(deadlineAt_, plane_.stop.answerBy());
    chooseService();
    model_ = plane_.models.initialModel(*route_);
    return std::nullopt;
}

// Chooses a service by weight. All requests of a session get the same service.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::chooseService()
{
    std::uint64_t totalWeight = 0;
    for (const core::WeightedService &weighted : route_->services)
        totalWeight += weighted.weight;
    const std::string &identity = meta_.session.empty() ? meta_.id.value() : meta_.session.value();
    std::uint64_t point =
            std::hash<std::string>()(identity) % std::max<std::uint64_t>(totalWeight, 1);
    for (const core::WeightedService &weighted : route_->services) {
        service_ = weighted.service;
        if (point < weighted.weight)
            return;
        point -= weighted.weight;
    }
}

// What the request has in common with others that may crash endpoints.
template<TrafficDialect Dialect>
std::vector<core::RequestTrait> ProxyRequest<Dialect>::traits() const
{
    return core::traitsOf(meta_.prompt, account_ ? account_->id : core::ClientAccountId(),
                          request_.target, *body_);
}

template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::isQuarantined(core::Instant now) const
{
    if (!plane_.crashWatch.isActive())
        return false;
    const std::optional<core::RequestTrait> found =
            plane_.crashWatch.findQuarantined(traits(), now);
    if (!found)
        return false;
    LogLine(plane_.log, LogKind::Quarantine)
            .add("event", "refused")
            .add("id", meta_.id.value())
            .add("trait", core::describe(std::vector{*found}))
            .add("attempts", attemptTracker_.attemptCount());
    return true;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::startAttempt()
{
    const core::Instant now = plane_.clock.now();
    if (deadlineAt_ - now < proxy::kMinAttemptTime) {
        failRequest("no time left");
        return;
    }
    if (isQuarantined(now)) {
        if (responseStarted_)
            failRequest("quarantined");
        else
            refuse(core::Refusal::Quarantined);
        return;
    }
    const core::PickResult pick = pickEndpoint(model_, excludedEndpoints_, now);
    if (pick.endpoint)
        send(pick, now);
    else if (attemptTracker_.hasNoAttempts() && plane_.isStarting(now))
        waitForStartup();
    else if (responseStarted_)
        waitForAnyEndpoint();
    else
        failRequest("no endpoint usable");
}

// Picks the best endpoint for an attempt with the model, among the endpoints that are eligible.
template<TrafficDialect Dialect>
core::PickResult ProxyRequest<Dialect>::pickEndpoint(std::size_t model,
                                                     const std::set<core::EndpointId> &excluded,
                                                     core::Instant now) const
{
    const auto rollout = plane_.view->rollouts.find(service_);
    const auto endpoints = plane_.view->endpoints.find(service_);
    if (endpoints == plane_.view->endpoints.end())
        return {};
    // An attempt after another one continues a stream that the process has to finish anyway.
    const bool isContinued = responseStarted_ || !excluded.empty();
    if (isStream() && !isContinued && !plane_.stop.startsStreams(now))
        return {};
    core::VersionGate gate(rollout == plane_.view->rollouts.end() ? nullptr : &rollout->second,
                           endpoints->second);
    const bool hasSession = !meta_.session.empty();
    gate.sampleCanary(hasSession ? meta_.session.value() : meta_.id.value(),
                      plane_.settings.canaryShare,
                      hasSession ? plane_.pins.versionOf(meta_.session, now) : std::nullopt);
    core::PickRequest query = makePickRequest(model);
    core::PromptMatch match;
    if (query.prompt) {
        match = plane_.prompts.match(query.model, *query.prompt, now);
        query.match = &match;
    }
    const auto pick = [&] {
        return plane_.picker.pick(plane_.candidates(service_, gate, excluded, now), query,
                                  plane_.monitor, now);
    };
    const core::PickResult best = pick();
    if (best.endpoint || !gate.isCanary())
        return best;
    gate.clearCanary();
    return pick();
}

template<TrafficDialect Dialect>
core::PickRequest ProxyRequest<Dialect>::makePickRequest(std::size_t model) const
{
    core::PickRequest query;
    query.bytes = static_cast<double>(body_->size())
                  + proxy::kStreamBytesPerToken * meta_.maxOutputTokens;
    query.draw = core::hashText(meta_.id.value()) + attemptTracker_.attemptCount()
                 + excludedEndpoints_.size();
    if (!meta_.prompt.empty())
        query.prompt = &meta_.prompt;
    const core::Service *service = table_->service(service_);
    if (!route_->models.empty() && service) {
        query.model = route_->models[model];
        query.modelTimeRatio = core::relativeCost(*service, query.model);
    }
    return query;
}

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
    std::optional<EndpointExchange> exchange =
            plane_.path.start(endpoint, meta_.id, mayProbe, onPathLost, now);
    if (!exchange) {
        excludedEndpoints_.insert(endpoint.id);
        retryOrFail(core::AttemptOutcome::NotSent, "bad address");
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

// Returns the larger model that should answer instead, or nothing. Only possible as long as no part
// of this answer was sent to the caller.
template<TrafficDialect Dialect>
std::optional<std::size_t> ProxyRequest<Dialect>::escalationTarget()
{
    const bool mayEscalate = !responseStarted_ && attempt_->meta.confidence
                             && !route_->models.empty()
                             && attemptTracker_.allowsAnother(route_->maxAttempts);
    if (!mayEscalate)
        return std::nullopt;
    const core::Instant now = plane_.clock.now();
    const std::uint32_t confidence = *attempt_->meta.confidence;
    const std::size_t next = plane_.models.nextModel(*route_, model_, confidence);
    const core::PickResult pick = pickEndpoint(next, excludedEndpoints_, now);
    const bool keepsAnswer = !pick.endpoint
                             || plane_.models.acceptsAnswer(*route_, model_, confidence,
                                                            expectedAnswer(next, pick, now));
    return keepsAnswer ? std::nullopt : std::optional(next);
}

// Returns the expected timing of the model's answer if the request is dispatched now.
template<TrafficDialect Dialect>
core::ExpectedAnswer ProxyRequest<Dialect>::expectedAnswer(std::size_t model,
                                                           const core::PickResult &pick,
                                                           core::Instant now)
{
    const std::chrono::duration<double, std::milli> expectedDelay(pick.expectedFirstByteMs);
    core::ExpectedAnswer expected;
    expected.prefillMs = plane_.updateTypicalPrefill(route_->name, pick.prefillMs);
    expected.queuedPrefillMs = pick.queuedPrefillMs;
    expected.deadline = deadlineAt_ - arrivedAt_;
    expected.firstByte =
            now - arrivedAt_ + std::chrono::duration_cast<core::Duration>(expectedDelay);
    const core::Service *service = table_->service(service_);
    const std::uint32_t tokens = meta_.estimatedOutputTokens.value_or(
            static_cast<std::uint32_t>(meta_.maxOutputTokens * proxy::kTypicalOutputShare));
    const std::uint32_t events = service ? tokens / std::max(service->eventTokens, 1U) : 0;
    expected.complete =
            expected.firstByte + events * plane_.typicalEventInterval(route_->models[model]);
    return expected;
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
                {attempt_->endpoint.id, attempt_->endpoint.startedAtMs, service_, traits()});
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
        plane_.monitor.recordConnectionRefusal(attempt_->endpoint.id);
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

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::failAttemptOnPath(core::AttemptOutcome outcome, std::string_view cause)
{
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
    else
        refuse(attemptTracker_.wasRejected() ? core::Refusal::NotExecuted
                                             : core::Refusal::NoEndpoint);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::refuse(core::Refusal refusal)
{
    ++plane_.counts.refused;
    ++plane_.refusals[refusal];
    const bool isRetryable =
            refusal == core::Refusal::NotReady || refusal == core::Refusal::NoEndpoint
            || refusal == core::Refusal::NotExecuted || refusal == core::Refusal::Overloaded;
    const core::Duration retryAfter =
            refusal == core::Refusal::NotReady ? proxy::kRetryAfterNotReady : proxy::kRetryAfter;
    const net::HttpResponseMessage response =
            Dialect::encodeRefusal(refusal, isRetryable ? retryAfter : core::Duration::zero());
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

// Whether an endpoint other than the current one could take the request.
template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::hasAlternative(core::Instant now) const
{
    std::set<core::EndpointId> excluded = excludedEndpoints_;
    excluded.insert(attempt_->endpoint.id);
    return pickEndpoint(model_, excluded, now).endpoint != nullptr;
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

} // namespace fireflyroute::app

#endif
