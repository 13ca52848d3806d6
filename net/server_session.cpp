// Connections of callers.

#include "net/server_session.h"

#include "net/tcp_acceptor.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBytes = 16U << 10U;

// A caller that sent more than it may gets this long to read the refusal.
constexpr std::chrono::milliseconds kRefusalTimeout{1000};

constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;

unsigned statusOf(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return kHeaderTooLarge;
    if (error == http::error::body_limit)
        return kBodyTooLarge;
    return kBadRequest;
}

} // namespace

struct ServerSession::Parser
{
    explicit Parser(const SessionLimits &limits)
    {
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        parser.eager(true);
    }

    http::request_parser<http::string_body> parser;
    bool began = false; // bytes of this request have come
    bool continued = false; // the caller was told to send the body
};

ServerSession::ServerSession(tcp::socket socket, std::shared_ptr<SessionGroup> group)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
    , group_(std::move(group))
    , parser_(std::make_unique<Parser>(group_->limits))
{
    group_->sessions.insert(this);
}

ServerSession::~ServerSession()
{
    group_->sessions.erase(this);
}

void ServerSession::start()
{
    prepare(socket_);
    armTimer(group_->limits.idleTimeout);
    awaitReadable();
}

// One wait serves both purposes: the next bytes of a request, and the caller's leaving while an
// answer is under way.
void ServerSession::awaitReadable()
{
    if (!open_ || (busy_ && !input_.empty()))
        return;
    wait_.start(socket_, [self = shared_from_this()] {
        if (self->open_)
            self->onReadable();
    });
}

void ServerSession::onReadable()
{
    if (busy_) {
        checkCaller();
        return;
    }
    std::array<char, kReadBytes> buffer;
    error_code error;
    const std::size_t count = socket_.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    input_.append(buffer.data(), count);
    parse();
}

// Bytes of a next request stay in the kernel until the present answer is out.
void ServerSession::checkCaller()
{
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block)
        awaitReadable();
    else if (error)
        leave();
}

void ServerSession::parse()
{
    Parser &state = *parser_;
    if (!state.began && !input_.empty()) {
        state.began = true;
        armTimer(group_->limits.headerTimeout);
    }
    error_code error;
    const std::size_t used = state.parser.put(asio::buffer(input_), error);
    input_.erase(0, used);
    if (error && error != http::error::need_more) {
        refuse(statusOf(error));
        return;
    }
    if (state.parser.is_done()) {
        dispatch();
        return;
    }
    if (!state.parser.is_header_done() && input_.size() > group_->limits.headerBytes) {
        refuse(kHeaderTooLarge);
        return;
    }
    const bool wantsContinue =
            state.parser.is_header_done() && !state.continued
            && equalNames(std::string(state.parser.get()[http::field::expect]), "100-continue");
    if (wantsContinue) {
        state.continued = true;
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (state.parser.is_header_done())
        armTimer(group_->limits.idleTimeout);
    awaitReadable();
}

void ServerSession::dispatch()
{
    timer_.cancel();
    http::request<http::string_body> message = parser_->parser.release();
    HttpRequestMessage request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields.reserve(16);
    for (const auto &field : message)
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    keepAlive_ = message.keep_alive();
    bodyless_ = request.method == "HEAD";
    busy_ = true;
    parser_ = std::make_unique<Parser>(group_->limits);
    if (input_.empty())
        input_.shrink_to_fit();
    awaitReadable();
    group_->handler(shared_from_this(), std::move(request));
}

void ServerSession::refuse(unsigned status)
{
    busy_ = true;
    keepAlive_ = false;
    respond({status, {}, {}});
}

// The caller has closed its end.
void ServerSession::leave()
{
    const std::function<void()> gone = std::exchange(gone_, nullptr);
    close();
    if (gone)
        gone();
}

void ServerSession::respond(const HttpResponseMessage &response)
{
    if (!busy_ || streaming_)
        return;
    HttpResponseHead head{response.status, response.fields};
    const bool ends = !keepAlive_ || group_->closing;
    closeAfterWrite_ = ends;
    if (ends)
        head.fields.push_back({"Connection", "close"});
    head.fields.push_back({"Content-Length", std::to_string(response.body.size())});
    std::string bytes = encodeResponseHead(head);
    bytes += "\r\n";
    if (!bodyless_)
        bytes += response.body;
    send(std::move(bytes));
    finishAnswer();
}

void ServerSession::beginStream(const HttpResponseHead &head)
{
    if (!busy_ || streaming_)
        return;
    streaming_ = true;
    HttpResponseHead framed = head;
    const bool ends = !keepAlive_ || group_->closing;
    closeAfterWrite_ = ends;
    if (ends)
        framed.fields.push_back({"Connection", "close"});
    framed.fields.push_back({"Transfer-Encoding", "chunked"});
    send(encodeResponseHead(framed) + "\r\n");
}

void ServerSession::writePiece(std::string_view piece)
{
    if (streaming_ && !piece.empty())
        send(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
}

void ServerSession::endStream()
{
    if (!streaming_)
        return;
    send("0\r\n\r\n");
    finishAnswer();
}

void ServerSession::abort()
{
    gone_ = nullptr;
    close();
}

void ServerSession::whenGone(std::function<void()> gone)
{
    gone_ = std::move(gone);
}

void ServerSession::finishAnswer()
{
    gone_ = nullptr;
    streaming_ = false;
    busy_ = false;
    if (!open_ || closeAfterWrite_)
        return;
    armTimer(group_->limits.idleTimeout);
    if (input_.empty()) {
        awaitReadable();
        return;
    }
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->open_ && !self->busy_)
            self->parse();
    });
}

void ServerSession::send(std::string bytes)
{
    if (!open_)
        return;
    unsent_ += bytes.size();
    output_.push_back(std::move(bytes));
    if (!writing_)
        writeNext();
}

void ServerSession::writeNext()
{
    // One write for all that has gathered: each system call is dear on a small VM.
    if (output_.size() > 1) {
        std::string gathered;
        gathered.reserve(unsent_);
        for (const std::string &one : output_)
            gathered += one;
        output_.clear();
        output_.push_back(std::move(gathered));
    }
    writing_ = true;
    asio::async_write(socket_, asio::buffer(output_.front()),
                      [self = shared_from_this()](const error_code &error, std::size_t count) {
                          self->writing_ = false;
                          if (error) {
                              self->leave();
                              return;
                          }
                          self->unsent_ -= count;
                          self->output_.pop_front();
                          if (!self->output_.empty())
                              self->writeNext();
                          else if (self->closeAfterWrite_ && !self->busy_)
                              self->close();
                      });
}

void ServerSession::closeIfIdle()
{
    const bool isIdle = !busy_ && output_.empty() && input_.empty() && !parser_->began;
    if (isIdle)
        close();
}

void ServerSession::close()
{
    if (!open_)
        return;
    open_ = false;
    timer_.cancel();
    error_code ignored;
    if (!busy_)
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
}

void ServerSession::armTimer(std::chrono::milliseconds timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const error_code &error) {
        const std::shared_ptr<ServerSession> self = weak.lock();
        if (error || !self || self->busy_ || !self->open_)
            return;
        const bool isHalfSent = self->parser_->began && !self->closeAfterWrite_;
        if (!isHalfSent) {
            self->close();
            return;
        }
        self->refuse(kRequestTimeout);
        self->armTimer(kRefusalTimeout);
    });
}

Result<std::shared_ptr<SessionGroup>> acceptSessions(asio::io_context &io,
                                                     const std::string &address,
                                                     const SessionLimits &limits,
                                                     SessionHandler handler)
{
    auto group = std::make_shared<SessionGroup>();
    group->limits = limits;
    group->handler = std::move(handler);
    BOOST_OUTCOME_TRYV(acceptConnections(io, address, [group](tcp::socket socket) {
        std::make_shared<ServerSession>(std::move(socket), group)->start();
    }));
    return group;
}

void closeGently(SessionGroup &group)
{
    group.closing = true;
    // Closing may end a session, which leaves the set.
    const std::vector<ServerSession *> sessions(group.sessions.begin(), group.sessions.end());
    for (ServerSession *session : sessions) {
        const std::shared_ptr<ServerSession> held = session->shared_from_this();
        held->closeIfIdle();
    }
}

std::size_t busySessions(const SessionGroup &group)
{
    std::size_t busy = 0;
    for (const ServerSession *session : group.sessions)
        busy += session->isBusy() || session->unsentBytes() != 0 ? 1 : 0;
    return busy;
}

} // namespace fireflyroute::net
