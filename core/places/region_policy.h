// Decides which data centres may serve a request whose route or account is restricted to regions.
//
//   RegionPolicy policy(regions, {&route.allowedRegions, &account.allowedRegions});
//   if (policy.admits(endpoint.dataCentre)) ...
//
// This is the only place that makes the decision: every step that sends the body of a request asks
// it for the data centre of the receiver. A request without restrictions is admitted everywhere. A
// data centre without a configured region, or in a region that a list doesn't name, never serves a
// restricted request.

#ifndef FIREFLYROUTE_CORE_PLACES_REGION_POLICY_H
#define FIREFLYROUTE_CORE_PLACES_REGION_POLICY_H

#include "core/places/regions.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace fireflyroute::core {

using RegionNames = std::vector<std::string>;

class RegionPolicy
{
public:
    RegionPolicy() = default; // admits every data centre

    // All lists apply. Null or empty ones don't restrict the request. `regions` must outlive the
    // policy; the lists need not.
    RegionPolicy(const Regions &regions, std::initializer_list<const RegionNames *> lists);

    [[nodiscard]] bool isRestricted() const { return !lists_.empty(); }
    [[nodiscard]] bool admits(const DataCentreId &dataCentre) const;

    // The lists for logs, such as "eu,us and eu".
    [[nodiscard]] std::string describe() const;

private:
    const Regions *regions_ = nullptr; // null only without lists
    std::vector<RegionNames> lists_; // none is empty
};

} // namespace fireflyroute::core

#endif
