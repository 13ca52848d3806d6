// The relay's side of tunnels.

#include "net/tunnel.h"

#include "net/address.h"
#include "net/socket_steps.h"
#include "net/tcp_acceptor.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <netinet/tcp.h>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16U << 10U;

// Longest request line: "255.255.255.255:65535" or a full IPv6 address, with room to spare.
constexpr std::size_t kMaxRequestBytes = 64;

// The client sends its line with its first packet.
constexpr std::chrono::milliseconds kRequestTimeout{1000};

// Less than the client's time limit, so that the client learns that the endpoint is at fault.
constexpr std::chrono::milliseconds kEndpointConnectTimeout{450};

// How long a client may take, after the endpoint has ended, to receive the last bytes or to close
// its connection.
constexpr std::chrono::seconds kCloseTimeout{5};

// How often the bytes under way are looked at after the endpoint has ended.
constexpr std::chrono::milliseconds kEndCheckInterval{10};

// A client that has sent nothing for this long is not in the middle of a request.
constexpr std::chrono::milliseconds kClientQuietPeriod{20};

// TCP user time-out of both sides, which also bounds unanswered keep-alive probes: a peer that lost
// power or its network ends the tunnel.
constexpr int kUnacknowledgedTimeoutMs = 10000;
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;

void configureTunnelSocket(tcp::socket &socket)
{
    configureSocket(socket);
    using asio::detail::socket_option::integer;
    error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnacknowledgedTimeoutMs), ignored);
}

// While this is set, the kernel resets the connection when the socket is closed, also by the death
// of the process.
void setResetOnClose(tcp::socket &socket, bool enabled)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(enabled, 0), ignored);
}

// One tunnel. Its pending operations keep it alive.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
    Tunnel(asio::io_context &io, tcp::socket clientSocket, std::shared_ptr<TunnelGroup> group)
        : client_(std::move(clientSocket))
        , endpoint_(io)
        , timer_(io)
        , group_(std::move(group))
    {
        ++group_->active;
    }

    ~Tunnel() { --group_->active; }
    Tunnel(const Tunnel &) = delete;
    Tunnel &operator=(const Tunnel &) = delete;

    void start()
    {
        configureTunnelSocket(client_.socket);
        armTimer(kRequestTimeout, [this] { close(); });
        awaitRequest();
    }

private:
    struct Side
    {
        explicit Side(tcp::socket sideSocket)
            : socket(std::move(sideSocket))
        {}
        explicit Side(asio::io_context &io)
            : socket(io)
        {}

        tcp::socket socket;
        ReadableWait readableWait;
        std::string unsent; // bytes for this side; while there are any, the other side is not read
        bool takesBytes = true; // false after a failed write
        bool ended = false; // has sent its last byte
        std::chrono::steady_clock::time_point receivedAt{}; // last bytes of this side
    };

    template<typename Expired>
    void armTimer(std::chrono::milliseconds timeout, Expired onExpired)
    {
        timer_.expires_after(timeout);
        timer_.async_wait([self = shared_from_this(), onExpired](const error_code &error) {
            if (!error && self->open_)
                onExpired();
        });
    }

    void awaitRequest()
    {
        client_.readableWait.start(client_.socket, [self = shared_from_this()] {
            if (self->open_)
                self->onRequestReadable();
        });
    }

    void onRequestReadable()
    {
        std::array<char, kMaxRequestBytes> buffer;
        error_code error;
        const std::size_t count = client_.socket.read_some(
                asio::buffer(buffer.data(), kMaxRequestBytes - request_.size()), error);
        if (error == asio::error::would_block) {
            awaitRequest();
            return;
        }
        if (error) {
            close();
            return;
        }
        request_.append(buffer.data(), count);
        const std::size_t end = request_.find('\n');
        if (end != std::string::npos && end + 1 == request_.size()) {
            request_.pop_back();
            connect();
        } else if (end != std::string::npos || request_.size() == kMaxRequestBytes) {
            // A client waits for the answer before it sends more than the line.
            reject(TunnelStatus::NotAllowed);
        } else {
            awaitRequest();
        }
    }

    void connect()
    {
        const auto address = parseAddress(request_);
        TunnelStatus verdict = address ? group_->policy(request_) : TunnelStatus::NotAllowed;
        if (group_->active > group_->maxActive)
            verdict = TunnelStatus::Full;
        if (verdict != TunnelStatus::Opened) {
            reject(verdict);
            return;
        }
        armTimer(kEndpointConnectTimeout, [this] {
            reportConnectAttempt(false);
            reject(TunnelStatus::TimedOut);
        });
        endpoint_.socket.async_connect(address.value(),
                                       [self = shared_from_this()](const error_code &error) {
                                           if (!self->open_)
                                               return;
                                           self->timer_.cancel();
                                           self->reportConnectAttempt(!error);
                                           if (error)
                                               self->reject(TunnelStatus::Refused);
                                           else
                                               self->open();
                                       });
    }

    void reportConnectAttempt(bool connected)
    {
        if (group_->onConnectAttempt)
            group_->onConnectAttempt(request_, connected);
    }

    void open()
    {
        configureTunnelSocket(endpoint_.socket);
        setResetOnClose(client_.socket, true);
        ++group_->answers[TunnelStatus::Opened];
        const char byte = static_cast<char>(TunnelStatus::Opened);
        send(client_, {&byte, 1}, endpoint_);
        awaitReadable(client_, endpoint_);
    }

    // Sends the status and ends the tunnel.
    void reject(TunnelStatus status)
    {
        ++group_->answers[status];
        error_code ignored;
        const char byte = static_cast<char>(status);
        client_.socket.write_some(asio::buffer(&byte, 1), ignored);
        close();
    }

    // Waits for bytes of a side, unless the other side has not taken the earlier ones yet.
    void awaitReadable(Side &from, Side &to)
    {
        if (!open_ || from.ended || !to.unsent.empty())
            return;
        from.readableWait.start(from.socket, [self = shared_from_this(), &from, &to] {
            if (self->open_)
                self->onReadable(from, to);
        });
    }

    void onReadable(Side &from, Side &to)
    {
        std::array<char, kReadBufferBytes> buffer;
        error_code error;
        const std::size_t count = from.socket.read_some(asio::buffer(buffer), error);
        if (error == asio::error::would_block) {
            awaitReadable(from, to);
        } else if (error == asio::error::eof) {
            from.ended = true;
            onEnded(from);
        } else if (error) {
            from.ended = true;
            onReset(from);
        } else {
            from.receivedAt = std::chrono::steady_clock::now();
            send(to, {buffer.data(), count}, from);
        }
    }

    // Passes bytes on to a side. They come from `from`, which is read again after that.
    void send(Side &to, std::string_view bytes, Side &from)
    {
        error_code error;
        std::size_t sent = 0;
        if (to.takesBytes)
            sent = to.socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (error && error != asio::error::would_block) {
            onWriteFailed(to);
        } else if (to.takesBytes && sent < bytes.size()) {
            to.unsent = std::string(bytes.substr(sent));
            asio::async_write(to.socket, asio::buffer(to.unsent),
                              [self = shared_from_this(), &to, &from](const error_code &failure,
                                                                      std::size_t) {
                                  to.unsent = std::string();
                                  if (!self->open_)
                                      return;
                                  if (failure)
                                      self->onWriteFailed(to);
                                  self->awaitReadable(from, to);
                              });
        }
        awaitReadable(from, to);
    }

    // The endpoint may have sent an answer before it stopped reading, so the client still gets its
    // bytes.
    void onWriteFailed(Side &to)
    {
        to.takesBytes = false;
        if (&to == &client_)
            resetBoth();
        else if (endpoint_.ended)
            onReset(endpoint_);
    }

    void onEnded(const Side &side)
    {
        if (&side == &client_ || client_.ended) {
            close();
            return;
        }
        endedAt_ = std::chrono::steady_clock::now();
        passEndOn();
    }

    // Passes the end of the endpoint's bytes on, unless the endpoint resets the connection for the
    // request that it is still being sent: a failed write takes the error of the reset from the
    // read, which then reports a regular end.
    void passEndOn()
    {
        if (!endpoint_.takesBytes || takeSocketError(endpoint_.socket)) {
            onReset(endpoint_);
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        const bool isQuiet = now - client_.receivedAt >= kClientQuietPeriod;
        if ((!isQuiet || !hasEndpointTakenAll()) && now - endedAt_ < kResetTimeout) {
            armTimer(kEndCheckInterval, [this] { passEndOn(); });
            return;
        }
        // The socket is not closed at once: unread bytes of the client would turn that into a
        // reset, which may overtake the end of the answer.
        error_code ignored;
        setResetOnClose(client_.socket, false);
        client_.socket.shutdown(tcp::socket::shutdown_send, ignored);
        armTimer(kCloseTimeout, [this] { close(); });
    }

    // Whether the endpoint has acknowledged all bytes that the client has sent so far.
    [[nodiscard]] bool hasEndpointTakenAll()
    {
        error_code ignored;
        return client_.socket.available(ignored) == 0 && endpoint_.unsent.empty()
               && unacknowledgedBytes(endpoint_.socket) == 0;
    }

    // A reset of the client ends both sides. One of the endpoint is passed on behind its last
    // bytes, which may complete an answer: a reset drops what the client has not received.
    void onReset(const Side &side)
    {
        if (&side == &client_) {
            resetBoth();
            return;
        }
        endedAt_ = std::chrono::steady_clock::now();
        resetClientWhenReceived();
    }

    void resetClientWhenReceived()
    {
        const bool isLate = std::chrono::steady_clock::now() - endedAt_ >= kCloseTimeout;
        if (isLate || unacknowledgedBytes(client_.socket) == 0)
            resetBoth();
        else
            armTimer(kEndCheckInterval, [this] { resetClientWhenReceived(); });
    }

    void resetBoth()
    {
        setResetOnClose(client_.socket, true);
        setResetOnClose(endpoint_.socket, true);
        close();
    }

    void close()
    {
        open_ = false;
        timer_.cancel();
        error_code ignored;
        client_.socket.close(ignored);
        endpoint_.socket.close(ignored);
    }

    Side client_;
    Side endpoint_;
    asio::steady_timer timer_; // of the request line, the connection and the close; not of bytes
    std::shared_ptr<TunnelGroup> group_;
    std::string request_; // received part of the request line
    std::chrono::steady_clock::time_point endedAt_{}; // of the endpoint's bytes, once ended
    bool open_ = true;
};

} // namespace

Result<std::shared_ptr<TunnelGroup>> acceptTunnels(asio::io_context &io, const std::string &address,
                                                   TunnelPolicy policy)
{
    auto group = std::make_shared<TunnelGroup>();
    group->policy = std::move(policy);
    BOOST_OUTCOME_TRYV(acceptConnections(io, address, [&io, group](tcp::socket socket) {
        std::make_shared<Tunnel>(io, std::move(socket), group)->start();
    }));
    return group;
}

std::string encodeTunnelRequest(const std::string &endpoint)
{
    return endpoint + '\n';
}

std::optional<TunnelStatus> decodeTunnelStatus(char byte)
{
    const auto &table = core::EnumNames<TunnelStatus>::table;
    const auto *const found = std::find_if(table.begin(), table.end(), [byte](const auto &row) {
        return static_cast<char>(row.value) == byte;
    });
    return found == table.end() ? std::nullopt : std::optional(found->value);
}

} // namespace fireflyroute::net
