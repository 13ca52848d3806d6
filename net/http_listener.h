// HTTP server based on cpprestsdk. Handlers run on the library's thread pool and must not block.
// They share ownership of the exchange and may respond at any later time.
//
//   HttpListener listener("http://127.0.0.1:8080", limits,
//                         [](std::shared_ptr<HttpExchange> exchange) {
//       exchange->reply(HttpResponse{200, "text/plain", {}, "hello"});
//   });
//   BOOST_OUTCOME_TRYV(listener.open());

#ifndef FIREFLYROUTE_NET_HTTP_LISTENER_H
#define FIREFLYROUTE_NET_HTTP_LISTENER_H

#include "net/errors.h"
#include "net/http_types.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace fireflyroute::net {

// One request and its response, which is sent complete or as a stream.
class HttpExchange
{
public:
    class Impl;
    explicit HttpExchange(std::unique_ptr<Impl> impl);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const HttpRequest &request() const;

    // Sends a complete response.
    void reply(const HttpResponse &response);

    // Sends the status and headers of a response whose body follows in chunks. The body of `head`
    // is ignored.
    void beginStream(const HttpResponse &head);
    void write(const std::string &chunk);
    void finishStream();

    // Closes the stream without its terminator, so that the caller detects the truncated response.
    void abortStream();

    // Sets a handler that is called once, on a thread of the pool, if sending the response fails
    // because the caller has disconnected. Set it before the response begins.
    void onDisconnect(std::function<void()> handler);

private:
    std::unique_ptr<Impl> impl_;
};

struct HttpListenerLimits
{
    std::size_t maxBodyBytes = std::size_t(4) * 1024 * 1024;
};

class HttpListener
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpListener(const std::string &address, HttpListenerLimits limits, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    HttpListener &operator=(const HttpListener &) = delete;

    // Starts to listen. Fails with BindFailed if the address can't be bound.
    Result<void> open();

    // Stops listening. Does not wait for exchanges in progress.
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

// Sets the number of threads of the pool that runs handlers and client callbacks. Call it once,
// before any other function of net/.
void startTrafficThreads(std::size_t count);

// Runs a function on the pool.
void runOnTrafficThread(std::function<void()> task);

} // namespace fireflyroute::net

#endif
