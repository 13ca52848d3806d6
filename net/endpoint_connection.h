// One connection to an endpoint. It carries one request at a time and reports whether the request
// may have reached the endpoint. It never resends a request.
//
//   auto connection = std::make_shared<EndpointConnection>(io, endpoint);
//   connection->send(encodeRequest(request, body), handlers, connectTimeout);
//
// With a relay the connection takes the way through a tunnel (net/tunnel.h). No byte of a request
// leaves before the relay has connected to the endpoint.
//
// A response that ends with its connection is complete only if the endpoint has taken the whole
// request, or keeps its side open for a while, and nothing on the connection has failed. A failed
// write takes the error of a reset from the reads after it, which then report a regular end.
//
// Between requests the connection closes when the peer closes it or sends unexpected bytes.
// Informational (1xx) responses are skipped, and so are responses to other requests, for whose head
// `matchesRequest` returns false. A head with a status that HTTP doesn't provide fails the
// exchange.

#ifndef FIREFLYROUTE_NET_ENDPOINT_CONNECTION_H
#define FIREFLYROUTE_NET_ENDPOINT_CONNECTION_H

#include "core/common/enum_names.h"
#include "net/http_message.h"
#include "net/socket_steps.h"
#include "net/tunnel.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Reason why an exchange ended without a complete response. RelayFailed says nothing about the
// endpoint; ConnectFailed and ConnectTimeout may have been observed by a relay.
enum class ExchangeError { ConnectFailed, ConnectTimeout, Reset, Closed, Malformed, RelayFailed };

// How the end of a response was delimited: by its length or chunk framing, or by the end of the
// connection.
enum class ResponseEnd { Framed, ConnectionClosed };

} // namespace fireflyroute::net

namespace fireflyroute::core {

template<>
struct EnumNames<net::ExchangeError>
{
    static constexpr std::array table{
            EnumName{net::ExchangeError::ConnectFailed, "connect_failed"},
            EnumName{net::ExchangeError::ConnectTimeout, "connect_timeout"},
            EnumName{net::ExchangeError::Reset, "reset"},
            EnumName{net::ExchangeError::Closed, "closed"},
            EnumName{net::ExchangeError::Malformed, "malformed"},
            EnumName{net::ExchangeError::RelayFailed, "relay_failed"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::net {

struct ExchangeFailure
{
    ExchangeError error = ExchangeError::Closed;
    bool mayHaveReachedPeer = true; // false: no byte of the request was passed to the kernel
    std::optional<TunnelStatus> relayAnswer = std::nullopt; // why the relay opened no tunnel
};

// Events of an exchange. No handler is called after `onComplete` or `onFailure`.
struct ExchangeHandlers
{
    std::function<bool(const HttpResponseHead &)> matchesRequest; // false: skip this response
    std::function<void(const HttpResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(ResponseEnd)> onComplete;
    std::function<void(const ExchangeFailure &)> onFailure;
};

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint peer,
                       std::optional<boost::asio::ip::tcp::endpoint> relay = std::nullopt);
    ~EndpointConnection();
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    // Sends a request. Connects first if the connection is not established yet. The time limit
    // holds for each hop.
    void send(OutgoingRequest request, ExchangeHandlers handlers,
              std::chrono::milliseconds connectTimeout);

    // Cancels the exchange and closes the connection. No handler is called afterwards.
    void cancel();

    // Stops and resumes reading the response, for a receiver that is slower than the endpoint. The
    // end of a connection is noticed after resuming.
    void pauseReading() { readingPaused_ = true; }
    void resumeReading();

    // Records the id of the next request. A late response to one of the latest requests is told
    // from the response to the current request only if their ids differ.
    void recordRequestId(std::string_view requestId);
    [[nodiscard]] bool hasCarried(std::string_view requestId) const;

    // Whether another request can be sent now.
    [[nodiscard]] bool isReusable() const { return reusable_ && open_ && !exchangeActive_; }

    // Whether a request was sent on it before or is being sent.
    [[nodiscard]] bool isConnected() const { return connected_; }

    [[nodiscard]] bool isRelayed() const { return relay_.has_value(); }

    // Start of the current idle period, and the idle time-out of the endpoint.
    [[nodiscard]] std::chrono::steady_clock::time_point idleSince() const { return idleSince_; }
    [[nodiscard]] std::chrono::seconds keepAliveTimeout() const { return keepAliveTimeout_; }

private:
    struct Parser;

    static constexpr std::size_t kRememberedRequests = 32;

    void connect(std::chrono::milliseconds timeout);
    void armConnectTimer(std::chrono::milliseconds timeout);
    void requestTunnel();
    void onTunnelAnswer(char answer);
    void onConnected();
    void write();
    void awaitReadable();
    void onReadable();
    void parse(std::string_view bytes);
    bool deliverParsed();
    void onEndOfStream();
    void completeIfRequestTaken();
    [[nodiscard]] bool isRequestTaken();
    void recordHead();
    [[nodiscard]] bool isJoinedHead() const;
    void complete(ResponseEnd end);
    void fail(ExchangeError error);
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::endpoint peer_;
    std::optional<boost::asio::ip::tcp::endpoint> relay_; // connects to peer_ on our behalf
    std::string tunnelRequest_; // in transmission
    char tunnelAnswer_ = 0; // valid once received
    std::optional<TunnelStatus> relayAnswer_; // set if it is not Opened
    OutgoingRequest request_; // in transmission
    // Set while exchangeActive_ is true. Shared, so that a handler that ends the exchange stays
    // valid while it runs.
    std::shared_ptr<const ExchangeHandlers> handlers_;
    ReadableWait readableWait_;
    std::unique_ptr<Parser> parser_; // parser of the current response
    std::chrono::steady_clock::time_point idleSince_{};
    std::chrono::steady_clock::time_point endedAt_{}; // end of the peer's bytes, once received
    std::chrono::seconds keepAliveTimeout_; // idle time-out of the endpoint
    // Hashes of the ids of the latest requests; the oldest is overwritten.
    std::array<std::size_t, kRememberedRequests> requestHashes_{};
    std::size_t requestCount_ = 0;
    int skippedResponses_ = 0; // during this exchange
    bool connected_ = false; // to the endpoint
    bool open_ = true;
    bool exchangeActive_ = false;
    bool writing_ = false;
    bool writeFailed_ = false;
    bool requestSent_ = false; // bytes of the request may have been passed to the kernel
    bool headReceived_ = false; // head of the response to the current request
    bool skippingResponse_ = false; // the response being parsed is not passed to the handlers
    bool reusable_ = true;
    bool readingPaused_ = false;
};

} // namespace fireflyroute::net

#endif
