// JSON-RPC over HTTP.

#include "app/rpc_service.h"

#include "net/digest.h"
#include "net/problem_json.h"

namespace fireflyroute::app {

void RpcService::handle(const std::shared_ptr<net::HttpExchange> &exchange)
{
    const std::string authorization =
            net::headerValue(exchange->request().headers, "Authorization");
    if (!secret_.empty() && !net::equalSecrets(authorization, "Bearer " + secret_)) {
        exchange->reply(net::problemResponse(
                {core::CoreError::UnknownAccount, "Authorization: not valid here"},
                core::Executed::No));
        return;
    }
    const bool queued = workers_.post([this, exchange] {
        net::HttpResponse response;
        response.body = server_.dispatch(exchange->request().body);
        exchange->reply(response);
    });
    if (!queued) {
        exchange->reply(net::problemResponse({core::CoreError::Overloaded, "too many calls wait"},
                                             core::Executed::No));
    }
}

} // namespace fireflyroute::app
