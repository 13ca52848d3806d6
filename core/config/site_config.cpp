// Validation of a site's configuration, and lookups in it.

#include "core/config/site_config.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>
#include <utility>

namespace fireflyroute::core {

namespace {

CoreFailure invalid(std::string detail)
{
    return CoreFailure{CoreError::InvalidArgument, std::move(detail)};
}

Result<void> validateRoute(const Route &route, const std::set<ServiceName> &services)
{
    const bool isPrefix = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    if (!isPrefix)
        return invalid(fmt::format("route {}: the prefix needs a slash at both ends", route.name));
    if (route.timeout <= Duration::zero())
        return invalid(fmt::format("route {}: the timeout is 0", route.name));
    std::uint64_t weights = 0;
    for (const WeightedService &weighted : route.services) {
        weights += weighted.weight;
        if (!services.contains(weighted.service))
            return invalid(fmt::format("route {}: unknown service {}", route.name,
                                       weighted.service.value()));
    }
    if (weights == 0)
        return invalid(fmt::format("route {}: the weights add up to 0", route.name));
    return outcome::success();
}

Result<void> validateKeys(const std::vector<Account> &accounts)
{
    std::map<std::string, ClientAccountId> keyOwners;
    for (const Account &account : accounts) {
        for (const std::string &key : account.keys) {
            const auto [owner, isNew] = keyOwners.emplace(key, account.id);
            if (!isNew && owner->second != account.id)
                return invalid(fmt::format("accounts {} and {} share a key", owner->second.value(),
                                           account.id.value()));
        }
    }
    return outcome::success();
}

} // namespace

Result<void> validate(const SiteConfig &config)
{
    std::set<ServiceName> services;
    for (const Service &service : config.services)
        services.insert(service.name);
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &route : config.routes) {
        BOOST_OUTCOME_TRYV(validateRoute(route, services));
        if (!hostsAndPrefixes.emplace(route.host, route.prefix).second)
            return invalid(fmt::format("route {}: another has its host and prefix", route.name));
    }
    return config.accounts ? validateKeys(*config.accounts) : outcome::success();
}

SiteTable::SiteTable(std::shared_ptr<const SiteConfig> config)
    : config_(std::move(config))
{
    for (const Route &route : config_->routes)
        routes_[route.host].push_back(&route);
    for (auto &[host, routes] : routes_) {
        std::sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->prefix.size() > right->prefix.size();
        });
    }
    if (config_->accounts) {
        for (const Account &account : *config_->accounts) {
            for (const std::string &key : account.keys) {
                // A request without a key has an empty one.
                if (!key.empty())
                    accounts_.emplace(key, &account);
            }
        }
    }
    for (const Service &service : config_->services)
        services_.emplace(service.name, &service);
}

const Route *SiteTable::match(std::string_view host, std::string_view path) const
{
    const auto routes = routes_.find(host);
    if (routes == routes_.end())
        return nullptr;
    const auto found =
            std::find_if(routes->second.begin(), routes->second.end(),
                         [&](const Route *route) { return path.starts_with(route->prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

const Account *SiteTable::accountOf(const std::string &key) const
{
    const auto found = accounts_.find(key);
    return found == accounts_.end() ? nullptr : found->second;
}

const Service *SiteTable::service(const ServiceName &name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

} // namespace fireflyroute::core
