// JSON-RPC 2.0 server, a wrapper of libjsonrpccpp: methods are registered by name, and dispatch()
// converts request bytes to reply bytes. The listener that carries the bytes is not part of it.
//
//   RpcServer server;
//   server.add("follow", [](const Json::Value &parameters) { return reply; });
//   std::string reply = server.dispatch(requestBody);

#ifndef FIREFLYROUTE_NET_JSONRPC_RPC_SERVER_H
#define FIREFLYROUTE_NET_JSONRPC_RPC_SERVER_H

#include <functional>
#include <json/value.h>
#include <memory>
#include <string>

namespace fireflyroute {
namespace net {

// Implements one method. An exception becomes a JSON-RPC error reply.
using RpcMethod = std::function<Json::Value(const Json::Value &)>;

class RpcServer
{
public:
    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    // Registers a method with named parameters. Must be called before the first dispatch().
    void add(const std::string &name, RpcMethod method);

    // Handles one request. Safe to call from several threads at once.
    std::string dispatch(const std::string &request) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace net
} // namespace fireflyroute

#endif
