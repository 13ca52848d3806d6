// One connection to an endpoint. It carries one request at a time and shows what became of its
// bytes: it never sends anything twice by itself.
//
//   auto connection = std::make_shared<EndpointConnection>(io, endpoint);
//   connection->send(bytes, handlers, connectTimeout);
//
// Between requests it waits for the peer to close, and closes itself if bytes come that nobody
// asked for. Answers to another request are skipped if `isOurs` refuses their head.

#ifndef FIREFLYROUTE_NET_ENDPOINT_CONNECTION_H
#define FIREFLYROUTE_NET_ENDPOINT_CONNECTION_H

#include "core/enum_names.h"
#include "net/http_message.h"
#include "net/socket_steps.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Why an exchange ended without a whole answer.
enum class ExchangeError { ConnectFailed, ConnectTimeout, Reset, Closed, Malformed };

// How the end of an answer was marked.
enum class AnswerEnd { Framed, ByClose };

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
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::net {

struct ExchangeFailure
{
    ExchangeError error = ExchangeError::Closed;
    bool mayHaveArrived = true; // false: no byte of the request left this process
};

// What an exchange tells its owner. After `end` or `failed` nothing more comes.
struct ExchangeHandlers
{
    std::function<bool(const HttpResponseHead &)> isOurs; // false: skip this answer
    std::function<void(const HttpResponseHead &)> head;
    std::function<void(std::string_view)> body;
    std::function<void(AnswerEnd)> end;
    std::function<void(const ExchangeFailure &)> failed;
};

class EndpointConnection : public std::enable_shared_from_this<EndpointConnection>
{
public:
    EndpointConnection(boost::asio::io_context &io, boost::asio::ip::tcp::endpoint peer);
    ~EndpointConnection();
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    // Sends a request, after connecting if that is not done yet.
    void send(std::string bytes, ExchangeHandlers handlers,
              std::chrono::milliseconds connectTimeout);

    // Drops the exchange and closes the connection; no handler is called any more.
    void cancel();

    // Whether another request may be sent now.
    [[nodiscard]] bool isReusable() const { return reusable_ && open_ && !busy_; }

    // Since when it waits for a request, and how long the endpoint keeps an idle connection.
    [[nodiscard]] std::chrono::steady_clock::time_point idleSince() const { return idleSince_; }
    [[nodiscard]] std::chrono::seconds keepAlive() const { return keepAlive_; }

private:
    struct Parser;

    void connect(std::chrono::milliseconds timeout);
    void write();
    void awaitReadable();
    void onReadable();
    void parse(std::string_view bytes);
    bool deliver();
    void onEndOfStream();
    void noteHead();
    void complete(AnswerEnd end);
    void fail(ExchangeError error);
    void close();

    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::asio::ip::tcp::endpoint peer_;
    std::string request_; // being written
    // Set while busy_. Shared, so that a handler may end the exchange that it is called for.
    std::shared_ptr<const ExchangeHandlers> handlers_;
    ReadableWait wait_;
    std::unique_ptr<Parser> parser_; // of the present answer
    std::chrono::steady_clock::time_point idleSince_{};
    std::chrono::seconds keepAlive_; // idle time that the endpoint allows
    int skipped_ = 0; // answers to other requests during this exchange
    bool connected_ = false;
    bool open_ = true;
    bool busy_ = false;
    bool writing_ = false;
    bool sent_ = false; // bytes of the request were given to the kernel
    bool headSeen_ = false; // of the own answer
    bool skipping_ = false; // the present answer is another request's
    bool reusable_ = true;
};

} // namespace fireflyroute::net

#endif
