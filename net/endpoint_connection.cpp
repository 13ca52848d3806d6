// HTTP/1.1 client connections to endpoints.

#include "net/endpoint_connection.h"

#include "net/address.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <functional>
#include <optional>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;

// Limit of one response head.
constexpr std::uint32_t kMaxHeaderBytes = 32U << 10U;

// Limit of one response body. The parser reserves memory for the length that the response declares.
constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;

// Number of informational responses and late responses to earlier requests that are skipped before
// the exchange fails.
constexpr int kMaxSkippedResponses = 2;

// Idle time-out if the endpoint does not send one.
constexpr std::chrono::seconds kDefaultKeepAliveTimeout{10};

constexpr unsigned kMinFinalStatus = 200;

// How often, after the end of the peer's bytes, it is checked whether the peer has taken the
// request.
constexpr std::chrono::milliseconds kTakenCheckInterval{10};

// Parses the value of "timeout=" in a Keep-Alive field.
std::optional<std::chrono::seconds> parseKeepAliveTimeout(std::string_view value)
{
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t found = value.find(kTimeout);
    if (found == std::string_view::npos)
        return std::nullopt;
    unsigned seconds = 0;
    const char *begin = value.data() + found + kTimeout.size();
    if (std::from_chars(begin, value.data() + value.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

// Whether the text contains the start of a status line.
bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view kPattern = "HTTP/0.0 000"; // a zero matches any digit
    const auto matches = [](char c, char expected) {
        return expected == '0' ? c >= '0' && c <= '9' : c == expected;
    };
    return std::search(text.begin(), text.end(), kPattern.begin(), kPattern.end(), matches)
           != text.end();
}

} // namespace

struct EndpointConnection::Parser
{
    Parser()
    {
        parser.header_limit(kMaxHeaderBytes);
        parser.body_limit(kMaxBodyBytes);
        parser.eager(true);
    }

    http::response_parser<http::string_body> parser;
    std::string unparsed; // received bytes that the parser has not consumed yet
    HttpResponseHead head;
    bool headHandled = false;
};

EndpointConnection::EndpointConnection(asio::io_context &io, tcp::endpoint peer,
                                       std::optional<tcp::endpoint> relay)
    : socket_(io)
    , timer_(io)
    , peer_(std::move(peer))
    , relay_(std::move(relay))
    , keepAliveTimeout_(kDefaultKeepAliveTimeout)
{}

EndpointConnection::~EndpointConnection() = default;

void EndpointConnection::send(OutgoingRequest request, ExchangeHandlers handlers,
                              std::chrono::milliseconds connectTimeout)
{
    request_ = std::move(request);
    handlers_ = std::make_shared<const ExchangeHandlers>(std::move(handlers));
    parser_ = std::make_unique<Parser>();
    exchangeActive_ = true;
    requestSent_ = false;
    headReceived_ = false;
    skippingResponse_ = false;
    skippedResponses_ = 0;
    if (connected_)
        write();
    else
        connect(connectTimeout);
}

void EndpointConnection::recordRequestId(std::string_view requestId)
{
    requestHashes_[requestCount_++ % kRememberedRequests] =
            std::hash<std::string_view>()(requestId);
}

bool EndpointConnection::hasCarried(std::string_view requestId) const
{
    const auto end = requestHashes_.begin()
                     + static_cast<std::ptrdiff_t>(std::min(requestCount_, kRememberedRequests));
    return std::find(requestHashes_.begin(), end, std::hash<std::string_view>()(requestId)) != end;
}

void EndpointConnection::connect(std::chrono::milliseconds timeout)
{
    armConnectTimer(timeout);
    socket_.async_connect(relay_ ? *relay_ : peer_, [self = shared_from_this(),
                                                     timeout](const error_code &error) {
        if (!self->exchangeActive_ || !self->open_)
            return;
        if (error) {
            self->fail(self->relay_ ? ExchangeError::RelayFailed : ExchangeError::ConnectFailed);
            return;
        }
        configureSocket(self->socket_);
        if (self->relay_) {
            self->armConnectTimer(timeout);
            self->requestTunnel();
        } else {
            self->onConnected();
        }
    });
}

void EndpointConnection::armConnectTimer(std::chrono::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && !self->connected_ && self->exchangeActive_)
            self->fail(self->relay_ ? ExchangeError::RelayFailed : ExchangeError::ConnectTimeout);
    });
}

void EndpointConnection::requestTunnel()
{
    tunnelRequest_ = encodeTunnelRequest(formatAddress(peer_));
    asio::async_write(socket_, asio::buffer(tunnelRequest_),
                      [self = shared_from_this()](const error_code &, std::size_t) {
                          // The read below reports a failure.
                      });
    asio::async_read(socket_, asio::buffer(&tunnelAnswer_, 1),
                     [self = shared_from_this()](const error_code &error, std::size_t) {
                         if (!self->exchangeActive_ || !self->open_)
                             return;
                         if (error)
                             self->fail(ExchangeError::RelayFailed);
                         else
                             self->onTunnelAnswer(self->tunnelAnswer_);
                     });
}

void EndpointConnection::onTunnelAnswer(char answer)
{
    const std::optional<TunnelStatus> status = decodeTunnelStatus(answer);
    if (status == TunnelStatus::Opened) {
        onConnected();
        return;
    }
    relayAnswer_ = status;
    if (status == TunnelStatus::Refused)
        fail(ExchangeError::ConnectFailed);
    else if (status == TunnelStatus::TimedOut)
        fail(ExchangeError::ConnectTimeout);
    else
        fail(ExchangeError::RelayFailed);
}

void EndpointConnection::onConnected()
{
    timer_.cancel();
    connected_ = true;
    write();
}

void EndpointConnection::write()
{
    requestSent_ = true;
    writing_ = true;
    awaitReadable();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_.head),
                                                    asio::buffer(*request_.body)};
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->writing_ = false;
                          // A failed write does not end the exchange: an early response may already
                          // have arrived.
                          if (error) {
                              self->reusable_ = false;
                              self->writeFailed_ = true;
                          } else {
                              self->request_ = {};
                          }
                      });
}

void EndpointConnection::resumeReading()
{
    if (std::exchange(readingPaused_, false) && connected_)
        awaitReadable();
}

void EndpointConnection::awaitReadable()
{
    if (!open_ || readingPaused_)
        return;
    readableWait_.start(socket_, [self = shared_from_this()] {
        if (self->open_)
            self->onReadable();
    });
}

void EndpointConnection::onReadable()
{
    std::array<char, kReadBufferBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        awaitReadable();
        return;
    }
    if (!exchangeActive_) {
        // The peer closed an idle connection, or sent bytes that belong to no request.
        close();
        return;
    }
    if (error == asio::error::eof) {
        onEndOfStream();
        return;
    }
    if (error) {
        fail(ExchangeError::Reset);
        return;
    }
    parse({buffer.data(), count});
    if (open_ && connected_)
        awaitReadable();
}

void EndpointConnection::parse(std::string_view bytes)
{
    std::string joined;
    if (!parser_->unparsed.empty()) {
        joined = std::move(parser_->unparsed) + std::string(bytes);
        bytes = joined;
    }
    const std::shared_ptr<EndpointConnection> self = shared_from_this();
    while (exchangeActive_) {
        error_code error;
        const std::size_t consumed =
                parser_->parser.put(asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(consumed);
        if (error && error != http::error::need_more) {
            fail(ExchangeError::Malformed);
            return;
        }
        if (!deliverParsed())
            return;
        if (parser_->parser.is_done()) {
            const bool skipped = skippingResponse_;
            if (!skipped) {
                reusable_ = reusable_ && bytes.empty() && parser_->parser.keep_alive();
                complete(ResponseEnd::Framed);
                return;
            }
            parser_ = std::make_unique<Parser>();
            skippingResponse_ = false;
            if (!bytes.empty())
                continue;
        }
        if (consumed == 0 || bytes.empty()) {
            // The parser limits heads and bodies, but not the line before a chunk.
            if (bytes.size() > kMaxHeaderBytes) {
                fail(ExchangeError::Malformed);
                return;
            }
            parser_->unparsed = std::string(bytes);
            return;
        }
    }
}

// Passes the parsed part of the response to the handlers. Returns false if the exchange has ended.
bool EndpointConnection::deliverParsed()
{
    Parser &state = *parser_;
    const std::shared_ptr<const ExchangeHandlers> handlers = handlers_;
    if (!state.headHandled && state.parser.is_header_done()) {
        recordHead();
        if (isJoinedHead() || !isResponseStatus(state.head.status)) {
            fail(ExchangeError::Malformed);
            return false;
        }
        if (state.head.status < kMinFinalStatus || !handlers->matchesRequest(state.head)) {
            skippingResponse_ = true;
            if (++skippedResponses_ > kMaxSkippedResponses) {
                fail(ExchangeError::Malformed);
                return false;
            }
        } else {
            headReceived_ = true;
            handlers->onHead(state.head);
        }
    }
    std::string &body = state.parser.get().body();
    if (body.empty() || !exchangeActive_)
        return exchangeActive_;
    const std::string chunk = std::exchange(body, {});
    if (!skippingResponse_)
        handlers->onBody(chunk);
    return exchangeActive_;
}

void EndpointConnection::recordHead()
{
    Parser &state = *parser_;
    state.headHandled = true;
    state.head.status = state.parser.get().result_int();
    for (const auto &field : state.parser.get()) {
        state.head.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (const std::string *value = findField(state.head.fields, "keep-alive"))
        keepAliveTimeout_ = parseKeepAliveTimeout(*value).value_or(keepAliveTimeout_);
}

// Whether a response that was cut off within its head is joined with the response after it: the
// status line of the latter stands in the reason phrase or in a field value.
bool EndpointConnection::isJoinedHead() const
{
    const auto reason = parser_->parser.get().reason();
    return containsStatusLine({reason.data(), reason.size()})
           || std::any_of(parser_->head.fields.begin(), parser_->head.fields.end(),
                          [](const HttpHeader &field) { return containsStatusLine(field.value); });
}

void EndpointConnection::onEndOfStream()
{
    const bool endsByConnectionClose = headReceived_ && !skippingResponse_
                                       && parser_->parser.need_eof() && !parser_->parser.is_done();
    reusable_ = false;
    if (!endsByConnectionClose) {
        fail(ExchangeError::Closed);
        return;
    }
    endedAt_ = std::chrono::steady_clock::now();
    completeIfRequestTaken();
}

// Completes a response that ends with its connection. Waits while the request is still being sent:
// the reset that follows if the endpoint is gone may not have arrived, or the write that fails by
// it may not have been reported.
void EndpointConnection::completeIfRequestTaken()
{
    if (writeFailed_ || takeSocketError(socket_)) {
        fail(ExchangeError::Reset);
        return;
    }
    const bool isTaken = isRequestTaken();
    // What happens behind a relay doesn't show here.
    if (!isTaken && relay_) {
        fail(ExchangeError::Reset);
        return;
    }
    if (isTaken || std::chrono::steady_clock::now() - endedAt_ >= kResetTimeout) {
        complete(ResponseEnd::ConnectionClosed);
        return;
    }
    timer_.expires_after(kTakenCheckInterval);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && self->exchangeActive_)
            self->completeIfRequestTaken();
    });
}

bool EndpointConnection::isRequestTaken()
{
    return !writing_ && unacknowledgedBytes(socket_) == 0;
}

void EndpointConnection::complete(ResponseEnd end)
{
    exchangeActive_ = false;
    readingPaused_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    const std::shared_ptr<const ExchangeHandlers> handlers = std::exchange(handlers_, nullptr);
    if (!reusable_ || writing_)
        close();
    handlers->onComplete(end);
}

void EndpointConnection::fail(ExchangeError error)
{
    exchangeActive_ = false;
    const std::shared_ptr<const ExchangeHandlers> handlers = std::exchange(handlers_, nullptr);
    const ExchangeFailure failure{error, requestSent_, relayAnswer_};
    close();
    handlers->onFailure(failure);
}

void EndpointConnection::cancel()
{
    exchangeActive_ = false;
    handlers_.reset();
    close();
}

void EndpointConnection::close()
{
    open_ = false;
    reusable_ = false;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
}

} // namespace fireflyroute::net
