// Picks the endpoint for one sending of a request: the one with the least expected cost in time,
// over what its prompt cache lacks, how busy and slow it is, and how far away it is.
//
//   EndpointPicker picker(own data centre, regions);
//   const EndpointRecord *endpoint = picker.pick(candidates, ask, monitor, now);
//
// Where a prompt's shared parts are cached is known from core/prompt_index.h. Of parts that nobody
// has read yet, a rendezvous hash tells the endpoint on which the entries of a region meet.

#ifndef FIREFLYROUTE_CORE_ENDPOINT_PICK_H
#define FIREFLYROUTE_CORE_ENDPOINT_PICK_H

#include "core/endpoint_monitor.h"
#include "core/endpoint_registry.h"
#include "core/prompt_index.h"
#include "core/regions.h"
#include "core/site_calls.h"

#include <map>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Expected costs, in milliseconds of a request's time; what is billed stands beside it at the same
// scale.
struct PickWeights
{
    double perUnreadToken = 0.04; // of a prompt, on the largest model
    double perRereadToken = 0.08; // of a shared part that another endpoint holds: billed
    double otherDataCentre = 3;
    double otherRegion = 24; // the round trip
    double perRegionByte = 0.008; // bytes between regions are billed
    double perBusyShare = 220; // of a model engine whose slots are all taken
    double perWaiting = 600; // for as many requests beyond the slots as there are slots
    double perSlowness = 150; // for each time that a model engine is slower than the others
    // For each request that runs at a model engine, in parts of the time that the prompt takes
    // there: a prompt that is read delays the tokens of all of them.
    double perDelayed = 0.05;
    double warmup = 400; // while the endpoint says that it is still slow
};

// What a request needs of an endpoint.
struct PickAsk
{
    const std::vector<PromptPart> *prompt = nullptr; // null for plain services
    const PromptMatch *match = nullptr; // where it is cached; null for plain services
    ModelName model;
    double modelWeight = 1; // time that the model takes, in parts of the largest one's
    double workMs = 60; // usual time of such a request
    double bytes = 0; // of the request and its answer, roughly
};

// The choice, and what follows from it.
struct Pick
{
    const EndpointRecord *endpoint = nullptr;
    double expectedMs = 0; // until the first part of the answer, roughly
    std::uint32_t unreadTokens = 0; // of the prompt, in tokens of the largest model
    double workMs = 0; // time that the prompt takes of the endpoint
    double backlogMs = 0; // prompts that wait there already
};

class EndpointPicker
{
public:
    EndpointPicker(DataCentreId own, Regions regions, const PickWeights &weights = {})
        : own_(std::move(own))
        , regions_(std::move(regions))
        , weights_(weights)
    {}

    // Without an endpoint if there is no candidate.
    [[nodiscard]] Pick pick(const std::vector<const EndpointRecord *> &candidates,
                            const PickAsk &ask, const EndpointMonitor &monitor, Instant now) const;

private:
    [[nodiscard]] const EndpointRecord *
    firstChoice(const PromptMatch *match,
                const std::vector<const EndpointRecord *> &candidates) const;
    [[nodiscard]] double distance(const DataCentreId &other, double bytes) const;
    [[nodiscard]] double cost(const EndpointRecord &endpoint, const PickAsk &ask,
                              const EndpointMonitor &monitor, Instant now) const;

    DataCentreId own_;
    Regions regions_;
    PickWeights weights_;
};

} // namespace fireflyroute::core

#endif
