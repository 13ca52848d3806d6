// JSON-RPC client based on libjsonrpccpp, with a connector that passes the bytes to an
// RpcTransport.

#include "net/jsonrpc/rpc_client.h"

#include <exception>
#include <jsonrpccpp/client.h>

namespace fireflyroute {
namespace net {

namespace {

// Connector for one call. The library requires this virtual interface.
class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const RpcTransport &transport)
        : transport_(transport)
    {}

    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        try {
            result = transport_(message);
        } catch (const std::exception &failure) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                            failure.what());
        }
    }

private:
    const RpcTransport &transport_;
};

} // namespace

RpcReply callRpc(const RpcTransport &transport, const std::string &method,
                 const Json::Value &parameters)
{
    RpcReply reply;
    try {
        TransportConnector connector(transport);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        reply.value = client.CallMethod(method, parameters);
        reply.ok = true;
    } catch (const std::exception &failure) {
        reply.error = failure.what();
    }
    return reply;
}

} // namespace net
} // namespace fireflyroute
