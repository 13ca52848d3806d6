// HTTP client based on cpprestsdk: complete exchanges and line-by-line streams. Callbacks run on
// the library's thread pool.
//
//   HttpClient client;
//   client.send(call, [](Result<HttpResponse> response) { ... });
//   auto stream = client.stream(call, onLine, onEnd);
//   stream->cancel();
//
// The pooled connections to one address form a generation. discardConnections() starts a new
// generation: later calls never use a connection that was opened before it. A call with
// `useNewConnection` set uses a connection that has carried no other call, because the library may
// resend a request on a reused connection.

#ifndef FIREFLYROUTE_NET_HTTP_CLIENT_H
#define FIREFLYROUTE_NET_HTTP_CLIENT_H

#include "net/errors.h"
#include "net/http_types.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace fireflyroute::net {

struct HttpCall
{
    std::string address; // "http://IP:PORT"
    std::string method = "GET";
    std::string path = "/"; // including the query
    std::vector<HttpHeader> headers;
    std::string body;
    std::string contentType = "application/json";
    std::chrono::milliseconds timeout{10000}; // maximum time without progress
    bool useNewConnection = false;
};

// A streamed response in progress. It keeps itself alive until it has ended.
class HttpStream
{
public:
    class Impl;
    explicit HttpStream(std::shared_ptr<Impl> impl)
        : impl_(std::move(impl))
    {}

    // Closes the connection. onEnd is still called.
    void cancel();

private:
    std::shared_ptr<Impl> impl_;
};

class HttpClient
{
public:
    using ResponseHandler = std::function<void(Result<HttpResponse>)>;
    using OnLine = std::function<void(const std::string &)>;
    // Called once. On a regular end of the body it receives the response head (status and headers).
    // On a status other than 200 it receives the response with its body, and no line is delivered.
    using OnEnd = std::function<void(Result<HttpResponse>)>;

    HttpClient();
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void send(const HttpCall &call, ResponseHandler onResponse);
    std::shared_ptr<HttpStream> stream(const HttpCall &call, OnLine onLine, OnEnd onEnd);

    // Makes later calls to this address use new connections.
    void discardConnections(const std::string &address);

    // Sends the call and waits for the response. Must not be called on a thread of the pool.
    Result<HttpResponse> sendAndWait(const HttpCall &call);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fireflyroute::net

#endif
