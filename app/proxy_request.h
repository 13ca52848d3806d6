// One caller request in an entry: route matching, authorisation, dispatch to an endpoint, retries
// on other endpoints, and exactly one response. Kept alive by its pending operations. Runs on the
// traffic thread only.
//
// The phases, each with a file of its own (app/proxy_request_PHASE.h), are: accept (and check),
// classify, admit, choose, dispatch, relay, resume, and end (and refuse).
//
//   std::make_shared<ProxyRequest<Dialect>>(plane, session, std::move(request))->start();
//
// Dialect encodes and decodes the fields of the messages (see platform/dialect.h).

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_H

#include "app/traffic_plane.h"
#include "core/calls/request_form.h"
#include "core/requests/event_stream.h"
#include "core/requests/sendings.h"
#include "net/server_session.h"

#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fireflyroute::app {

// Encodes and decodes the messages of callers and endpoints.
template<typename D>
concept TrafficDialect = requires(const net::HttpRequestMessage &request,
                                  const core::Dispatch &dispatch, const net::HttpResponseHead &head,
                                  core::Refusal refusal, core::Duration retryAfter)
{
    {
        D::decodeRequest(request)
        } -> std::same_as<core::RequestMeta>;
    {
        D::encodeDispatch(request, dispatch)
        } -> std::same_as<net::HttpRequestMessage>;
    {
        D::decodeAnswer(head)
        } -> std::same_as<core::AnswerMeta>;
    {
        D::encodeRefusal(refusal, retryAfter)
        } -> std::same_as<net::HttpResponseMessage>;
};

template<TrafficDialect Dialect>
class ProxyRequest : public std::enable_shared_from_this<ProxyRequest<Dialect>>
{
public:
    ProxyRequest(TrafficPlane &plane, std::shared_ptr<net::ServerSession> session,
                 net::HttpRequestMessage request);

    void start();

private:
    // One attempt on one endpoint.
    struct Attempt
    {
        core::EndpointRecord endpoint;
        std::uint32_t prefillTokens = 0; // prompt tokens that the endpoint has to process first
        EndpointExchange exchange;
        core::AnswerMeta meta;
        net::HttpResponseHead head;
        std::string body; // of an answer that is forwarded when complete
        core::EventSplitter splitter;
        core::Instant sentAt;
        core::Instant lastProgressAt; // last data received from the endpoint for this request
        core::Instant firstEventAt; // valid only if hasEvent
        std::uint32_t relayedEvents = 0; // forwarded to the caller
        core::LoadLevel load = core::LoadLevel::Idle; // of the endpoint at sentAt
        bool hasHead = false;
        bool hasEvent = false;
        bool isOutcomeRecorded = false; // for roll-outs
        bool isPaused = false; // the caller has to catch up before more is read
        bool wasPaused = false; // the times of events don't show the speed of the endpoint
    };

    // Matches the route, authenticates the caller and sets the deadline. Returns a refusal if the
    // request can't be served.
    [[nodiscard]] std::optional<core::Refusal> prepare(core::Instant now);
    void route();
    void classify();
    void waitForStartup();
    void chooseService();

    void admit(core::Instant now);
    [[nodiscard]] std::vector<core::RequestTrait> traits() const;
    [[nodiscard]] std::optional<core::QuarantinedTrait> checkQuarantine(core::Instant now);
    void refuseQuarantined(const core::QuarantinedTrait &quarantined);
    void startAttempt();
    void send(const core::PickResult &pick, core::Instant now);
    [[nodiscard]] core::PickRequest makePickRequest(std::size_t model) const;
    [[nodiscard]] core::Dispatch makeDispatch(const core::EndpointRecord &endpoint,
                                              core::Instant now) const;
    [[nodiscard]] net::ExchangeHandlers handlers();

    void onHead(const net::HttpResponseHead &head);
    void onBody(std::string_view piece);
    void onEvents(std::string_view piece);
    void relayEvents(std::string_view relayed);
    void pauseForCaller();
    void resumeAfterPause();
    [[nodiscard]] std::string takeBody();
    [[nodiscard]] bool isTooLarge() const;
    void onEnd(net::ResponseEnd end);
    void onFailed(const net::ExchangeFailure &failure);
    void onTimer();
    [[nodiscard]] bool hasAlternative(core::Instant now) const;
    void onCallerDisconnected();
    void onLastCall();
    void onPathLost();

    [[nodiscard]] bool isValidAnswer(const Attempt &attempt) const;
    [[nodiscard]] bool isStreamAnswer(const net::HttpResponseHead &head) const;
    [[nodiscard]] std::optional<std::size_t> escalationTarget();
    [[nodiscard]] core::ExpectedAnswer
    expectedAnswer(std::size_t model, const core::PickResult &pick, core::Instant now);
    [[nodiscard]] core::PickResult pickEndpoint(std::size_t model,
                                                const std::set<core::EndpointId> &excluded,
                                                core::Instant now) const;
    void escalate(std::size_t largerModel);
    void handleNotExecuted();
    void endAttempt();
    void failAttempt(core::AttemptOutcome outcome, std::string_view cause, bool isSevere);
    // Ends an attempt that failed through no fault of the endpoint. Without a relay, the next
    // attempt would take the same path, so it has to go to another endpoint.
    void failAttemptOnPath(core::AttemptOutcome outcome, std::string_view cause);
    void retryOrFail(core::AttemptOutcome outcome, std::string_view cause);
    [[nodiscard]] core::RetryVerdict retryVerdict() const;
    [[nodiscard]] core::NextStep nextStep(core::RetryVerdict verdict, bool consumesBudget,
                                          core::Instant now);
    void retry();
    void waitForEndpoint(bool consumesBudget);
    void waitForAnyEndpoint();
    void retryOrForwardError();
    void beginStream();
    void finishStream();
    void recordEventInterval();
    [[nodiscard]] std::optional<core::Duration> eventInterval(std::uint32_t minEvents) const;
    [[nodiscard]] core::AnswerKind answerKind() const;
    void recordAnswer(core::Duration firstByte);
    void recordUnfinishedAnswer(core::Instant now);
    void recordAnswered();
    void failRequest(std::string_view cause);
    void refuse(core::Refusal refusal, std::optional<core::Duration> retryAfter = {});
    void finish(std::string_view outcome, unsigned status);
    void recordLatency(std::string_view outcome, core::Instant now);
    [[nodiscard]] std::uint32_t rank() const; // of the account if set, otherwise of the route

    void armTimer();
    [[nodiscard]] core::Instant stallDeadline() const;
    [[nodiscard]] core::Duration stallTimeout() const;
    [[nodiscard]] bool isStream() const { return form_ == core::RequestForm::Stream; }
    [[nodiscard]] net::HttpFields responseFields() const;

    TrafficPlane &plane_;
    std::shared_ptr<net::ServerSession> session_;
    net::HttpRequestMessage request_; // without its body
    const std::shared_ptr<const std::string> body_; // never null
    core::RequestMeta meta_;
    std::shared_ptr<const core::SiteTable> table_; // owns *route_ and *account_
    const core::Route *route_ = nullptr;
    core::RequestForm form_ = core::RequestForm::Call; // set by classify()
    const core::Account *account_ = nullptr; // null on public routes or if no keys are configured
    core::RegionPolicy regions_; // of the route and the account
    core::ServiceName service_;
    boost::asio::steady_timer timer_;
    core::Instant arrivedAt_;
    core::Instant deadlineAt_;
    std::optional<Attempt> attempt_; // the running attempt
    std::set<core::EndpointId> excludedEndpoints_; // endpoints not to be tried again
    // Those that did not take the request; they are tried again after a pause.
    std::set<core::EndpointId> unavailableEndpoints_;
    std::optional<core::EndpointId>
            failedEndpoint_; // the last one that took the request and failed
    core::EndpointId lastEndpoint_;
    core::StreamSplice streamSplice_;
    std::size_t model_ = 0; // index into route_->models
    core::AttemptTracker attemptTracker_;
    std::string streamMediaType_; // of the stream that the caller receives
    bool responseStarted_ = false; // part of the response was sent to the caller
    bool finished_ = false;
    bool isAdmitted_ = false; // and recorded as a request of its service
};

} // namespace fireflyroute::app

#include "app/proxy_request_impl.h"

#endif
