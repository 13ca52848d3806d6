// Regions of data centres, as settings name them.

#ifndef FIREFLYROUTE_CORE_REGIONS_H
#define FIREFLYROUTE_CORE_REGIONS_H

#include "core/types.h"

#include <map>
#include <string>

namespace fireflyroute::core {

using Regions = std::map<DataCentreId, std::string>; // by data centre

// Whether traffic between two data centres stays in one region. One that is not listed is in no
// other's region.
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
