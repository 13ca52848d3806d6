// HTTP interface for callers.

#include "app/caller_api.h"

#include "app/request_session.h"
#include "net/chat_json.h"
#include "net/digest.h"
#include "net/problem_json.h"

#include <algorithm>
#include <string_view>

namespace fireflyroute::app {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxHeaderValueBytes = 256; // of task, session and idempotency key
constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kSaltBytes = 16;
constexpr std::size_t kSecretBytes = 24;

core::CoreFailure invalidArgument(const std::string &detail)
{
    return core::CoreFailure{core::CoreError::InvalidArgument, detail};
}

core::Result<std::string> boundedHeader(const net::HttpRequest &http, const std::string &name)
{
    std::string value = net::headerValue(http.headers, name);
    if (value.size() > kMaxHeaderValueBytes)
        return invalidArgument(name + ": longer than 256 bytes");
    return value;
}

core::Result<core::Rank> parseRank(const net::HttpRequest &http, const core::ClientAccount &account)
{
    const std::string name = net::headerValue(http.headers, "Fireflyroute-Rank");
    if (name.empty())
        return std::max(core::Rank::Normal, account.maxRank);
    const std::optional<core::Rank> rank = core::parseEnum<core::Rank>(name);
    if (!rank)
        return invalidArgument("Fireflyroute-Rank: must be one of " + core::allNames<core::Rank>());
    if (*rank < account.maxRank) {
        return core::CoreFailure{core::CoreError::NotAllowed,
                                 "Fireflyroute-Rank: the account may not ask for " + name};
    }
    return *rank;
}

} // namespace

bool CallerApi::handles(const std::string &path)
{
    return path == kChatPath || path == kCompletionPath || path.starts_with(kServicePrefix);
}

void CallerApi::handle(const std::shared_ptr<net::HttpExchange> &exchange)
{
    if (traffic_.views.get()->draining) {
        exchange->reply(net::problemResponse(
                {core::CoreError::Overloaded, "this entry is shutting down"}, core::Executed::No));
        return;
    }
    core::Result<core::CallerRequest> request = parseRequest(exchange->request());
    if (!request) {
        exchange->reply(net::problemResponse(request.error(), core::Executed::No));
        return;
    }
    if (request.value().kind == core::CallKind::Service) {
        std::make_shared<RequestSession>(traffic_, exchange, std::move(request.value()),
                                         std::nullopt)
                ->start();
        return;
    }
    startModelCall(exchange, std::move(request.value()));
}

void CallerApi::startModelCall(const std::shared_ptr<net::HttpExchange> &exchange,
                               core::CallerRequest request)
{
    net::Result<net::CompletionCall> call =
            net::readCompletionCall(request.kind, exchange->request().body);
    if (!call) {
        exchange->reply(net::malformedResponse(call.error()));
        return;
    }
    request.model = call.value().model;
    request.version = call.value().version;
    request.promptTokens = call.value().promptTokens;
    request.maxTokens = call.value().maxTokens;
    std::make_shared<RequestSession>(traffic_, exchange, std::move(request),
                                     std::move(call.value()))
            ->start();
}

core::Result<core::CallerRequest> CallerApi::parseRequest(const net::HttpRequest &http)
{
    const std::shared_ptr<const RoutingView> view = traffic_.views.get();
    BOOST_OUTCOME_TRY(accountId,
                      authenticate(*view->config, net::headerValue(http.headers, "Authorization")));
    const core::ClientAccount &account = *core::findAccount(*view->config, accountId);
    core::CallerRequest request;
    request.id = core::RequestId("r-" + net::randomHex(kRequestIdBytes));
    request.account = accountId;
    BOOST_OUTCOME_TRY(rank, parseRank(http, account));
    request.rank = rank;
    BOOST_OUTCOME_TRY(task, boundedHeader(http, "Fireflyroute-Task"));
    request.task = core::TaskName(task);
    BOOST_OUTCOME_TRY(session, boundedHeader(http, "Fireflyroute-Session"));
    if (!session.empty())
        request.session = core::SessionId(session);
    BOOST_OUTCOME_TRY(key, boundedHeader(http, "Idempotency-Key"));
    request.idempotencyKey = key;
    request.fingerprint = net::sha256Hex(http.method + "\n" + http.path + "\n" + http.body);
    request.kind = http.path == kChatPath         ? core::CallKind::Chat
                   : http.path == kCompletionPath ? core::CallKind::Completion
                                                  : core::CallKind::Service;
    if (request.kind == core::CallKind::Service) {
        BOOST_OUTCOME_TRYV(parseServiceCall(http, request));
    } else if (http.method != "POST") {
        return invalidArgument("method: must be POST");
    }
    return request;
}

core::Result<void> CallerApi::parseServiceCall(const net::HttpRequest &http,
                                               core::CallerRequest &request)
{
    const std::string servicePath = http.path.substr(kServicePrefix.size());
    const std::size_t slash = servicePath.find('/');
    request.service = core::ServiceName(servicePath.substr(0, slash));
    if (request.service.empty())
        return invalidArgument("path: /services/NAME/PATH is expected");
    request.path = slash == std::string::npos ? "/" : servicePath.substr(slash);
    if (!http.query.empty())
        request.path += "?" + http.query;
    request.method = http.method;
    return core::outcome::success();
}

core::Result<core::ClientAccountId> authenticate(const core::FleetConfig &config,
                                                 const std::string &authorization)
{
    const core::CoreFailure unauthorized{core::CoreError::UnknownAccount,
                                         "Authorization: no valid account key"};
    if (!authorization.starts_with(kBearerPrefix))
        return unauthorized;
    const std::string token = authorization.substr(kBearerPrefix.size());
    const std::size_t dot = token.rfind('.');
    if (dot == std::string::npos)
        return unauthorized;
    const core::ClientAccount *account =
            core::findAccount(config, core::ClientAccountId(token.substr(0, dot)));
    if (!account || account->keyHash.empty())
        return unauthorized;
    const std::string hash = net::sha256Hex(account->keySalt + token.substr(dot + 1));
    if (!net::equalSecrets(hash, account->keyHash))
        return unauthorized;
    return account->id;
}

AccountKey makeAccountKey(const core::ClientAccountId &account)
{
    AccountKey key;
    const std::string secret = net::randomHex(kSecretBytes);
    key.token = account.value() + "." + secret;
    key.salt = net::randomHex(kSaltBytes);
    key.hash = net::sha256Hex(key.salt + secret);
    return key;
}

} // namespace fireflyroute::app
