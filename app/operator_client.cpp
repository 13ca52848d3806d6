// Calls made by operator commands.

#include "app/operator_client.h"

#include "app/system_clock.h"
#include "net/config_json.h"
#include "net/control_json.h"
#include "net/digest.h"
#include "net/http_client.h"
#include "net/jsonrpc/rpc_client.h"

#include <stdexcept>
#include <thread>

namespace fireflyroute::app {

namespace {

constexpr int kMaxSubmitAttempts = 3;
constexpr std::size_t kCommandIdBytes = 12;
constexpr std::chrono::milliseconds kPollPeriod{100};
constexpr int kHttpOk = 200;

AppFailure unreachable(const std::string &detail)
{
    return AppFailure{AppError::NetworkFailed, detail};
}

} // namespace

Result<Json::Value> OperatorClient::call(const std::string &method,
                                         const Json::Value &parameters) const
{
    net::HttpClient client;
    const net::RpcTransport transport = [&](const std::string &bytes) {
        net::HttpCall call;
        call.address = settings_.server;
        call.method = "POST";
        call.path = "/operator";
        call.body = bytes;
        call.timeout = settings_.timeout;
        if (!settings_.token.empty())
            call.headers.push_back({"Authorization", "Bearer " + settings_.token});
        const net::Result<net::HttpResponse> answer = client.sendAndWait(call);
        if (!answer)
            throw std::runtime_error(settings_.server + ": " + answer.error().detail);
        if (answer.value().status != kHttpOk)
            throw std::runtime_error(answer.value().body);
        return answer.value().body;
    };
    const net::RpcReply reply = net::callRpc(transport, method, parameters);
    if (!reply.ok)
        return unreachable(reply.error);
    return reply.value;
}

Result<core::FleetConfig> OperatorClient::config() const
{
    BOOST_OUTCOME_TRY(state, call("state", Json::Value(Json::objectValue)));
    const net::Result<core::FleetConfig> config = net::readFleetConfig(state["config"], "config");
    if (!config)
        return fromNet(config.error());
    return config.value();
}

Result<core::ConfigReply> OperatorClient::submit(core::Revision baseRevision,
                                                 const core::ConfigChange &change) const
{
    core::ConfigCommand command;
    command.id = core::CommandId("op-" + net::randomHex(kCommandIdBytes));
    command.author = core::OperatorName(settings_.author);
    command.at = SystemClock().wallNow();
    command.expected = baseRevision;
    command.change = change;
    core::SubmitRequest request;
    request.command = command;
    std::string problem = "no control leader";
    for (int i = 0; i < kMaxSubmitAttempts; ++i) {
        const Result<Json::Value> answer = call("submit", net::toJson(request));
        if (!answer) {
            problem = answer.error().detail;
            continue;
        }
        const net::Result<core::SubmitReply> reply = net::readSubmitReply(answer.value(), "submit");
        if (!reply)
            return fromNet(reply.error());
        if (reply.value().reply)
            return std::get<core::ConfigReply>(*reply.value().reply);
        problem = reply.value().problem;
    }
    return unreachable(problem);
}

Result<bool> OperatorClient::waitInForce(core::Revision revision) const
{
    const SystemClock clock;
    const core::Instant deadline = clock.now() + settings_.timeout;
    while (clock.now() < deadline) {
        BOOST_OUTCOME_TRY(state, call("state", Json::Value(Json::objectValue)));
        if (state["in_force"].asUInt64() >= core::toNumber(revision))
            return true;
        std::this_thread::sleep_for(kPollPeriod);
    }
    return false;
}

} // namespace fireflyroute::app
