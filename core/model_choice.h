// Which of a route's models answers a request, and whether an answer is kept. Models come smallest
// first; larger ones answer hard requests well, cost more and take longer.
//
//   std::size_t model = chooser.first(route);
//   ... the answer's head says that its model is 35 of 100 confident ...
//   if (!chooser.keeps(route, model, 35))
//       model = chooser.next(route, model);

#ifndef FIREFLYROUTE_CORE_MODEL_CHOICE_H
#define FIREFLYROUTE_CORE_MODEL_CHOICE_H

#include "core/site_config.h"

#include <cstddef>
#include <cstdint>

namespace fireflyroute::core {

struct ModelPolicy
{
    std::uint32_t minConfidence = 70; // below it, a larger model answers instead
};

class ModelChooser
{
public:
    explicit ModelChooser(const ModelPolicy &policy = {})
        : policy_(policy)
    {}

    // The model to begin with, as an index into the route's models.
    [[nodiscard]] std::size_t first(const Route & /*route*/) const { return 0; }

    // The model that answers instead of one that is not confident: the largest, so that no second
    // answer is dropped.
    [[nodiscard]] std::size_t next(const Route &route, std::size_t /*model*/) const
    {
        return route.models.size() - 1;
    }

    // Whether the answer of a model with this confidence is delivered.
    [[nodiscard]] bool keeps(const Route &route, std::size_t model, std::uint32_t confidence) const
    {
        return model + 1 >= route.models.size() || confidence >= policy_.minConfidence;
    }

private:
    ModelPolicy policy_;
};

} // namespace fireflyroute::core

#endif
