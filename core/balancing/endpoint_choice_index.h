// Index of the endpoints of a directory view by target and by distance from this entry. Built once
// per view, so that decisions only read it.
//
//   EndpointIndex index(view, localDataCentre, distanceByName);
//   const EndpointGroup *group = index.find(target);      // null if no endpoint serves it

#ifndef FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_INDEX_H
#define FIREFLYROUTE_CORE_BALANCING_ENDPOINT_CHOICE_INDEX_H

#include "core/common/enum_names.h"
#include "core/common/types.h"
#include "core/endpoints/directory.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace fireflyroute::core {

// Distance class of two data centres. Traffic to another region is billed by volume.
enum class Distance { SameDataCentre, SameRegion, OtherRegion };

template<>
struct EnumNames<Distance>
{
    static constexpr std::array table{
            EnumName{Distance::SameDataCentre, "same_data_centre"},
            EnumName{Distance::SameRegion, "same_region"},
            EnumName{Distance::OtherRegion, "other_region"},
    };
};

constexpr std::size_t kDistanceCount = EnumNames<Distance>::table.size();

// Distance of data centres that are named "region/name". A name without a slash is a separate
// region.
[[nodiscard]] Distance distanceByName(const DataCentreId &left, const DataCentreId &right);

// Target of a request: a model version or a plain service.
using EndpointTarget = std::variant<ModelVersion, ServiceName>;

// Endpoints that serve one target, as positions in the directory view.
struct EndpointGroup
{
    std::vector<std::uint32_t> all;
    std::array<std::vector<std::uint32_t>, kDistanceCount> byDistance;
};

class EndpointIndex
{
public:
    template<std::regular_invocable<const DataCentreId &, const DataCentreId &> DistanceOf>
    EndpointIndex(std::shared_ptr<const DirectoryView> view, const DataCentreId &localDataCentre,
                  DistanceOf distanceOf)
        : view_(std::move(view))
    {
        for (const EndpointState &state : view_->endpoints)
            distances_.push_back(distanceOf(localDataCentre, state.lastAnnouncement.dataCentre));
        build();
    }

    [[nodiscard]] const EndpointGroup *find(const EndpointTarget &target) const;

    // Position of the endpoint if it serves the target.
    [[nodiscard]] std::optional<std::uint32_t> position(const EndpointId &endpoint,
                                                        const EndpointTarget &target) const;

    [[nodiscard]] const EndpointState &state(std::uint32_t position) const
    {
        return view_->endpoints[position];
    }

    [[nodiscard]] Distance distance(std::uint32_t position) const { return distances_[position]; }

private:
    void build();
    [[nodiscard]] EndpointGroup groupOf(const std::vector<std::uint32_t> &positions) const;

    std::shared_ptr<const DirectoryView> view_;
    std::vector<Distance> distances_; // by position in the view
    std::unordered_map<EndpointId, std::uint32_t> positions_;
    std::unordered_map<ModelVersion, EndpointGroup> versions_;
    std::unordered_map<ServiceName, EndpointGroup> services_;
};

} // namespace fireflyroute::core

#endif
