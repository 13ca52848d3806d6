// JSON-RPC server based on libjsonrpccpp's protocol handler.

#include "net/jsonrpc/rpc_server.h"

#include <jsonrpccpp/server.h>
#include <map>

namespace fireflyroute {
namespace net {

// Connects the library's protocol handler to the registered methods. Methods are added only before
// the first request, so the map is read without a lock.
class RpcServer::Impl : public jsonrpc::IProcedureInvokationHandler
{
public:
    Impl()
        : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                         *this))
    {}

    void add(const std::string &name, RpcMethod method)
    {
        methods_[name] = std::move(method);
        handler_->AddProcedure(
                jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input,
                          Json::Value &output) override
    {
        try {
            output = methods_.at(procedure.GetProcedureName())(input);
        } catch (const std::exception &failure) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                            failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure &procedure, const Json::Value &input) override
    {
        methods_.at(procedure.GetProcedureName())(input);
    }

    std::string dispatch(const std::string &request)
    {
        std::string reply;
        handler_->HandleRequest(request, reply);
        return reply;
    }

private:
    std::map<std::string, RpcMethod> methods_;
    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
};

RpcServer::RpcServer()
    : impl_(new Impl)
{}

RpcServer::~RpcServer() = default;

void RpcServer::add(const std::string &name, RpcMethod method)
{
    impl_->add(name, std::move(method));
}

std::string RpcServer::dispatch(const std::string &request) const
{
    return impl_->dispatch(request);
}

} // namespace net
} // namespace fireflyroute
