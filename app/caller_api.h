// HTTP interface of an entry for callers. Authenticates and decodes each request and starts a
// RequestSession for it. Makes no routing decisions.

#ifndef FIREFLYROUTE_APP_CALLER_API_H
#define FIREFLYROUTE_APP_CALLER_API_H

#include "app/traffic_context.h"
#include "core/calls/caller_request.h"
#include "net/http_listener.h"

#include <memory>
#include <string>

namespace fireflyroute::app {

class CallerApi
{
public:
    explicit CallerApi(TrafficContext &traffic)
        : traffic_(traffic)
    {}

    // Whether the path is part of the callers' interface.
    [[nodiscard]] static bool handles(const std::string &path);

    void handle(const std::shared_ptr<net::HttpExchange> &exchange);

private:
    core::Result<core::CallerRequest> parseRequest(const net::HttpRequest &http);
    void startModelCall(const std::shared_ptr<net::HttpExchange> &exchange,
                        core::CallerRequest request);
    static core::Result<void> parseServiceCall(const net::HttpRequest &http,
                                               core::CallerRequest &request);

    TrafficContext &traffic_;
};

// Returns the account authenticated by a bearer token "ACCOUNT.SECRET", or UnknownAccount.
[[nodiscard]] core::Result<core::ClientAccountId> authenticate(const core::FleetConfig &config,
                                                               const std::string &authorization);

// A new account key: the token for the account's owner, and the salt and hash to store.
struct AccountKey
{
    std::string token;
    std::string salt;
    std::string hash;
};

[[nodiscard]] AccountKey makeAccountKey(const core::ClientAccountId &account);

} // namespace fireflyroute::app

#endif
