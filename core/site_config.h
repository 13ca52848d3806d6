// The configuration of a site: routes, services, client accounts and limits of one deployment, as
// an operator replaces it whole, and the look-up tables that entries use for each request.
//
//   Result<void> valid = validate(config);
//   SiteTable table(std::make_shared<const SiteConfig>(std::move(config)));
//   const Route *route = table.match("desk.example", "/refunds/17");
//   const Account *account = table.accountOf(key);

#ifndef FIREFLYROUTE_CORE_SITE_CONFIG_H
#define FIREFLYROUTE_CORE_SITE_CONFIG_H

#include "core/clock.h"
#include "core/errors.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

// What may be repeated. Safe: the whole call. Unsafe: nothing. Stream: a stream of events; only a
// resumable one may be repeated.
enum class RouteKind { Safe, Unsafe, Stream };

template<>
struct EnumNames<RouteKind>
{
    static constexpr std::array table{
            EnumName{RouteKind::Safe, "safe"},
            EnumName{RouteKind::Unsafe, "unsafe"},
            EnumName{RouteKind::Stream, "stream"},
    };
};

struct WeightedService
{
    ServiceName service;
    std::uint32_t weight = 0;

    bool operator==(const WeightedService &) const = default;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix; // begins and ends with a slash
    RouteKind kind = RouteKind::Unsafe;
    bool resumable = false;
    bool isPublic = false; // needs no key
    bool sharesPrompts = false; // requests name the parts of their prompts
    Duration timeout{}; // longest time that a request may be kept
    Duration latencyObjective{}; // to the whole answer, or to the first event
    Duration gapObjective{}; // longest pause between events; 0 means none
    std::uint32_t rank = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // endpoints that one request may be sent to
    std::vector<ModelName> models; // the entry chooses one; smallest first
    std::vector<WeightedService> services; // never empty

    bool operator==(const Route &) const = default;

    [[nodiscard]] bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable);
    }
};

struct ModelCost
{
    ModelName model;
    double perThousandTokens = 0;

    bool operator==(const ModelCost &) const = default;
};

struct Service
{
    ServiceName name;
    std::uint32_t maxConnections = 0; // that one endpoint accepts; 0 means no limit
    std::uint64_t cacheTokens = 0; // memory of an endpoint, in tokens; 0 for a plain service
    std::uint32_t eventTokens = 1; // in one event of a stream
    std::vector<ModelCost> models;

    bool operator==(const Service &) const = default;
};

struct Account
{
    ClientAccountId id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank; // instead of the route's

    bool operator==(const Account &) const = default;
};

// What a caller may send, and how long it may take.
struct CallerLimits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint32_t bodyBytes = 4U << 20U;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);

    bool operator==(const CallerLimits &) const = default;
};

struct SiteConfig
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Account> accounts; // empty: no key is needed
    CallerLimits limits;

    bool operator==(const SiteConfig &) const = default;
};

// Whether the configuration may come into force; the failure names the first thing that is wrong.
[[nodiscard]] Result<void> validate(const SiteConfig &config);

// Look-ups by host and path, by key, and by service. Immutable, shared between threads.
class SiteTable
{
public:
    explicit SiteTable(std::shared_ptr<const SiteConfig> config);

    [[nodiscard]] const SiteConfig &config() const { return *config_; }

    // The route of that host with the longest prefix that begins the path; null for none.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;

    // The account that holds the key; null for none.
    [[nodiscard]] const Account *accountOf(const std::string &key) const;

    [[nodiscard]] const Service *service(const ServiceName &name) const;

    [[nodiscard]] bool needsKeys() const { return !config_->accounts.empty(); }

private:
    std::shared_ptr<const SiteConfig> config_; // the pointers below point into it
    std::map<std::string, std::vector<const Route *>, std::less<>> routes_; // longest prefix first
    std::unordered_map<std::string, const Account *> accounts_; // by key
    std::unordered_map<ServiceName, const Service *> services_;
};

} // namespace fireflyroute::core

#endif
