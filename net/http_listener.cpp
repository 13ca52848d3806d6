// HTTP server based on cpprest's http_listener.

#include "net/http_listener.h"

#include <utility>

#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <mutex>
#include <pplx/threadpool.h>

namespace fireflyroute::net {

namespace {

namespace http = web::http;

using StreamBuffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

HttpRequest toRequest(const http::http_request &source)
{
    HttpRequest request;
    request.method = source.method();
    const web::uri uri = source.relative_uri();
    request.path = web::uri::decode(uri.path());
    request.query = uri.query();
    for (const auto &[name, value] : source.headers())
        request.headers.push_back(HttpHeader{name, value});
    return request;
}

http::http_response toResponse(const HttpResponse &source)
{
    http::http_response response(static_cast<http::status_code>(source.status));
    for (const HttpHeader &header : source.headers)
        response.headers().add(header.name, header.value);
    return response;
}

} // namespace

class HttpExchange::Impl
{
public:
    Impl(const http::http_request &request, HttpRequest decoded)
        : request_(request)
        , decoded_(std::move(decoded))
        , disconnectHandler_(std::make_shared<DisconnectHandler>())
    {}

    const HttpRequest &request() const { return decoded_; }

    void reply(const HttpResponse &source)
    {
        http::http_response response = toResponse(source);
        response.set_body(source.body, source.contentType);
        send(response);
    }

    void beginStream(const HttpResponse &head)
    {
        http::http_response response = toResponse(head);
        response.set_body(buffer_.create_istream(), head.contentType);
        send(response);
    }

    void write(const std::string &chunk)
    {
        const auto *bytes = reinterpret_cast<const std::uint8_t *>(chunk.data());
        buffer_.putn_nocopy(bytes, chunk.size()).then([](pplx::task<std::size_t> put) {
            ignoreFailure(put);
        });
        buffer_.sync().then([](pplx::task<void> synced) { ignoreFailure(synced); });
    }

    void finishStream()
    {
        buffer_.close(std::ios_base::out).then([](pplx::task<void> closed) {
            ignoreFailure(closed);
        });
    }

    void abortStream()
    {
        const auto streamAborted = std::make_exception_ptr(std::runtime_error("response aborted"));
        buffer_.close(std::ios_base::out, streamAborted).then([](pplx::task<void> closed) {
            ignoreFailure(closed);
        });
    }

    void onDisconnect(std::function<void()> handler)
    {
        disconnectHandler_->handler = std::move(handler);
    }

private:
    // Shared with the reply task, which may end after the exchange has been destroyed.
    struct DisconnectHandler
    {
        std::function<void()> handler;
    };

    template<typename T>
    static void ignoreFailure(const pplx::task<T> &completed)
    {
        try {
            completed.get();
        } catch (const std::exception &) {
            // The reader of the stream has disconnected. The reply task reports it.
        }
    }

    void send(const http::http_response &response)
    {
        request_.reply(response).then(
                [disconnectHandler = disconnectHandler_](pplx::task<void> sent) {
                    try {
                        sent.get();
                    } catch (const std::exception &) {
                        if (disconnectHandler->handler)
                            disconnectHandler->handler();
                    }
                    disconnectHandler->handler = nullptr;
                });
    }

    http::http_request request_;
    HttpRequest decoded_;
    StreamBuffer buffer_;
    std::shared_ptr<DisconnectHandler> disconnectHandler_;
};

HttpExchange::HttpExchange(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

HttpExchange::~HttpExchange() = default;

const HttpRequest &HttpExchange::request() const
{
    return impl_->request();
}

void HttpExchange::reply(const HttpResponse &response)
{
    impl_->reply(response);
}

void HttpExchange::beginStream(const HttpResponse &head)
{
    impl_->beginStream(head);
}

void HttpExchange::write(const std::string &chunk)
{
    impl_->write(chunk);
}

void HttpExchange::finishStream()
{
    impl_->finishStream();
}

void HttpExchange::abortStream()
{
    impl_->abortStream();
}

void HttpExchange::onDisconnect(std::function<void()> handler)
{
    impl_->onDisconnect(std::move(handler));
}

class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl>
{
public:
    Impl(const std::string &address, HttpListenerLimits limits, Handler handler)
        : listener_(web::uri(address))
        , limits_(limits)
        , handler_(std::move(handler))
    {}

    Result<void> open()
    {
        listener_.support([self = weak_from_this()](const http::http_request &request) {
            if (const auto impl = self.lock())
                impl->accept(request);
        });
        try {
            listener_.open().get();
        } catch (const std::exception &failure) {
            return NetFailure{NetError::BindFailed,
                              listener_.uri().to_string() + ": " + failure.what()};
        }
        return core::outcome::success();
    }

    void close()
    {
        try {
            listener_.close().get();
        } catch (const std::exception &) {
            // The listener was not open.
        }
    }

private:
    static void reject(const http::http_request &request, int status, const std::string &problem)
    {
        const std::string body = R"({"type":"about:blank","title":")" + problem + R"(","status":)"
                                 + std::to_string(status) + R"(,"ran":"no"})";
        http::http_response response(static_cast<http::status_code>(status));
        response.headers().add("Connection", "close");
        response.set_body(body, "application/problem+json");
        request.reply(response).then([](pplx::task<void> sent) {
            try {
                sent.get();
            } catch (const std::exception &) {
                // The caller has disconnected.
            }
        });
    }

    void accept(const http::http_request &request)
    {
        if (request.headers().has("Transfer-Encoding")) {
            reject(request, 411, "Content-Length: required");
            return;
        }
        if (request.headers().content_length() > limits_.maxBodyBytes) {
            reject(request, 413, "body: too large");
            return;
        }
        request.extract_vector().then(
                [self = shared_from_this(), request](pplx::task<std::vector<unsigned char>> read) {
                    self->handle(request, read);
                });
    }

    void handle(const http::http_request &request,
                const pplx::task<std::vector<unsigned char>> &read)
    {
        try {
            HttpRequest decoded = toRequest(request);
            const std::vector<unsigned char> bytes = read.get();
            decoded.body.assign(bytes.begin(), bytes.end());
            handler_(std::make_shared<HttpExchange>(
                    std::make_unique<HttpExchange::Impl>(request, std::move(decoded))));
        } catch (const std::exception &) {
            // The caller disconnected before its body was read, so no response can be sent.
        }
    }

    http::experimental::listener::http_listener listener_;
    HttpListenerLimits limits_;
    Handler handler_;
};

HttpListener::HttpListener(const std::string &address, HttpListenerLimits limits, Handler handler)
    : impl_(std::make_shared<Impl>(address, limits, std::move(handler)))
{}

HttpListener::~HttpListener() = default;

Result<void> HttpListener::open()
{
    return impl_->open();
}

void HttpListener::close()
{
    impl_->close();
}

void startTrafficThreads(std::size_t count)
{
    crossplat::threadpool::initialize_with_threads(count);
}

void runOnTrafficThread(std::function<void()> task)
{
    pplx::create_task(std::move(task));
}

} // namespace fireflyroute::net
