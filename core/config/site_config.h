// The configuration of a site: routes, services, client accounts and limits of one deployment. An
// operator replaces it as a unit. Entries use the lookup tables for each request.
//
//   Result<void> valid = validate(config);
//   SiteTable table(std::make_shared<const SiteConfig>(std::move(config)));
//   const Route *route = table.match("desk.example", "/refunds/17");
//   const Account *account = table.accountOf(key);

#ifndef FIREFLYROUTE_CORE_CONFIG_SITE_CONFIG_H
#define FIREFLYROUTE_CORE_CONFIG_SITE_CONFIG_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"
#include "core/places/region_policy.h"

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

// Which requests may be repeated. Safe: any request. Unsafe: none. Stream: an event stream, which
// may be repeated only if it is resumable.
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
    bool isPublic = false; // requires no key
    bool sharesPrompts = false; // requests list the parts of their prompts
    Duration timeout{}; // maximum duration of a request
    Duration latencyObjective{}; // until the complete response, or until the first event
    Duration gapObjective{}; // maximum time between events; 0 means none
    std::uint32_t rank = 0; // 0 is the most urgent
    std::uint32_t maxAttempts = 1; // number of endpoints that a request may be sent to
    std::vector<ModelName> models; // the entry chooses one; in ascending order of size
    std::vector<WeightedService> services; // never empty
    RegionNames allowedRegions; // that may serve its requests; empty: all

    bool operator==(const Route &) const = default;

    // Whether a request is a stream. Nothing else decides it: routes to services without models
    // have streams, and routes to services with models have calls.
    [[nodiscard]] bool isStream() const { return kind == RouteKind::Stream; }

    [[nodiscard]] bool isIdempotent() const
    {
        return kind == RouteKind::Safe || (isStream() && resumable);
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
    std::uint32_t maxConnections = 0; // accepted by one endpoint; 0 means no limit
    std::uint64_t cacheTokens = 0; // cache size of an endpoint, in tokens; 0 for a plain service
    std::uint32_t eventTokens = 1; // tokens in one event of a stream
    std::vector<ModelCost> models;
    Duration coldStart{}; // how long an endpoint is cold after its start
    double coldPerSecond = 0; // requests that a cold endpoint tolerates; 0 means no limit

    bool operator==(const Service &) const = default;
};

struct Account
{
    ClientAccountId id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> rank; // overrides the rank of the route
    RegionNames allowedRegions; // that may serve its requests; empty: all

    bool operator==(const Account &) const = default;
};

// Size and time limits for callers.
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
    // Absent: no key is required. Empty: a key is required and none is valid.
    std::optional<std::vector<Account>> accounts;
    CallerLimits limits;

    bool operator==(const SiteConfig &) const = default;
};

// Whether the configuration may come into force; the failure describes the first error.
[[nodiscard]] Result<void> validate(const SiteConfig &config);

// Lookup by host and path, by key, and by service. Immutable and shared between threads.
class SiteTable
{
public:
    explicit SiteTable(std::shared_ptr<const SiteConfig> config);

    [[nodiscard]] const SiteConfig &config() const { return *config_; }

    // The route of the host with the longest matching path prefix; null for none.
    [[nodiscard]] const Route *match(std::string_view host, std::string_view path) const;

    // The account with the given key; null for none. An empty key is nobody's.
    [[nodiscard]] const Account *accountOf(const std::string &key) const;

    [[nodiscard]] const Service *service(const ServiceName &name) const;

    [[nodiscard]] bool needsKeys() const { return config_->accounts.has_value(); }

private:
    std::shared_ptr<const SiteConfig> config_; // owns the objects that the pointers below refer to
    std::map<std::string, std::vector<const Route *>, std::less<>> routes_; // longest prefix first
    std::unordered_map<std::string, const Account *> accounts_; // by key
    std::unordered_map<ServiceName, const Service *> services_;
};

} // namespace fireflyroute::core

#endif
