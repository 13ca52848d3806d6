// JSON-RPC methods of a process, called by other fireflyroute processes and by operators. Methods
// run on worker threads and may block on the control thread.

#ifndef FIREFLYROUTE_APP_RPC_SERVICE_H
#define FIREFLYROUTE_APP_RPC_SERVICE_H

#include "app/control_loop.h"
#include "app/worker_pool.h"
#include "net/http_listener.h"
#include "net/jsonrpc/rpc_server.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

namespace fireflyroute::app {

class RpcService
{
public:
    // If `secret` is not empty, requests must carry it as a bearer token.
    RpcService(std::string secret, std::size_t threads)
        : secret_(std::move(secret))
        , workers_(threads)
    {}

    // Registers a method. Must be called before the first request.
    void add(const std::string &name, net::RpcMethod method)
    {
        server_.add(name, std::move(method));
    }

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);

private:
    const std::string secret_;
    net::RpcServer server_;
    WorkerPool workers_;
};

// Runs `request` on the control thread and waits for the value that it passes to its callback.
// Throws std::runtime_error, which becomes an error reply, if the value is not available in time.
template<typename T>
T callOnControlThread(ControlLoop &loop, std::function<void(std::function<void(T)>)> request)
{
    constexpr std::chrono::milliseconds kReplyTimeout{2000};
    auto promise = std::make_shared<std::promise<T>>();
    std::future<T> future = promise->get_future();
    loop.post([request = std::move(request), promise] {
        request([promise](T value) { promise->set_value(std::move(value)); });
    });
    if (future.wait_for(kReplyTimeout) != std::future_status::ready)
        throw std::runtime_error("no answer in time");
    return future.get();
}

} // namespace fireflyroute::app

#endif
