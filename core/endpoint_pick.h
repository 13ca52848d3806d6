// Picks the endpoint for one sending of a request: the one with the least expected cost in time,
// over what its prompt cache lacks, how busy and slow it is, and how far away it is.
//
//   EndpointPicker picker(own data centre, regions);
//   const EndpointRecord *endpoint = picker.pick(candidates, ask, monitor, now);
//
// Where a prompt's shared parts are likely cached follows from a rendezvous hash, so that all
// entries agree on it without talking.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_PICK_H
#define FIREFLYROUTE_CORE_ENDPOINT_PICK_H

#include "core/endpoint_monitor.h"
#include "core/endpoint_registry.h"
#include "core/site_calls.h"

#include <map>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Expected costs, in milliseconds of a request's time.
struct PickWeights
{
    double missPerToken = 0.012; // to read a shared part of the prompt that is not cached
    double otherDataCentre = 3;
    double otherRegion = 45; // the round trip, and bytes that are billed
    double perBusyShare = 220; // of a model engine whose slots are all taken
    double perWaiting = 60; // for each request beyond the slots, in shares of a slot's turn
    double warmup = 400; // while the endpoint says that it is still slow
};

// What a request needs of an endpoint.
struct PickAsk
{
    const std::vector<PromptPart> *prompt = nullptr; // null for plain services
    ModelName model;
    double workMs = 60; // usual time of such a request
};

class EndpointPicker
{
public:
    EndpointPicker(DataCentreId own, std::map<DataCentreId, std::string> regions,
                   const PickWeights &weights = {})
        : own_(std::move(own))
        , regions_(std::move(regions))
        , weights_(weights)
    {}

    // Null if there is no candidate.
    [[nodiscard]] const EndpointRecord *
    pick(const std::vector<const EndpointRecord *> &candidates, const PickAsk &ask,
         const EndpointMonitor &monitor, Instant now) const;

private:
    [[nodiscard]] double distance(const DataCentreId &other) const;
    [[nodiscard]] double cost(const EndpointRecord &endpoint, const PickAsk &ask,
                              const EndpointMonitor &monitor, Instant now) const;

    DataCentreId own_;
    std::map<DataCentreId, std::string> regions_; // by data centre
    PickWeights weights_;
};

} // namespace fireflyroute::core

#endif
