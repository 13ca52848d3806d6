// Restriction of requests to regions.

#include "core/places/region_policy.h"

#include <algorithm>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace fireflyroute::core {

RegionPolicy::RegionPolicy(const Regions &regions, std::initializer_list<const RegionNames *> lists)
    : regions_(&regions)
{
    for (const RegionNames *list : lists) {
        if (list && !list->empty())
            lists_.push_back(*list);
    }
}

bool RegionPolicy::admits(const DataCentreId &dataCentre) const
{
    if (lists_.empty())
        return true;
    const auto region = regions_->find(dataCentre);
    return region != regions_->end()
           && std::all_of(lists_.begin(), lists_.end(), [&](const RegionNames &list) {
                  return std::find(list.begin(), list.end(), region->second) != list.end();
              });
}

std::string RegionPolicy::describe() const
{
    std::string text;
    for (const RegionNames &list : lists_)
        text += fmt::format("{}{}", text.empty() ? "" : " and ", fmt::join(list, ","));
    return text;
}

} // namespace fireflyroute::core
