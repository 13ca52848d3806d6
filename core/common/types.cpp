// Out-of-line definitions of the basic types.

#include "core/common/types.h"

#include <boost/container_hash/hash.hpp>

namespace fireflyroute::core {

std::string toString(const ModelVersion &modelVersion)
{
    return modelVersion.model.value() + "@" + modelVersion.version.value();
}

} // namespace fireflyroute::core

std::size_t std::hash<fireflyroute::core::ModelVersion>::operator()(
        const fireflyroute::core::ModelVersion &id) const noexcept
{
    std::size_t seed = 0;
    boost::hash_combine(seed, id.model.value());
    boost::hash_combine(seed, id.version.value());
    return seed;
}
