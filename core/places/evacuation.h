// Decides whether an evacuation keeps requests from an endpoint.
//
//   if (mayServe(view.evacuations, endpoint)) candidates.push_back(&endpoint);

#ifndef FIREFLYROUTE_CORE_PLACES_EVACUATION_H
#define FIREFLYROUTE_CORE_PLACES_EVACUATION_H

#include "core/endpoints/endpoint_registry.h"
#include "core/site/site_state.h"

#include <algorithm>
#include <vector>

namespace fireflyroute::core {

// Whether requests may be sent to the endpoint: its data centre is not evacuated.
[[nodiscard]] inline bool mayServe(const Evacuations &evacuations, const EndpointRecord &endpoint)
{
    return !evacuations.contains(endpoint.dataCentre);
}

// Whether evacuations keep requests from all of the endpoints. False if there are none.
[[nodiscard]] inline bool isEvacuated(const Evacuations &evacuations,
                                      const std::vector<EndpointRecord> &endpoints)
{
    return !endpoints.empty()
           && std::none_of(endpoints.begin(), endpoints.end(), [&](const EndpointRecord &endpoint) {
                  return mayServe(evacuations, endpoint);
              });
}

} // namespace fireflyroute::core

#endif
