// Connections to endpoints.

#include "net/endpoint_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16U << 10U;

// Of one answer head.
constexpr std::uint32_t kMaxHeaderBytes = 32U << 10U;

// Of one answer; the parser reserves what the answer states as its length.
constexpr std::uint64_t kMaxBodyBytes = 16U << 20U;

// Late answers to earlier requests that are skipped before a connection counts as broken.
constexpr int kMaxSkipped = 2;

// Idle time when the endpoint states none.
constexpr std::chrono::seconds kDefaultKeepAlive{10};

constexpr unsigned kFirstFinalStatus = 200;

// The number behind "timeout=" in a Keep-Alive field.
std::optional<std::chrono::seconds> readKeepAlive(std::string_view value)
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
    std::string rest; // bytes of an unfinished line
    HttpResponseHead head;
    bool headDone = false;
};

EndpointConnection::EndpointConnection(asio::io_context &io, tcp::endpoint peer)
    : socket_(io)
    , timer_(io)
    , peer_(std::move(peer))
    , keepAlive_(kDefaultKeepAlive)
{}

EndpointConnection::~EndpointConnection() = default;

void EndpointConnection::send(std::string bytes, ExchangeHandlers handlers,
                              std::chrono::milliseconds connectTimeout)
{
    request_ = std::move(bytes);
    handlers_ = std::make_shared<const ExchangeHandlers>(std::move(handlers));
    parser_ = std::make_unique<Parser>();
    busy_ = true;
    sent_ = false;
    headSeen_ = false;
    skipping_ = false;
    skipped_ = 0;
    if (connected_)
        write();
    else
        connect(connectTimeout);
}

void EndpointConnection::connect(std::chrono::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && !self->connected_ && self->busy_)
            self->fail(ExchangeError::ConnectTimeout);
    });
    socket_.async_connect(peer_, [self = shared_from_this()](const error_code &error) {
        if (!self->busy_ || !self->open_)
            return;
        self->timer_.cancel();
        if (error) {
            self->fail(ExchangeError::ConnectFailed);
            return;
        }
        prepare(self->socket_);
        self->connected_ = true;
        self->write();
    });
}

void EndpointConnection::write()
{
    sent_ = true;
    writing_ = true;
    awaitReadable();
    asio::async_write(socket_, asio::buffer(request_),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->writing_ = false;
                          // An early answer may wait to be read, so a failed write ends nothing.
                          if (error)
                              self->reusable_ = false;
                          else
                              self->request_.clear();
                      });
}

void EndpointConnection::awaitReadable()
{
    if (!open_)
        return;
    wait_.start(socket_, [self = shared_from_this()] {
        if (self->open_)
            self->onReadable();
    });
}

void EndpointConnection::onReadable()
{
    std::array<char, kReadBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) {
        awaitReadable();
        return;
    }
    if (!busy_) {
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
    if (!parser_->rest.empty()) {
        joined = std::move(parser_->rest) + std::string(bytes);
        bytes = joined;
    }
    const std::shared_ptr<EndpointConnection> held = shared_from_this();
    while (busy_) {
        error_code error;
        const std::size_t used =
                parser_->parser.put(asio::buffer(bytes.data(), bytes.size()), error);
        bytes.remove_prefix(used);
        if (error && error != http::error::need_more) {
            fail(ExchangeError::Malformed);
            return;
        }
        if (!deliver())
            return;
        if (parser_->parser.is_done()) {
            const bool wasSkipped = skipping_;
            if (!wasSkipped) {
                reusable_ = reusable_ && bytes.empty() && parser_->parser.keep_alive();
                complete(AnswerEnd::Framed);
                return;
            }
            parser_ = std::make_unique<Parser>();
            skipping_ = false;
            if (!bytes.empty())
                continue;
        }
        if (used == 0 || bytes.empty()) {
            parser_->rest = std::string(bytes);
            return;
        }
    }
}

// Hands over what the parser has taken in so far; false when the exchange has ended.
bool EndpointConnection::deliver()
{
    Parser &state = *parser_;
    const std::shared_ptr<const ExchangeHandlers> handlers = handlers_;
    if (!state.headDone && state.parser.is_header_done()) {
        noteHead();
        if (state.head.status < kFirstFinalStatus || !handlers->isOurs(state.head)) {
            skipping_ = true;
            if (++skipped_ > kMaxSkipped) {
                fail(ExchangeError::Malformed);
                return false;
            }
        } else {
            headSeen_ = true;
            handlers->head(state.head);
        }
    }
    std::string &body = state.parser.get().body();
    if (body.empty() || !busy_)
        return busy_;
    const std::string piece = std::exchange(body, {});
    if (!skipping_)
        handlers->body(piece);
    return busy_;
}

void EndpointConnection::noteHead()
{
    Parser &state = *parser_;
    state.headDone = true;
    state.head.status = state.parser.get().result_int();
    for (const auto &field : state.parser.get()) {
        state.head.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    if (const std::string *value = findField(state.head.fields, "keep-alive"))
        keepAlive_ = readKeepAlive(*value).value_or(keepAlive_);
}

void EndpointConnection::onEndOfStream()
{
    const bool endsByClose =
            headSeen_ && !skipping_ && parser_->parser.need_eof() && !parser_->parser.is_done();
    reusable_ = false;
    if (endsByClose)
        complete(AnswerEnd::ByClose);
    else
        fail(ExchangeError::Closed);
}

void EndpointConnection::complete(AnswerEnd end)
{
    busy_ = false;
    idleSince_ = std::chrono::steady_clock::now();
    const std::shared_ptr<const ExchangeHandlers> handlers = std::exchange(handlers_, nullptr);
    if (!reusable_ || writing_)
        close();
    handlers->end(end);
}

void EndpointConnection::fail(ExchangeError error)
{
    busy_ = false;
    const std::shared_ptr<const ExchangeHandlers> handlers = std::exchange(handlers_, nullptr);
    const ExchangeFailure failure{error, sent_};
    close();
    handlers->failed(failure);
}

void EndpointConnection::cancel()
{
    busy_ = false;
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
