// Selects the endpoint for one attempt of a request: of a few drawn candidates, the one with the
// lowest expected cost in time: uncached prompt tokens, load, slowness and distance.
//
//   EndpointPicker picker(localDataCentre, regions);
//   const EndpointRecord *endpoint = picker.pick(candidates, request, monitor, now).endpoint;
//
// core/sessions/prompt_index.h estimates where the shared parts of a prompt are cached. For parts
// that no endpoint has processed yet, a rendezvous hash selects the same endpoint on all entries of
// a region.

#ifndef FIREFLYROUTE_CORE_BALANCING_ENDPOINT_PICK_H
#define FIREFLYROUTE_CORE_BALANCING_ENDPOINT_PICK_H

#include "core/balancing/endpoint_monitor.h"
#include "core/calls/site_calls.h"
#include "core/endpoints/endpoint_registry.h"
#include "core/places/regions.h"
#include "core/sessions/prompt_index.h"

#include <map>
#include <string>
#include <vector>

namespace fireflyroute::core {

// Cost weights in milliseconds of request time. Billed resources are converted to the same scale.
struct PickWeights
{
    double msPerPrefillToken = 0.04; // for an uncached prompt token on the largest model
    // For a shared token that is cached on another endpoint. Processing it again is billed.
    double msPerRepeatedToken = 0.08;
    double otherDataCentreMs = 3;
    double otherRegionMs = 24; // round-trip time
    double msPerRegionByte = 0.008; // traffic between regions is billed
    double msAtFullUtilization = 220; // when all slots of a model engine are busy
    double msPerQueuedShare = 600; // when the number of waiting requests equals the slots
    double msPerSlowdown = 150; // per multiple by which a model engine exceeds the average latency
    // Delay of each request that runs on a model engine, as a fraction of the processing time of
    // the new prompt: processing a prompt delays the tokens of all running requests.
    double interferenceFactor = 0.05;
    double warmupMs = 400; // while the endpoint reports that it is warming up
    // Number of candidates of this region, and of other regions, that are drawn for each request;
    // only they and those with a part of the prompt are compared. What an entry knows of the
    // others' work is older than the time between two requests of the fleet, so if all entries
    // compared all candidates, they would choose the same one until the next reports.
    std::size_t drawnCandidates = 4;
};

// Properties of the request that the cost depends on.
struct PickRequest
{
    const std::vector<PromptPart> *prompt = nullptr; // null for plain services
    const PromptMatch *match = nullptr; // where the prompt is cached; null for plain services
    ModelName model;
    double modelTimeRatio = 1; // processing time of the model as a fraction of the largest model's
    double serviceMs = 60; // typical service time; used for plain services
    double bytes = 0; // approximate size of request and answer
    std::uint64_t draw = 0; // differs between requests; see PickWeights::drawnCandidates
};

// Selected endpoint with the estimates for this attempt.
struct PickResult
{
    const EndpointRecord *endpoint = nullptr;
    double expectedFirstByteMs = 0; // approximate time until the first part of the answer
    std::uint32_t prefillTokens = 0; // uncached prompt tokens, in tokens of the largest model
    double prefillMs = 0; // processing time of the prompt on the endpoint
    double queuedPrefillMs = 0; // processing time of the prompts queued on the endpoint
};

class EndpointPicker
{
public:
    EndpointPicker(DataCentreId localDataCentre, Regions regions, const PickWeights &weights = {})
        : localDataCentre_(std::move(localDataCentre))
        , regions_(std::move(regions))
        , weights_(weights)
    {}

    // `endpoint` is null if there is no candidate.
    [[nodiscard]] PickResult pick(const std::vector<const EndpointRecord *> &candidates,
                                  const PickRequest &request, const EndpointMonitor &monitor,
                                  Instant now) const;

private:
    [[nodiscard]] const EndpointRecord *
    rendezvousChoice(const PromptMatch *match,
                     const std::vector<const EndpointRecord *> &candidates) const;
    [[nodiscard]] double distanceCostMs(const DataCentreId &other, double bytes) const;
    [[nodiscard]] std::vector<const EndpointRecord *>
    drawCandidates(const std::vector<const EndpointRecord *> &candidates,
                   const PickRequest &request) const;
    [[nodiscard]] double cost(const EndpointRecord &endpoint, const PickRequest &request,
                              const EndpointMonitor &monitor, Instant now) const;

    DataCentreId localDataCentre_;
    Regions regions_;
    PickWeights weights_;
};

} // namespace fireflyroute::core

#endif
