// Performs the actions of a request's state machine.

#include "app/request_session.h"

#include "net/problem_json.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kStatusOk = 200;

core::AttemptError attemptErrorOf(const net::NetFailure &failure)
{
    switch (failure.code) {
    case net::NetError::Unreachable:
        return core::AttemptError::NotSent;
    case net::NetError::Timeout:
        return core::AttemptError::TimedOut;
    default:
        return core::AttemptError::Interrupted;
    }
}

} // namespace

RequestSession::RequestSession(TrafficContext &traffic, std::shared_ptr<net::HttpExchange> exchange,
                               core::CallerRequest request, std::optional<net::CompletionCall> call)
    : traffic_(traffic)
    , exchange_(std::move(exchange))
    , call_(std::move(call))
    , startedAt_(traffic.clock.now())
    , machine_(std::move(request), traffic.policy, traffic.vm, traffic.incarnation)
{}

void RequestSession::start()
{
    traffic_.sessions.add(shared_from_this());
    exchange_->onDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->post(core::CallerDisconnected{});
    });
    post(core::RequestStarted{});
}

void RequestSession::post(core::RequestInput input)
{
    std::unique_lock lock(mutex_);
    inputs_.push_back(std::move(input));
    if (isProcessing_)
        return;
    isProcessing_ = true;
    while (!inputs_.empty()) {
        const core::RequestInput next = std::move(inputs_.front());
        inputs_.pop_front();
        lock.unlock();
        const std::shared_ptr<const RoutingView> view = traffic_.views.get();
        const core::Instant now = traffic_.clock.now();
        const core::WallTime wallNow = traffic_.clock.wallNow();
        const bool allowed = view->permit.check(view->config->revision, {now, wallNow})
                             == core::DispatchCheck::Allowed;
        const core::RoutingContext context{*view->config, *view->directory, allowed && view->index,
                                           now,           wallNow,          view->index.get()};
        for (const core::RequestAction &action : machine_.step(next, context))
            std::visit([this](const auto &typed) { perform(typed); }, action);
        lock.lock();
    }
    isProcessing_ = false;
}

void RequestSession::perform(const core::JoinQueue &)
{
    const core::CallerRequest &request = machine_.request();
    core::AdmissionRequest admission;
    admission.id = request.id;
    admission.account = request.account;
    admission.pool = call_ ? poolOf(machine_.version().model) : poolOf(request.service);
    admission.rank = request.rank;
    admission.estimatedTokens =
            static_cast<std::uint32_t>(request.promptTokens + request.maxTokens);
    traffic_.admission.enqueue(
            admission, [self = shared_from_this()](const AdmissionGate::Decision &decision) {
                const auto *refused = std::get_if<core::RefuseRequest>(&decision);
                if (!refused) {
                    // Set before the machine proceeds; only later attempts read it.
                    self->priority_ = std::get<core::DispatchRequest>(decision).priority;
                    self->post(core::RequestAdmitted{});
                    return;
                }
                const std::string reason(core::nameOf(refused->reason));
                self->post(core::AdmissionRefused{{refused->error, reason}, refused->retryAfter});
            });
}

void RequestSession::perform(const core::LeaveQueue &)
{
    endAttempt();
    const std::uint64_t used = machine_.request().promptTokens + machine_.deliveredTokens();
    traffic_.admission.release(machine_.request().id, machine_.attempts() > 0 ? used : 0);
}

void RequestSession::endAttempt()
{
    if (attemptEndpoint_)
        traffic_.policy.attemptEnded(*attemptEndpoint_, traffic_.clock.now());
    attemptEndpoint_.reset();
}

void RequestSession::perform(const core::PutRecord &action)
{
    traffic_.ledger->put(action.operation, [self = shared_from_this()](
                                                   std::optional<core::LedgerOutcome> outcome) {
        if (outcome)
            self->post(core::LedgerReplied{*outcome});
        else
            self->post(core::LedgerRequestFailed{"control VMs did not answer"});
    });
}

void RequestSession::perform(const core::StartAttempt &action)
{
    recordEvent(action.attempt == 1 ? core::EventKind::RequestDispatched
                                    : core::EventKind::RequestRetried,
                "");
    endAttempt();
    attemptEndpoint_ = action.endpoint.id;
    traffic_.policy.attemptStarted(action.endpoint.id, traffic_.clock.now());
    if (call_)
        startModelAttempt(action);
    else
        startServiceAttempt(action);
}

void RequestSession::startModelAttempt(const core::StartAttempt &action)
{
    const core::CallerRequest &request = machine_.request();
    net::HttpCall call;
    call.address = action.endpoint.address;
    call.method = "POST";
    call.path = request.kind == core::CallKind::Chat ? "/v1/chat/completions" : "/v1/completions";
    call.body = net::encodeAttempt(*call_, action, priority_);
    call.headers.push_back({"Fireflyroute-Request", request.id.value()});
    call.useNewConnection = action.freshConnection;
    const auto self = shared_from_this();
    const std::uint32_t attempt = action.attempt;
    decoder_ = std::make_shared<net::ChunkDecoder>(attempt, action.resumeOffset);
    // The decoder is used only by this attempt's callbacks, which the stream runs sequentially.
    stream_ = traffic_.endpoints.stream(
            call,
            [self, attempt, decoder = decoder_](const std::string &line) {
                const auto chunk = decoder->decode(line);
                if (!chunk) {
                    self->post(core::AttemptFailed{attempt, core::AttemptError::Interrupted,
                                                   chunk.error().detail});
                } else if (chunk.value()) {
                    self->post(*chunk.value());
                }
            },
            [self, attempt](net::Result<net::HttpResponse> result) {
                self->onStreamEnd(attempt, result);
            });
}

void RequestSession::onStreamEnd(std::uint32_t attempt,
                                 const net::Result<net::HttpResponse> &result)
{
    // After a complete answer the machine has already ended the attempt and ignores this failure.
    core::AttemptFailed failed{attempt, core::AttemptError::Interrupted, "the stream ended early"};
    if (!result) {
        failed.error = attemptErrorOf(result.error());
        failed.detail = result.error().detail;
    } else if (result.value().status != kStatusOk) {
        failed.error = core::AttemptError::Rejected;
        failed.detail = fmt::format("status {}", result.value().status);
    }
    post(failed);
}

void RequestSession::startServiceAttempt(const core::StartAttempt &action)
{
    const core::CallerRequest &request = machine_.request();
    net::HttpCall call;
    call.address = action.endpoint.address;
    call.method = request.method;
    call.path = request.path;
    call.body = exchange_->request().body;
    call.headers.push_back({"Fireflyroute-Request", request.id.value()});
    if (!request.idempotencyKey.empty())
        call.headers.push_back({"Idempotency-Key", request.idempotencyKey});
    call.useNewConnection = action.freshConnection;
    traffic_.endpoints.send(call, [self = shared_from_this(), attempt = action.attempt](
                                          net::Result<net::HttpResponse> answer) {
        if (!answer) {
            self->post(core::AttemptFailed{attempt, attemptErrorOf(answer.error()),
                                           answer.error().detail});
            return;
        }
        const net::HttpResponse &response = answer.value();
        if (response.status >= kFirstServerError) {
            self->post(core::AttemptFailed{attempt, core::AttemptError::Rejected,
                                           fmt::format("status {}", response.status)});
            return;
        }
        self->post(
                core::ServiceAnswer{attempt, response.status, response.contentType, response.body});
    });
}

void RequestSession::perform(const core::CancelAttempt &)
{
    if (stream_)
        stream_->cancel();
    // The connection is in an unknown state, so later calls must not reuse it.
    traffic_.endpoints.discardConnections(machine_.endpoint().address);
}

void RequestSession::perform(const core::RelayChunk &action)
{
    if (!timeToFirstToken_)
        timeToFirstToken_ = traffic_.clock.now() - startedAt_;
    if (!action.finishReason.empty())
        finishReason_ = action.finishReason;
    if (!call_->stream) {
        collectedText_ += action.text;
        return;
    }
    if (!streamStarted_) {
        streamStarted_ = true;
        net::HttpResponse response = responseHead();
        response.contentType = "text/event-stream";
        exchange_->beginStream(response);
    }
    exchange_->write(net::encodeStreamChunk(completionMetadata(), action));
}

void RequestSession::perform(const core::FinishAnswer &action)
{
    countOutcome(std::nullopt);
    recordEvent(core::EventKind::RequestFinished,
                fmt::format("{} tokens, {} attempts", action.outputTokens, machine_.attempts()));
    if (!call_) {
        finishService(action);
        return;
    }
    if (streamStarted_) {
        exchange_->write(net::encodeStreamEnd(completionMetadata(), action));
        exchange_->finishStream();
        return;
    }
    net::HttpResponse response = responseHead();
    response.body =
            net::encodeCompletion(completionMetadata(), collectedText_, finishReason_, action);
    exchange_->reply(response);
}

void RequestSession::finishService(const core::FinishAnswer &action)
{
    net::HttpResponse response = responseHead();
    response.status = action.service->status;
    response.contentType = action.service->contentType;
    response.body = action.service->body;
    if (action.replayed)
        response.headers.push_back({"Fireflyroute-Replayed", "true"});
    exchange_->reply(response);
}

void RequestSession::perform(const core::FailAnswer &action)
{
    countOutcome(action.failure.code);
    recordEvent(core::EventKind::RequestRefused,
                fmt::format("{}: {} (ran: {})", core::nameOf(action.failure.code),
                            action.failure.detail, core::nameOf(action.ran)));
    const net::HttpResponse problem =
            net::problemResponse(action.failure, action.ran, action.retryAfter);
    if (!streamStarted_) {
        exchange_->reply(problem);
        return;
    }
    exchange_->write("event: error\ndata: " + problem.body + "\n\n");
    exchange_->abortStream();
}

net::HttpResponse RequestSession::responseHead() const
{
    net::HttpResponse response;
    response.headers.push_back({"Fireflyroute-Request", machine_.request().id.value()});
    if (call_) {
        response.headers.push_back({"Fireflyroute-Model", machine_.version().model.value()});
        response.headers.push_back({"Fireflyroute-Version", machine_.version().version.value()});
    }
    response.headers.push_back({"Fireflyroute-Endpoint", machine_.endpoint().id.value()});
    response.headers.push_back({"Fireflyroute-Attempts", std::to_string(machine_.attempts())});
    return response;
}

net::CompletionMetadata RequestSession::completionMetadata() const
{
    const auto created =
            std::chrono::time_point_cast<std::chrono::seconds>(traffic_.clock.wallNow());
    return net::CompletionMetadata{machine_.request().kind, machine_.request().id,
                                   machine_.version(), created.time_since_epoch().count()};
}

void RequestSession::countOutcome(std::optional<core::CoreError> error)
{
    RequestOutcome outcome;
    outcome.rank = machine_.request().rank;
    outcome.account = machine_.request().account;
    outcome.version = machine_.version();
    outcome.error = error;
    outcome.duration = traffic_.clock.now() - startedAt_;
    outcome.firstToken = timeToFirstToken_;
    traffic_.counters.count(outcome);
}

void RequestSession::recordEvent(core::EventKind kind, const std::string &detail)
{
    core::Event event;
    event.kind = kind;
    event.request = machine_.request().id;
    event.version = machine_.version();
    event.endpoint = machine_.endpoint().id;
    event.account = machine_.request().account;
    event.detail = detail;
    traffic_.events.record(std::move(event));
}

void SessionRegistry::add(const std::shared_ptr<RequestSession> &session)
{
    const std::scoped_lock lock(mutex_);
    sessions_.push_back(session);
}

std::vector<std::shared_ptr<RequestSession>> SessionRegistry::activeSessions()
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::shared_ptr<RequestSession>> active;
    std::erase_if(sessions_, [&](const std::weak_ptr<RequestSession> &session) {
        std::shared_ptr<RequestSession> locked = session.lock();
        if (!locked)
            return true;
        active.push_back(std::move(locked));
        return false;
    });
    return active;
}

} // namespace fireflyroute::app
