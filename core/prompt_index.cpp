// Hashes of prompt parts, and the tokens behind them.

#include "core/prompt_index.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <utility>

namespace fireflyroute::core {

namespace {

PromptMatch sharedParts(const ModelName &model, const std::vector<PromptPart> &prompt)
{
    PromptMatch match;
    std::size_t seed = 0;
    boost::hash_combine(seed, model.value());
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        boost::hash_combine(seed, prompt[i].id);
        tokens += prompt[i].tokens;
        match.prefixes.push_back(seed);
        match.tokens.push_back(tokens);
    }
    return match;
}

} // namespace

double PromptMatch::heldBy(const PrefixHolder &holder) const
{
    const double survival =
            holder.hit * static_cast<double>(prefixes.size()) / static_cast<double>(holder.blocks);
    return tokens[holder.blocks - 1] * survival;
}

double PromptMatch::heldBy(const EndpointId &endpoint) const
{
    for (const PrefixHolder &holder : holders) {
        if (holder.endpoint == endpoint)
            return heldBy(holder);
    }
    return 0;
}

double PromptMatch::heldAnywhere() const
{
    double most = 0;
    for (const PrefixHolder &holder : holders)
        most = std::max(most, heldBy(holder));
    return most;
}

PromptMatch PromptIndex::match(const ModelName &model, const std::vector<PromptPart> &prompt,
                               Instant now) const
{
    PromptMatch match = sharedParts(model, prompt);
    match.holders = cache_.holders(match.prefixes, now);
    return match;
}

void PromptIndex::sent(const EndpointId &endpoint, const ModelName &model,
                       const std::vector<PromptPart> &prompt, Instant now)
{
    PromptMatch match = sharedParts(model, prompt);
    if (!match.prefixes.empty() && cache_.observe(endpoint, match.prefixes, now))
        news_.push_back({endpoint, std::move(match.prefixes)});
}

void PromptIndex::heard(const std::vector<PromptSighting> &news, Instant now)
{
    for (const PromptSighting &sighting : news)
        cache_.observe(sighting.endpoint, sighting.prefixes, now);
}

std::vector<PromptSighting> PromptIndex::takeNews()
{
    return std::exchange(news_, {});
}

} // namespace fireflyroute::core
