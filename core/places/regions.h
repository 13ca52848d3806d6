// Regions of data centres, as configured in the settings.

#ifndef FIREFLYROUTE_CORE_PLACES_REGIONS_H
#define FIREFLYROUTE_CORE_PLACES_REGIONS_H

#include "core/common/types.h"

#include <map>
#include <string>

namespace fireflyroute::core {

using Regions = std::map<DataCentreId, std::string>; // by data centre

// Whether two data centres are in the same region. A data centre without a configured region shares
// a region with no other one.
[[nodiscard]] inline bool isSameRegion(const Regions &regions, const DataCentreId &a,
                                       const DataCentreId &b)
{
    const auto regionA = regions.find(a);
    const auto regionB = regions.find(b);
    const bool bothListed = regionA != regions.end() && regionB != regions.end();
    return a == b || (bothListed && regionA->second == regionB->second);
}

} // namespace fireflyroute::core

#endif
