// Which of a route's models answers a request, and whether an answer is kept. Models come smallest
// first; larger ones answer hard requests well, cost more and take longer.
//
//   std::size_t model = chooser.first(route);
//   ... the answer's head says that its model is 35 of 100 confident ...
//   if (!chooser.keeps(route, model, 35, {400ms, 3s, 20s}))
//       model = chooser.next(route, model);

#ifndef FIREFLYROUTE_CORE_MODEL_CHOICE_H
#define FIREFLYROUTE_CORE_MODEL_CHOICE_H

#include "core/site_config.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace fireflyroute::core {

struct ModelPolicy
{
    // Below this confidence a larger model answers instead, if it can in good time.
    double minConfidence = 58;
    // An answer that is doubted but not below this confidence is tried by the next larger model:
    // it is cheaper than the largest and often good enough.
    double nearConfidence = 40;
    // The bound falls once the larger model's answer is expected to take more than this part of the
    // route's objective, and is 0 when it is expected to miss it.
    double easyPart = 0.6;
    // A larger model answers only if its whole answer is expected within this part of the time.
    double longestPart = 0.75;
    // Under load the bound falls for work that holds up more: it is 0 once the time that the prompt
    // takes, times the time that prompts wait there already, reaches this many square milliseconds.
    double heldUpMs2 = 130'000;
};

// When the answer of another model is expected, counted from the request's arrival.
struct ExpectedAnswer
{
    Duration first{}; // its first part
    Duration whole{};
    Duration deadline{};
    double workMs = 0; // time that its prompt takes of an endpoint
    double backlogMs = 0; // time that prompts wait already where it would be sent
};

// What a model costs, in parts of the service's dearest one; 1 if it is not known.
[[nodiscard]] inline double relativeCost(const Service &service, const ModelName &model)
{
    double dearest = 0;
    double own = 0;
    for (const ModelCost &cost : service.models) {
        dearest = std::max(dearest, cost.perThousandTokens);
        own = cost.model == model ? cost.perThousandTokens : own;
    }
    return own > 0 ? own / dearest : 1;
}

class ModelChooser
{
public:
    explicit ModelChooser(const ModelPolicy &policy = {})
        : policy_(policy)
    {}

    // The model to begin with, as an index into the route's models.
    [[nodiscard]] std::size_t first(const Route & /*route*/) const { return 0; }

    // The model that answers instead of one that is not confident.
    [[nodiscard]] std::size_t next(const Route &route, std::size_t model,
                                   std::uint32_t confidence) const
    {
        const std::size_t largest = route.models.size() - 1;
        const bool isNear = model == 0 && confidence >= policy_.nearConfidence;
        return isNear ? std::min(largest, model + 1) : largest;
    }

    // Whether the answer of a model with this confidence is delivered, rather than another one's.
    [[nodiscard]] bool keeps(const Route &route, std::size_t model, std::uint32_t confidence,
                             const ExpectedAnswer &other) const
    {
        const bool isTooLong = static_cast<double>(other.whole.count())
                               > policy_.longestPart * static_cast<double>(other.deadline.count());
        if (model + 1 >= route.models.size() || isTooLong)
            return true;
        const double part =
                static_cast<double>(other.first.count())
                / static_cast<double>(std::max<Duration::rep>(route.latencyObjective.count(), 1));
        const double ease = std::clamp((1 - part) / (1 - policy_.easyPart), 0.0, 1.0);
        const double heldUp = other.workMs * other.backlogMs / policy_.heldUpMs2;
        return confidence >= policy_.minConfidence * ease * std::max(0.0, 1 - heldUp);
    }

private:
    ModelPolicy policy_;
};

} // namespace fireflyroute::core

#endif
