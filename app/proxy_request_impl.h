// The steps of a ProxyRequest. Included by app/proxy_request.h only.

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_IMPL_H

#include "app/proxy_request.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::app {

namespace proxy {

// A connection is new after a round trip; between regions that takes 24 ms, a lost packet 200 ms.
constexpr std::chrono::milliseconds kConnectTimeout{600};

// How long a request waits for the next change while the process starts.
constexpr std::chrono::milliseconds kStartWait{1500};

// Less time than this is not worth a sending.
constexpr std::chrono::milliseconds kLeastTime{10};

// When a caller may come back after a refusal. An entry that can't prove its state waits for an
// election or its first connections, which takes about a second.
constexpr std::chrono::milliseconds kRetryAfter{300};
constexpr std::chrono::milliseconds kRetryAfterNotReady{1300};

// How long an endpoint may show no sign of an idempotent request before it is sent elsewhere, in
// parts of the route's objective, and in usual latencies.
constexpr double kPatienceObjectives = 1.3;
constexpr double kPlainPatienceObjectives = 0.75;
constexpr double kPatienceUsual = 4;
constexpr double kGapPatience = 1.5; // in parts of the longest pause that is still on time
constexpr std::chrono::milliseconds kDefaultGap{2000}; // for a route that names none

// Urgency on the wire, where 5 is the usual, by rank: 0 is first.
constexpr std::uint32_t kUrgencyPerRank = 3;
constexpr std::uint32_t kMaxUrgency = 9;

// Bytes of a stream for each token, framing included; for the choice of an endpoint only.
constexpr double kBytesPerToken = 10;

// Tokens of an answer, in parts of the most that the caller takes, where it gives no estimate.
constexpr double kUsualPartOfMax = 0.35;

// Events from which on a stream tells how fast its endpoint is.
constexpr std::uint32_t kPaceEvents = 6;

constexpr unsigned kFirstFailureStatus = 300;
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
    , meta_(Dialect::decodeRequest(request_))
    , timer_(plane.io)
    , arrivedAt_(plane.clock.now())
    , splice_(meta_.lastEvent)
{}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::start()
{
    ++plane_.counts.requests;
    session_->whenGone([self = this->shared_from_this()] { self->onGone(); });
    begin();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::begin()
{
    const core::Instant now = plane_.clock.now();
    const std::optional<core::Refusal> refusal = prepare(now);
    if (refusal == core::Refusal::NotReady && plane_.isStarting(now)) {
        waitForStart();
        return;
    }
    if (refusal) {
        refuse(*refusal);
        return;
    }
    if (!std::exchange(counted_, true))
        plane_.noteRequest(service_, now);
    attempt();
}

// Tries again after each change of what the entry knows, and for the last time when the start
// should be over.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::waitForStart()
{
    const auto again = [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->done_ && !self->attempt_)
            self->begin();
    };
    plane_.awaitChange(again);
    timer_.expires_after(proxy::kStartWait);
    timer_.async_wait(
            [self = this->shared_from_this(), again](const boost::system::error_code &error) {
                if (!error)
                    again();
            });
}

template<TrafficDialect Dialect>
std::optional<core::Refusal> ProxyRequest<Dialect>::prepare(core::Instant now)
{
    table_ = plane_.view->table;
    if (!table_ || plane_.isStopping(now))
        return core::Refusal::NotReady;
    const std::string_view target(request_.target);
    const std::string_view host(meta_.host);
    route_ = table_->match(host.substr(0, host.find(':')), target.substr(0, target.find('?')));
    const bool needsProof = !route_ || !route_->isPublic;
    if (needsProof && !plane_.isCurrent(now))
        return core::Refusal::NotReady;
    if (!route_)
        return core::Refusal::UnknownRoute;
    if (table_->needsKeys() && !route_->isPublic) {
        account_ = table_->accountOf(meta_.key);
        if (!account_)
            return core::Refusal::UnknownKey;
    }
    deadlineAt_ = arrivedAt_ + std::min(meta_.deadline.value_or(route_->timeout), route_->timeout);
    chooseService();
    model_ = plane_.models.first(*route_);
    return std::nullopt;
}

// The same service for all requests of a session.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::chooseService()
{
    std::uint64_t total = 0;
    for (const core::WeightedService &one : route_->services)
        total += one.weight;
    const std::string &identity = meta_.session.empty() ? meta_.id.value() : meta_.session.value();
    std::uint64_t drawn = std::hash<std::string>()(identity) % std::max<std::uint64_t>(total, 1);
    for (const core::WeightedService &one : route_->services) {
        service_ = one.service;
        if (drawn < one.weight)
            return;
        drawn -= one.weight;
    }
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::attempt()
{
    const core::Instant now = plane_.clock.now();
    if (deadlineAt_ - now < proxy::kLeastTime) {
        giveUp("no time left");
        return;
    }
    const core::Pick pick = pickFor(model_, now);
    if (pick.endpoint)
        send(pick, now);
    else if (sendings_.isUntouched() && plane_.isStarting(now))
        waitForStart();
    else
        giveUp("no endpoint usable");
}

// The best endpoint for a sending with that model, among those that may take it.
template<TrafficDialect Dialect>
core::Pick ProxyRequest<Dialect>::pickFor(std::size_t model, core::Instant now) const
{
    const auto rollout = plane_.view->rollouts.find(service_);
    const auto endpoints = plane_.view->endpoints.find(service_);
    if (endpoints == plane_.view->endpoints.end())
        return {};
    core::VersionGate gate(rollout == plane_.view->rollouts.end() ? nullptr : &rollout->second,
                           endpoints->second);
    const bool hasSession = !meta_.session.empty();
    gate.draw(hasSession ? meta_.session.value() : meta_.id.value(), plane_.settings.canaryShare,
              hasSession ? plane_.pins.versionOf(meta_.session, now) : std::nullopt);
    core::PickAsk asked = ask(model);
    core::PromptMatch match;
    if (asked.prompt) {
        match = plane_.prompts.match(asked.model, *asked.prompt, now);
        asked.match = &match;
    }
    const auto pick = [&] {
        return plane_.picker.pick(plane_.candidates(service_, gate, tried_, now), asked,
                                  plane_.monitor, now);
    };
    const core::Pick best = pick();
    if (best.endpoint || !gate.isCanary())
        return best;
    gate.leaveCanary();
    return pick();
}

template<TrafficDialect Dialect>
core::PickAsk ProxyRequest<Dialect>::ask(std::size_t model) const
{
    core::PickAsk ask;
    ask.bytes = static_cast<double>(request_.body.size())
                + proxy::kBytesPerToken * meta_.maxOutputTokens;
    if (!meta_.prompt.empty())
        ask.prompt = &meta_.prompt;
    const core::Service *service = table_->service(service_);
    if (!route_->models.empty() && service) {
        ask.model = route_->models[model];
        ask.modelWeight = core::relativeCost(*service, ask.model);
    }
    return ask;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::send(const core::Pick &pick, core::Instant now)
{
    sendings_.began();
    const core::EndpointRecord &endpoint = *pick.endpoint;
    std::shared_ptr<net::EndpointConnection> connection = plane_.pool.take(endpoint);
    if (!connection) {
        tried_.insert(endpoint.id);
        retryOrGiveUp(core::SendingEnd::NotArrived, "bad address");
        return;
    }
    attempt_.emplace();
    attempt_->endpoint = endpoint;
    lastTried_ = endpoint.id;
    attempt_->connection = connection;
    attempt_->sentAt = now;
    attempt_->progressAt = now;
    ++plane_.counts.attempts;
    attempt_->unreadTokens = pick.unreadTokens;
    plane_.monitor.sent(endpoint.id, pick.unreadTokens);
    plane_.noteRunning(endpoint, route_->name, 1);
    if (!meta_.prompt.empty() && !route_->models.empty())
        plane_.prompts.sent(endpoint.id, route_->models[model_], meta_.prompt, now);
    plane_.pins.began(meta_.session, endpoint.version, now);
    const core::Dispatch dispatch = dispatchTo(endpoint, now);
    armTimer();
    connection->send(net::encodeRequest(Dialect::encodeDispatch(request_, dispatch)), handlers(),
                     proxy::kConnectTimeout);
}

template<TrafficDialect Dialect>
core::Dispatch ProxyRequest<Dialect>::dispatchTo(const core::EndpointRecord &endpoint,
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
    dispatch.resumeAfter = splice_.lastEvent();
    return dispatch;
}

template<TrafficDialect Dialect>
net::ExchangeHandlers ProxyRequest<Dialect>::handlers()
{
    const auto self = this->shared_from_this();
    net::ExchangeHandlers handlers;
    handlers.isOurs = [self](const net::HttpResponseHead &head) {
        return Dialect::decodeAnswer(head).id == self->meta_.id;
    };
    handlers.head = [self](const net::HttpResponseHead &head) { self->onHead(head); };
    handlers.body = [self](std::string_view piece) { self->onBody(piece); };
    handlers.end = [self](net::AnswerEnd end) { self->onEnd(end); };
    handlers.failed = [self](const net::ExchangeFailure &failure) { self->onFailed(failure); };
    return handlers;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onHead(const net::HttpResponseHead &head)
{
    const core::Instant now = plane_.clock.now();
    attempt_->head = head;
    attempt_->meta = Dialect::decodeAnswer(head);
    attempt_->hasHead = true;
    attempt_->progressAt = now;
    plane_.monitor.began(attempt_->endpoint.id, attempt_->unreadTokens);
    if (attempt_->meta.load)
        plane_.monitor.reported(attempt_->endpoint.id, *attempt_->meta.load, now);
    // A failure is read to its end, so that the connection can be used again.
    if (attempt_->meta.notRun || head.status >= proxy::kFirstFailureStatus)
        return;
    if (!isSound(*attempt_)) {
        failAttempt(core::SendingEnd::Unused, "unsound answer", false);
        return;
    }
    if (!isStream())
        return;
    if (const std::optional<std::size_t> larger = largerModel())
        escalate(*larger);
}

template<TrafficDialect Dialect>
bool ProxyRequest<Dialect>::isSound(const Attempt &attempt) const
{
    return attempt.meta.isSealed && !attempt.meta.isEncoded;
}

// The model that should answer instead, while the caller has nothing of this answer yet.
template<TrafficDialect Dialect>
std::optional<std::size_t> ProxyRequest<Dialect>::largerModel()
{
    const bool mayEscalate = !began_ && attempt_->meta.confidence && !route_->models.empty()
                             && sendings_.hasRoom(route_->maxAttempts);
    if (!mayEscalate)
        return std::nullopt;
    const core::Instant now = plane_.clock.now();
    const std::uint32_t confidence = *attempt_->meta.confidence;
    const std::size_t next = plane_.models.next(*route_, model_, confidence);
    const core::Pick pick = pickFor(next, now);
    const bool isKept =
            !pick.endpoint
            || plane_.models.keeps(*route_, model_, confidence, expectedOf(next, pick, now));
    return isKept ? std::nullopt : std::optional(next);
}

// When that model's answer would be there if it were sent now.
template<TrafficDialect Dialect>
core::ExpectedAnswer ProxyRequest<Dialect>::expectedOf(std::size_t model, const core::Pick &pick,
                                                       core::Instant now)
{
    const std::chrono::duration<double, std::milli> ahead(pick.expectedMs);
    core::ExpectedAnswer expected;
    expected.workMs = plane_.usualWork(route_->name, pick.workMs);
    expected.backlogMs = pick.backlogMs;
    expected.deadline = deadlineAt_ - arrivedAt_;
    expected.first = now - arrivedAt_ + std::chrono::duration_cast<core::Duration>(ahead);
    const core::Service *service = table_->service(service_);
    const std::uint32_t tokens = meta_.likelyOutputTokens.value_or(
            static_cast<std::uint32_t>(meta_.maxOutputTokens * proxy::kUsualPartOfMax));
    const std::uint32_t events = service ? tokens / std::max(service->eventTokens, 1U) : 0;
    expected.whole = expected.first + events * plane_.usualPace(route_->models[model]);
    return expected;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::escalate(std::size_t larger)
{
    const core::Instant now = plane_.clock.now();
    if (!plane_.trySecondAnswer(service_, now))
        return;
    sendings_.ended(core::SendingEnd::Unused);
    ++plane_.counts.escalated;
    plane_.noteOutcome(attempt_->endpoint, route_->name, true, now - attempt_->sentAt);
    LogLine(plane_.log, LogKind::Attempt)
            .add("id", meta_.id.value())
            .add("endpoint", lastTried_.value())
            .add("decision", "larger model")
            .add("model", route_->models[model_].value())
            .add("confidence", static_cast<std::int64_t>(*attempt_->meta.confidence));
    dropAttempt();
    model_ = larger;
    attempt();
}

// The endpoint says that it did not run the request.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::notRun()
{
    const core::EndpointId id = attempt_->endpoint.id;
    const core::Instant now = plane_.clock.now();
    if (attempt_->meta.wrongEndpoint)
        plane_.monitor.wasReplaced(id, now);
    else
        plane_.monitor.wasFull(id, now);
    const bool isWrong = attempt_->meta.wrongEndpoint;
    dropAttempt();
    if (isWrong)
        plane_.pool.drop(id);
    tried_.insert(id);
    retryOrGiveUp(core::SendingEnd::Rejected,
                  isWrong ? "another endpoint has the address" : "endpoint full");
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onBody(std::string_view piece)
{
    attempt_->progressAt = plane_.clock.now();
    const bool isRelayed = isStream() && attempt_->head.status < proxy::kFirstFailureStatus;
    if (isRelayed)
        onEvents(piece);
    else
        attempt_->body += piece;
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onEvents(std::string_view piece)
{
    std::string relayed;
    for (const core::StreamEvent &event : attempt_->splitter.push(piece)) {
        const core::SpliceVerdict verdict = splice_.accept(event);
        if (verdict == core::SpliceVerdict::Gap) {
            failAttempt(core::SendingEnd::Unused, "gap in the stream", false);
            return;
        }
        if (verdict == core::SpliceVerdict::Relay) {
            relayed += event.bytes;
            ++attempt_->events;
        }
    }
    if (relayed.empty())
        return;
    if (!attempt_->hasEvent) {
        attempt_->hasEvent = true;
        attempt_->firstEventAt = attempt_->progressAt;
        const core::Duration latency = attempt_->progressAt - attempt_->sentAt;
        plane_.monitor.answered(attempt_->endpoint.id, attempt_->progressAt);
        plane_.noteOutcome(attempt_->endpoint, route_->name, true, latency);
    }
    if (!began_) {
        began_ = true;
        session_->beginStream({attempt_->head.status, answerFields()});
    }
    session_->writePiece(relayed);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onEnd(net::AnswerEnd /*end*/)
{
    if (attempt_->meta.notRun) {
        notRun();
        return;
    }
    if (attempt_->head.status >= proxy::kFirstFailureStatus) {
        passOn();
        return;
    }
    if (isStream()) {
        finishStream();
        return;
    }
    const core::Instant now = plane_.clock.now();
    const core::Duration latency = now - attempt_->sentAt;
    const core::Duration usual = plane_.usualLatency(route_->name);
    plane_.monitor.answered(attempt_->endpoint.id, now);
    if (usual > core::Duration::zero()) {
        plane_.monitor.paced(attempt_->endpoint.id, static_cast<double>(latency.count())
                                                            / static_cast<double>(usual.count()));
    }
    plane_.noteOutcome(attempt_->endpoint, route_->name, true, latency);
    ++plane_.counts.answered;
    session_->respond({attempt_->head.status, answerFields(), std::move(attempt_->body)});
    finish("answered", attempt_->head.status);
}

// The endpoint's own failure: sent elsewhere if that may be, and else passed on as it is.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::passOn()
{
    const core::Instant now = plane_.clock.now();
    const unsigned status = attempt_->head.status;
    const bool isServerError = status >= proxy::kFirstServerError;
    if (isServerError) {
        plane_.noteOutcome(attempt_->endpoint, route_->name, false, now - attempt_->sentAt);
        plane_.monitor.failed(attempt_->endpoint.id, false, now);
    }
    const bool mayRetry =
            isServerError && route_->isIdempotent() && sendings_.hasRoom(route_->maxAttempts)
            && deadlineAt_ - now > proxy::kLeastTime && plane_.tryRetry(service_, now);
    if (mayRetry) {
        tried_.insert(attempt_->endpoint.id);
        dropAttempt();
        sendings_.ended(core::SendingEnd::Unused);
        ++plane_.counts.retries;
        attempt();
        return;
    }
    if (began_) {
        session_->abort();
        finish("broken", status);
        return;
    }
    session_->respond({status, answerFields(), std::move(attempt_->body)});
    finish("failed", status);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::finishStream()
{
    if (attempt_->splitter.isMidEvent()) {
        failAttempt(core::SendingEnd::Unused, "ended within an event", false);
        return;
    }
    if (!began_) {
        began_ = true;
        session_->beginStream({attempt_->head.status, answerFields()});
    }
    ++plane_.counts.answered;
    session_->endStream();
    finish("answered", attempt_->head.status);
}

// How fast the endpoint made the events of this attempt.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::notePace()
{
    if (attempt_->events < proxy::kPaceEvents || route_->models.empty())
        return;
    plane_.notePace(attempt_->endpoint.id, route_->models[model_],
                    (attempt_->progressAt - attempt_->firstEventAt) / (attempt_->events - 1));
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onFailed(const net::ExchangeFailure &failure)
{
    if (attempt_->meta.notRun) {
        notRun();
        return;
    }
    const bool severe = !failure.mayHaveArrived;
    // Other waiting connections to the endpoint may have died with this one.
    if (!attempt_->hasHead)
        plane_.pool.drop(attempt_->endpoint.id);
    if (failure.error == net::ExchangeError::ConnectFailed)
        plane_.monitor.refused(attempt_->endpoint.id);
    failAttempt(failure.mayHaveArrived ? core::SendingEnd::Broke : core::SendingEnd::NotArrived,
                core::nameOf(failure.error), severe);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::failAttempt(core::SendingEnd end, std::string_view cause, bool severe)
{
    const core::Instant now = plane_.clock.now();
    const core::EndpointRecord endpoint = attempt_->endpoint;
    plane_.monitor.failed(endpoint.id, severe, now);
    if (end == core::SendingEnd::Unused)
        plane_.noteOutcome(endpoint, route_->name, false, now - attempt_->sentAt);
    else if (end == core::SendingEnd::Broke)
        plane_.noteBroken(endpoint, route_->name, now);
    tried_.insert(endpoint.id);
    dropAttempt();
    retryOrGiveUp(end, cause);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::retryOrGiveUp(core::SendingEnd end, std::string_view cause)
{
    const core::Instant now = plane_.clock.now();
    sendings_.ended(end);
    const core::RetryVerdict verdict =
            sendings_.verdict(route_->isIdempotent(), began_ && !isStream());
    const bool isPossible =
            verdict == core::RetryVerdict::Allowed && sendings_.hasRoom(route_->maxAttempts);
    const bool isAllowed =
            isPossible && (!core::drawsOnBudget(end) || plane_.tryRetry(service_, now));
    LogLine(plane_.log, LogKind::Attempt)
            .add("id", meta_.id.value())
            .add("endpoint", lastTried_.value())
            .add("cause", cause)
            .add("end", core::nameOf(end))
            .add("verdict", core::nameOf(verdict))
            .add("decision", isAllowed ? "again" : "give up")
            .add("attempts", sendings_.attempts())
            .add("age_ms", core::toMillis(now - arrivedAt_));
    if (!isAllowed) {
        giveUp(cause);
        return;
    }
    ++plane_.counts.retries;
    plane_.counts.resumed += began_ ? 1 : 0;
    attempt();
}

// Ends the exchange with the endpoint; if it runs, it is cut off.
template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::dropAttempt()
{
    if (!attempt_)
        return;
    notePace();
    if (!attempt_->hasHead)
        plane_.monitor.began(attempt_->endpoint.id, attempt_->unreadTokens);
    plane_.monitor.ended(attempt_->endpoint.id);
    plane_.noteRunning(attempt_->endpoint, route_->name, -1);
    plane_.pins.ended(meta_.session, attempt_->endpoint.version, plane_.clock.now());
    if (attempt_->connection->isReusable())
        plane_.pool.giveBack(attempt_->endpoint, attempt_->connection);
    else
        attempt_->connection->cancel();
    attempt_.reset();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::giveUp(std::string_view cause)
{
    if (began_) {
        ++plane_.counts.broken;
        session_->abort();
        finish(cause, 0);
        return;
    }
    const bool isLate = plane_.clock.now() + proxy::kLeastTime >= deadlineAt_;
    if (sendings_.ran() != core::Ran::No)
        refuse(isLate ? core::Refusal::DeadlineExceeded : core::Refusal::EndpointFailed);
    else if (isLate)
        refuse(core::Refusal::Expired);
    else
        refuse(sendings_.wasRejected() ? core::Refusal::NotRun : core::Refusal::NoEndpoint);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::refuse(core::Refusal refusal)
{
    ++plane_.counts.refused;
    ++plane_.refusals[refusal];
    const bool mayComeBack =
            refusal == core::Refusal::NotReady || refusal == core::Refusal::NoEndpoint
            || refusal == core::Refusal::NotRun || refusal == core::Refusal::Overloaded;
    const core::Duration retryAfter =
            refusal == core::Refusal::NotReady ? proxy::kRetryAfterNotReady : proxy::kRetryAfter;
    const net::HttpResponseMessage response =
            Dialect::encodeRefusal(refusal, mayComeBack ? retryAfter : core::Duration::zero());
    session_->respond(response);
    finish(core::nameOf(refusal), response.status);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onGone()
{
    if (done_)
        return;
    ++plane_.counts.left;
    finish("caller left", 0);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::finish(std::string_view outcome, unsigned status)
{
    done_ = true;
    const core::Instant now = plane_.clock.now();
    LogLine line(plane_.log, LogKind::Request);
    line.add("id", meta_.id.value())
            .add("outcome", outcome)
            .add("status", status)
            .add("took_ms", core::toMillis(now - arrivedAt_))
            .add("attempts", sendings_.attempts())
            .add("revision", static_cast<std::int64_t>(plane_.view->revision))
            .add("proof_left_ms", core::toMillis(plane_.currentUntil - now));
    if (route_)
        line.add("route", route_->name).add("ran", core::nameOf(sendings_.ran()));
    if (attempt_) {
        line.add("endpoint", attempt_->endpoint.id.value())
                .add("version", attempt_->endpoint.version.value())
                .add("busy",
                     static_cast<std::int64_t>(plane_.monitor.busy(attempt_->endpoint.id, now)));
        if (!route_->models.empty())
            line.add("model", route_->models[model_].value());
        if (attempt_->hasEvent)
            line.add("events", attempt_->events)
                    .add("likely_tokens", meta_.likelyOutputTokens.value_or(0))
                    .add("first_ms", core::toMillis(attempt_->firstEventAt - attempt_->sentAt));
        if (attempt_->meta.confidence)
            line.add("confidence", static_cast<std::int64_t>(*attempt_->meta.confidence));
    }
    noteLatency(outcome, now);
    dropAttempt();
    timer_.cancel();
    session_->whenGone(nullptr);
    session_.reset();
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::noteLatency(std::string_view outcome, core::Instant now)
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
    timer_.expires_after(std::max(core::Duration::zero(), std::min(deadlineAt_, stallsAt()) - now));
    timer_.async_wait([self = this->shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->done_)
            self->onTimer();
    });
}

// When the endpoint has shown no sign of the request for too long; never if it may not be repeated.
template<TrafficDialect Dialect>
core::Instant ProxyRequest<Dialect>::stallsAt() const
{
    const bool mayGoElsewhere =
            attempt_ && route_->isIdempotent() && sendings_.hasRoom(route_->maxAttempts);
    return mayGoElsewhere ? attempt_->progressAt + patience() : deadlineAt_;
}

template<TrafficDialect Dialect>
core::Duration ProxyRequest<Dialect>::patience() const
{
    const core::Duration usual =
            proxy::scaled(plane_.usualLatency(route_->name), proxy::kPatienceUsual);
    if (!isStream()) {
        return std::max(usual,
                        proxy::scaled(route_->latencyObjective, proxy::kPlainPatienceObjectives));
    }
    if (!attempt_->hasEvent) {
        return std::max(usual, proxy::scaled(route_->latencyObjective, proxy::kPatienceObjectives));
    }
    if (route_->gapObjective == core::Duration::zero())
        return proxy::kDefaultGap;
    return proxy::scaled(route_->gapObjective, proxy::kGapPatience);
}

template<TrafficDialect Dialect>
void ProxyRequest<Dialect>::onTimer()
{
    const core::Instant now = plane_.clock.now();
    if (now >= deadlineAt_) {
        if (attempt_) {
            sendings_.ended(core::SendingEnd::Broke);
            dropAttempt();
        }
        giveUp("deadline");
        return;
    }
    const bool isSilent = now >= stallsAt();
    if (isSilent && plane_.hasRetry(service_, now)) {
        failAttempt(core::SendingEnd::Broke, "silent", true);
        return;
    }
    // Nothing is gained by cutting off what can't be sent elsewhere: it may still be answered.
    if (isSilent)
        attempt_->progressAt = now;
    armTimer();
}

template<TrafficDialect Dialect>
net::HttpFields ProxyRequest<Dialect>::answerFields() const
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
