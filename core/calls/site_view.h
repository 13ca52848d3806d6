// The site as seen by an entry's traffic thread: an immutable view that the control thread replaces
// after each change.

#ifndef FIREFLYROUTE_CORE_CALLS_SITE_VIEW_H
#define FIREFLYROUTE_CORE_CALLS_SITE_VIEW_H

#include "core/config/site_config.h"
#include "core/endpoints/endpoint_registry.h"
#include "core/site/site_state.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fireflyroute::core {

struct SiteView
{
    std::uint64_t revision = 0; // of the state
    std::shared_ptr<const SiteTable> table; // null before the first configuration
    std::map<ServiceName, SiteRollout> rollouts;
    Evacuations evacuations;
    // Registered endpoints by service; removed endpoints are not included.
    std::unordered_map<ServiceName, std::vector<EndpointRecord>> endpoints;
};

} // namespace fireflyroute::core

#endif
