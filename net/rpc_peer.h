// JSON-RPC calls to one other process. A dedicated thread sends the calls one after another,
// because the library's client waits for each reply. An unresponsive peer delays only the calls to
// itself.
//
//   RpcPeer peer("http://127.0.0.1:8081", std::chrono::milliseconds(1000), secret);
//   peer.call("follow", parameters, [](Result<Json::Value> reply) { ... });

#ifndef FIREFLYROUTE_NET_RPC_PEER_H
#define FIREFLYROUTE_NET_RPC_PEER_H

#include "net/errors.h"

#include <chrono>
#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace fireflyroute::net {

class RpcPeer
{
public:
    using ReplyHandler = std::function<void(Result<Json::Value>)>;

    // `timeout` limits the wait for a reply. `secret` is sent as a bearer token if it is not empty.
    RpcPeer(const std::string &address, std::chrono::milliseconds timeout,
            const std::string &secret);

    // Queued calls fail with NetError::Closed.
    ~RpcPeer();
    RpcPeer(const RpcPeer &) = delete;
    RpcPeer &operator=(const RpcPeer &) = delete;

    // Queues a call. The callback runs on the peer's thread. If kQueueLimit calls are queued
    // already, the call fails immediately, on the calling thread, with NetError::Unreachable.
    void call(const std::string &method, const Json::Value &parameters, ReplyHandler onReply);

    [[nodiscard]] const std::string &address() const;

    static constexpr std::size_t kQueueLimit = 1024;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace fireflyroute::net

#endif
