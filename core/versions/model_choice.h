// Selects the model of a route that answers a request, and decides whether an answer is accepted or
// a larger model answers instead. Models are ordered from smallest to largest. Larger models answer
// difficult requests better, cost more and take longer.
//
//   std::size_t model = chooser.initialModel(route);
//   ... the head of the answer reports a confidence of 35 of 100 ...
//   if (!chooser.acceptsAnswer(route, model, 35, {400ms, 3s, 20s}))
//       model = chooser.nextModel(route, model, 35);

#ifndef FIREFLYROUTE_CORE_VERSIONS_MODEL_CHOICE_H
#define FIREFLYROUTE_CORE_VERSIONS_MODEL_CHOICE_H

#include "core/config/site_config.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace fireflyroute::core {

struct ModelPolicy
{
    // Below this confidence a larger model answers instead, provided that it can answer in time.
    double minConfidence = 58;
    // If the smallest model's answer is rejected with at least this confidence, the next larger
    // model is tried. It costs less than the largest one, and its answer is often accepted.
    double nextModelConfidence = 40;
    // The confidence bound decreases once the larger model's answer is expected to take more than
    // this fraction of the route's latency objective. It is 0 when the answer is expected to miss
    // the objective.
    double relaxedLatencyFraction = 0.6;
    // A larger model answers only if its complete answer is expected within this fraction of the
    // time until the deadline.
    double maxDeadlineFraction = 0.75;
    // Under load the confidence bound decreases for requests that delay others more. It is 0 once
    // the processing time of the prompt, multiplied by the processing time of the prompts queued
    // on the selected endpoint, reaches this value in square milliseconds.
    double maxInterferenceMs2 = 130'000;
};

// Expected times of another model's answer, counted from the request's arrival.
struct ExpectedAnswer
{
    Duration firstByte{}; // first part of the answer
    Duration complete{};
    Duration deadline{};
    double prefillMs = 0; // processing time of the prompt on the endpoint
    double queuedPrefillMs = 0; // processing time of prompts queued on the selected endpoint
};

// Cost of a model as a fraction of the most expensive model of the service; 1 if unknown.
[[nodiscard]] inline double relativeCost(const Service &service, const ModelName &model)
{
    double highestCost = 0;
    double modelCost = 0;
    for (const ModelCost &cost : service.models) {
        highestCost = std::max(highestCost, cost.perThousandTokens);
        modelCost = cost.model == model ? cost.perThousandTokens : modelCost;
    }
    return modelCost > 0 ? modelCost / highestCost : 1;
}

class ModelChooser
{
public:
    explicit ModelChooser(const ModelPolicy &policy = {})
        : policy_(policy)
    {}

    // The first model to try, as an index into the route's models.
    [[nodiscard]] std::size_t initialModel(const Route & /*route*/) const { return 0; }

    // The model that is tried after an answer with too low confidence.
    [[nodiscard]] std::size_t nextModel(const Route &route, std::size_t model,
                                        std::uint32_t confidence) const
    {
        const std::size_t largest = route.models.size() - 1;
        const bool useNextLarger = model == 0 && confidence >= policy_.nextModelConfidence;
        return useNextLarger ? std::min(largest, model + 1) : largest;
    }

    // Whether an answer with this confidence is delivered instead of requesting the alternative.
    [[nodiscard]] bool acceptsAnswer(const Route &route, std::size_t model,
                                     std::uint32_t confidence,
                                     const ExpectedAnswer &alternative) const
    {
        const bool exceedsDeadlineFraction =
                static_cast<double>(alternative.complete.count())
                > policy_.maxDeadlineFraction * static_cast<double>(alternative.deadline.count());
        if (model + 1 >= route.models.size() || exceedsDeadlineFraction)
            return true;
        const double latencyFraction =
                static_cast<double>(alternative.firstByte.count())
                / static_cast<double>(std::max<Duration::rep>(route.latencyObjective.count(), 1));
        const double confidenceScale =
                std::clamp((1 - latencyFraction) / (1 - policy_.relaxedLatencyFraction), 0.0, 1.0);
        const double interference =
                alternative.prefillMs * alternative.queuedPrefillMs / policy_.maxInterferenceMs2;
        return confidence
               >= policy_.minConfidence * confidenceScale * std::max(0.0, 1 - interference);
    }

private:
    ModelPolicy policy_;
};

} // namespace fireflyroute::core

#endif
