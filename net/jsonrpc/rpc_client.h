// JSON-RPC 2.0 client, a wrapper of libjsonrpccpp: it encodes a call and decodes its reply. The
// transport that carries the bytes is passed in by the caller.
//
//   RpcReply reply = callRpc(transport, "follow", parameters);

#ifndef FIREFLYROUTE_NET_JSONRPC_RPC_CLIENT_H
#define FIREFLYROUTE_NET_JSONRPC_RPC_CLIENT_H

#include <functional>
#include <json/value.h>
#include <string>

namespace fireflyroute {
namespace net {

// Result of one call: a value, or the error that the peer or the transport reported.
struct RpcReply
{
    bool ok = false;
    Json::Value value;
    std::string error;
};

// Sends request bytes and returns reply bytes. Throws std::runtime_error if the transport fails.
using RpcTransport = std::function<std::string(const std::string &)>;

// Calls a method of a peer and waits for its reply. Does not throw.
RpcReply callRpc(const RpcTransport &transport, const std::string &method,
                 const Json::Value &parameters);

} // namespace net
} // namespace fireflyroute

#endif
