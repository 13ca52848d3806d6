// HTTP client based on cpprest's http_client.

#include "net/http_client.h"

#include "net/http_message.h"

#include <utility>

#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <future>
#include <map>
#include <mutex>
#include <stdexcept>

namespace fireflyroute::net {

namespace {

namespace http = web::http;

using Client = http::client::http_client;

constexpr int kHttpOk = 200;
constexpr unsigned kMinFinalStatus = 200;

// An answer that is none in the protocol.
class MalformedAnswer : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

std::shared_ptr<Client> makeClient(const HttpCall &call)
{
    http::client::http_client_config config;
    config.set_timeout(call.timeout);
    return std::make_shared<Client>(web::uri(call.address), config);
}

http::http_request toRequest(const HttpCall &call)
{
    http::http_request request(call.method);
    request.set_request_uri(web::uri(call.path));
    for (const HttpHeader &header : call.headers)
        request.headers().add(header.name, header.value);
    if (!call.body.empty())
        request.set_body(call.body, call.contentType);
    return request;
}

// The library accepts any number as a status and any text as the name of a field, and takes an
// informational response for the final one.
void checkHead(const http::http_response &source)
{
    const unsigned status = source.status_code();
    if (!isResponseStatus(status) || status < kMinFinalStatus)
        throw MalformedAnswer("invalid status " + std::to_string(status));
    for (const auto &[name, value] : source.headers()) {
        if (!isFieldName(name))
            throw MalformedAnswer("invalid field name");
    }
}

HttpResponse toResponseHead(const http::http_response &source)
{
    checkHead(source);
    HttpResponse response;
    response.status = source.status_code();
    response.contentType = source.headers().content_type();
    for (const auto &[name, value] : source.headers())
        response.headers.push_back(HttpHeader{name, value});
    return response;
}

// Only a failed connection attempt proves that no byte of the request was sent.
NetFailure toFailure(const std::exception &failure)
{
    const auto *httpError = dynamic_cast<const http::http_exception *>(&failure);
    if (!httpError)
        return NetFailure{NetError::Closed, failure.what()};
    const int code = httpError->error_code().value();
    const bool connectFailed = code == static_cast<int>(std::errc::host_unreachable)
                               || code == static_cast<int>(std::errc::connection_refused)
                               || code == static_cast<int>(std::errc::network_unreachable);
    if (connectFailed)
        return NetFailure{NetError::Unreachable, failure.what()};
    if (code == static_cast<int>(std::errc::timed_out))
        return NetFailure{NetError::Timeout, failure.what()};
    return NetFailure{NetError::Closed, failure.what()};
}

HttpResponse withBody(HttpResponse head, const std::vector<unsigned char> &bytes)
{
    head.body.assign(bytes.begin(), bytes.end());
    return head;
}

} // namespace

class HttpClient::Impl
{
public:
    std::shared_ptr<Client> clientFor(const HttpCall &call)
    {
        if (call.useNewConnection)
            return makeClient(call);
        const std::scoped_lock lock(mutex_);
        std::shared_ptr<Client> &client = clients_[Key{call.address, call.timeout}];
        if (!client)
            client = makeClient(call);
        return client;
    }

    void discardConnections(const std::string &address)
    {
        const std::scoped_lock lock(mutex_);
        std::erase_if(clients_, [&](const auto &entry) { return entry.first.address == address; });
    }

private:
    struct Key
    {
        std::string address;
        std::chrono::milliseconds timeout;

        auto operator<=>(const Key &) const = default;
    };

    std::mutex mutex_;
    // The current generation of connections to each address.
    std::map<Key, std::shared_ptr<Client>> clients_;
};

// Reads a streamed body line by line. Its pending continuations keep it alive.
class HttpStream::Impl : public std::enable_shared_from_this<HttpStream::Impl>
{
public:
    Impl(std::shared_ptr<Client> client, HttpClient::OnLine onLine, HttpClient::OnEnd onEnd)
        : client_(std::move(client))
        , onLine_(std::move(onLine))
        , onEnd_(std::move(onEnd))
    {}

    void start(const HttpCall &call)
    {
        client_->request(toRequest(call), cancel_.get_token())
                .then([self = shared_from_this()](pplx::task<http::http_response> responseTask) {
                    self->onHead(responseTask);
                });
    }

    void cancel() { cancel_.cancel(); }

private:
    void onHead(const pplx::task<http::http_response> &responseTask)
    {
        try {
            const http::http_response response = responseTask.get();
            head_ = toResponseHead(response);
            if (head_.status != kHttpOk) {
                readErrorBody(response);
                return;
            }
            body_ = response.body();
            readLine();
        } catch (const MalformedAnswer &failure) {
            cancel(); // closes the connection, whose next bytes have no meaning
            finish(NetFailure{NetError::Malformed, failure.what()});
        } catch (const std::exception &failure) {
            finish(toFailure(failure));
        }
    }

    void readErrorBody(const http::http_response &response)
    {
        response.extract_vector().then(
                [self = shared_from_this()](pplx::task<std::vector<unsigned char>> read) {
                    try {
                        self->finish(withBody(self->head_, read.get()));
                    } catch (const std::exception &failure) {
                        self->finish(toFailure(failure));
                    }
                });
    }

    void readLine()
    {
        const concurrency::streams::container_buffer<std::string> line;
        body_.read_to_delim(line, '\n')
                .then([self = shared_from_this(), line](pplx::task<std::size_t> read) {
                    self->onRead(line, read);
                });
    }

    void onRead(const concurrency::streams::container_buffer<std::string> &line,
                const pplx::task<std::size_t> &read)
    {
        try {
            const std::size_t count = read.get();
            if (cancel_.get_token().is_canceled()) {
                finish(NetFailure{NetError::Closed, "cancelled"});
                return;
            }
            if (count == 0 && body_.is_eof()) {
                finish(head_);
                return;
            }
            onLine_(line.collection());
            readLine();
        } catch (const std::exception &failure) {
            finish(toFailure(failure));
        }
    }

    void finish(Result<HttpResponse> result)
    {
        onLine_ = nullptr;
        const HttpClient::OnEnd onEnd = std::exchange(onEnd_, nullptr);
        if (onEnd)
            onEnd(std::move(result));
    }

    std::shared_ptr<Client> client_;
    HttpClient::OnLine onLine_; // null once ended
    HttpClient::OnEnd onEnd_; // null once called
    pplx::cancellation_token_source cancel_;
    HttpResponse head_;
    concurrency::streams::istream body_;
};

void HttpStream::cancel()
{
    impl_->cancel();
}

HttpClient::HttpClient()
    : impl_(std::make_shared<Impl>())
{}

HttpClient::~HttpClient() = default;

void HttpClient::send(const HttpCall &call, ResponseHandler onResponse)
{
    const std::shared_ptr<Client> client = impl_->clientFor(call);
    auto handler = std::make_shared<ResponseHandler>(std::move(onResponse));
    // Without a cancellation token: with one, the library garbled some replies under load.
    client->request(toRequest(call))
            .then([client](http::http_response response) {
                return response.extract_vector().then(
                        [head = toResponseHead(response)](const std::vector<unsigned char> &bytes) {
                            return withBody(head, bytes);
                        });
            })
            .then([impl = impl_, handler,
                   address = call.address](pplx::task<HttpResponse> response) {
                std::optional<Result<HttpResponse>> result;
                try {
                    result = response.get();
                } catch (const MalformedAnswer &failure) {
                    impl->discardConnections(address);
                    result = NetFailure{NetError::Malformed, failure.what()};
                } catch (const std::exception &failure) {
                    result = toFailure(failure);
                }
                (*handler)(std::move(*result));
            });
}

std::shared_ptr<HttpStream> HttpClient::stream(const HttpCall &call, OnLine onLine, OnEnd onEnd)
{
    auto impl = std::make_shared<HttpStream::Impl>(impl_->clientFor(call), std::move(onLine),
                                                   std::move(onEnd));
    impl->start(call);
    return std::make_shared<HttpStream>(impl);
}

void HttpClient::discardConnections(const std::string &address)
{
    impl_->discardConnections(address);
}

Result<HttpResponse> HttpClient::sendAndWait(const HttpCall &call)
{
    auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    std::future<Result<HttpResponse>> future = promise->get_future();
    send(call,
         [promise](Result<HttpResponse> response) { promise->set_value(std::move(response)); });
    return future.get();
}

} // namespace fireflyroute::net
