// Builds and queries the index of endpoints by target and distance.

#include "core/balancing/endpoint_choice_index.h"

#include <algorithm>
#include <string_view>

namespace fireflyroute::core {

namespace {

std::string_view regionOf(const DataCentreId &dataCentre)
{
    const std::string_view name = dataCentre.value();
    return name.substr(0, name.find('/'));
}

template<typename Map, typename Key>
const EndpointGroup *findIn(const Map &groups, const Key &key)
{
    const auto found = groups.find(key);
    return found == groups.end() ? nullptr : &found->second;
}

template<typename Item>
bool contains(const std::vector<Item> &items, const Item &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

} // namespace

Distance distanceByName(const DataCentreId &left, const DataCentreId &right)
{
    if (left == right)
        return Distance::SameDataCentre;
    return regionOf(left) == regionOf(right) ? Distance::SameRegion : Distance::OtherRegion;
}

const EndpointGroup *EndpointIndex::find(const EndpointTarget &target) const
{
    if (const auto *version = std::get_if<ModelVersion>(&target))
        return findIn(versions_, *version);
    return findIn(services_, std::get<ServiceName>(target));
}

std::optional<std::uint32_t> EndpointIndex::position(const EndpointId &endpoint,
                                                     const EndpointTarget &target) const
{
    const auto found = positions_.find(endpoint);
    if (found == positions_.end())
        return std::nullopt;
    const EndpointAnnouncement &served = state(found->second).lastAnnouncement;
    const auto *version = std::get_if<ModelVersion>(&target);
    const bool serves = version ? contains(served.versions, *version)
                                : contains(served.services, std::get<ServiceName>(target));
    return serves ? std::optional(found->second) : std::nullopt;
}

void EndpointIndex::build()
{
    for (std::uint32_t position = 0; position < view_->endpoints.size(); ++position)
        positions_.emplace(view_->endpoints[position].lastAnnouncement.id, position);
    for (const auto &[version, positions] : view_->byVersion)
        versions_.emplace(version, groupOf(positions));
    for (const auto &[service, positions] : view_->byService)
        services_.emplace(service, groupOf(positions));
}

EndpointGroup EndpointIndex::groupOf(const std::vector<std::uint32_t> &positions) const
{
    EndpointGroup group{.all = positions};
    for (const std::uint32_t position : positions)
        group.byDistance[static_cast<std::size_t>(distance(position))].push_back(position);
    return group;
}

} // namespace fireflyroute::core
