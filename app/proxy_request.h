// One request of a caller on its way through an entry: matched, authorised, sent to an endpoint,
// perhaps to another one, and answered once. Kept alive by its pending operations; everything runs
// on the traffic thread.
//
//   std::make_shared<ProxyRequest<Dialect>>(plane, session, std::move(request))->start();
//
// Dialect reads and writes the fields of the messages (see platform/dialect.h).

#ifndef FIREFLYROUTE_APP_PROXY_REQUEST_H
#define FIREFLYROUTE_APP_PROXY_REQUEST_H

#include "app/traffic_plane.h"
#include "core/event_stream.h"
#include "core/sendings.h"
#include "net/server_session.h"

#include <boost/asio/steady_timer.hpp>
#include <concepts>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace fireflyroute::app {

// Reads and writes the messages of callers and endpoints.
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
    // One sending to one endpoint.
    struct Attempt
    {
        core::EndpointRecord endpoint;
        std::uint32_t unreadTokens = 0; // that the endpoint has to read before its answer
        std::shared_ptr<net::EndpointConnection> connection;
        core::AnswerMeta meta;
        net::HttpResponseHead head;
        std::string body; // of an answer that is passed on whole
        core::EventSplitter splitter;
        core::Instant sentAt;
        core::Instant progressAt; // when the endpoint last showed a sign of this request
        core::Instant firstEventAt; // meaningful if hasEvent
        std::uint32_t events = 0; // relayed from it
        bool hasHead = false;
        bool hasEvent = false;
    };

    // What came of the request before it is sent anywhere; a refusal, or nothing.
    [[nodiscard]] std::optional<core::Refusal> prepare(core::Instant now);
    void begin();
    void waitForStart();
    void chooseService();

    void attempt();
    void send(const core::Pick &pick, core::Instant now);
    [[nodiscard]] core::PickAsk ask(std::size_t model) const;
    [[nodiscard]] core::Dispatch dispatchTo(const core::EndpointRecord &endpoint,
                                            core::Instant now) const;
    [[nodiscard]] net::ExchangeHandlers handlers();

    void onHead(const net::HttpResponseHead &head);
    void onBody(std::string_view piece);
    void onEvents(std::string_view piece);
    void onEnd(net::AnswerEnd end);
    void onFailed(const net::ExchangeFailure &failure);
    void onTimer();
    void onGone();

    [[nodiscard]] bool isSound(const Attempt &attempt) const;
    [[nodiscard]] std::optional<std::size_t> largerModel();
    [[nodiscard]] core::ExpectedAnswer expectedOf(std::size_t model, const core::Pick &pick,
                                                  core::Instant now);
    [[nodiscard]] core::Pick pickFor(std::size_t model, core::Instant now) const;
    void escalate(std::size_t larger);
    void notRun();
    void dropAttempt();
    void failAttempt(core::SendingEnd end, std::string_view cause, bool severe);
    void retryOrGiveUp(core::SendingEnd end, std::string_view cause);
    void passOn();
    void finishStream();
    void notePace();
    void giveUp(std::string_view cause);
    void refuse(core::Refusal refusal);
    void finish(std::string_view outcome, unsigned status);
    void noteLatency(std::string_view outcome, core::Instant now);
    [[nodiscard]] std::uint32_t rank() const; // of the account, or else of the route

    void armTimer();
    [[nodiscard]] core::Instant stallsAt() const;
    [[nodiscard]] core::Duration patience() const;
    [[nodiscard]] bool isStream() const { return route_->kind == core::RouteKind::Stream; }
    [[nodiscard]] net::HttpFields answerFields() const;

    TrafficPlane &plane_;
    std::shared_ptr<net::ServerSession> session_;
    net::HttpRequestMessage request_;
    core::RequestMeta meta_;
    std::shared_ptr<const core::SiteTable> table_; // route_ and account_ point into it
    const core::Route *route_ = nullptr;
    const core::Account *account_ = nullptr; // null on public routes
    core::ServiceName service_;
    boost::asio::steady_timer timer_;
    core::Instant arrivedAt_;
    core::Instant deadlineAt_;
    std::optional<Attempt> attempt_; // the one that runs
    std::set<core::EndpointId> tried_; // endpoints that failed
    core::EndpointId lastTried_;
    core::StreamSplice splice_;
    std::size_t model_ = 0; // index into the route's models
    core::Sendings sendings_;
    bool began_ = false; // the caller has a part of the answer
    bool done_ = false;
    bool counted_ = false; // as a first attempt of its service
};

} // namespace fireflyroute::app

#include "app/proxy_request_impl.h"

#endif
