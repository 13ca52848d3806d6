// Records how an exchange with an endpoint ends, for tests of endpoint connections.
//
//   const auto outcome = std::make_shared<ExchangeOutcome>();
//   connection->send(request, recordOutcome(outcome), 1000ms);
//   runUntil([&] { return outcome->done; });

#ifndef FIREFLYROUTE_NET_TESTING_EXCHANGE_OUTCOME_H
#define FIREFLYROUTE_NET_TESTING_EXCHANGE_OUTCOME_H

#include "net/endpoint_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace fireflyroute::net {

struct ExchangeOutcome
{
    bool done = false;
    unsigned status = 0;
    std::string body;
    std::optional<ExchangeFailure> failure;
};

// Returns handlers that take any response.
inline ExchangeHandlers recordOutcome(const std::shared_ptr<ExchangeOutcome> &outcome)
{
    ExchangeHandlers handlers;
    handlers.matchesRequest = [](const HttpResponseHead &) { return true; };
    handlers.onHead = [outcome](const HttpResponseHead &head) { outcome->status = head.status; };
    handlers.onBody = [outcome](std::string_view chunk) { outcome->body += chunk; };
    handlers.onComplete = [outcome](ResponseEnd) { outcome->done = true; };
    handlers.onFailure = [outcome](const ExchangeFailure &failure) {
        outcome->failure = failure;
        outcome->done = true;
    };
    return handlers;
}

} // namespace fireflyroute::net

#endif
