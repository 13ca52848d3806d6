// Hashes of prompt parts and their token counts.

#include "core/sessions/prompt_index.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <utility>

namespace fireflyroute::core {

namespace {

PromptMatch hashSharedParts(const ModelName &model, const std::vector<PromptPart> &prompt)
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

double PromptMatch::cachedTokens(const PrefixHolder &holder) const
{
    const double survival = holder.hitFraction * static_cast<double>(prefixes.size())
                            / static_cast<double>(holder.blocks);
    return tokens[holder.blocks - 1] * survival;
}

double PromptMatch::cachedTokens(const EndpointId &endpoint) const
{
    for (const PrefixHolder &holder : holders) {
        if (holder.endpoint == endpoint)
            return cachedTokens(holder);
    }
    return 0;
}

double PromptMatch::maxCachedTokens() const
{
    double most = 0;
    for (const PrefixHolder &holder : holders)
        most = std::max(most, cachedTokens(holder));
    return most;
}

PromptMatch PromptIndex::match(const ModelName &model, const std::vector<PromptPart> &prompt,
                               Instant now) const
{
    PromptMatch match = hashSharedParts(model, prompt);
    match.holders = cache_.holders(match.prefixes, now);
    return match;
}

void PromptIndex::recordSent(const EndpointId &endpoint, const ModelName &model,
                             const std::vector<PromptPart> &prompt, Instant now)
{
    PromptMatch match = hashSharedParts(model, prompt);
    if (!match.prefixes.empty() && cache_.observe(endpoint, match.prefixes, now))
        updates_.push_back({endpoint, std::move(match.prefixes)});
}

void PromptIndex::applyUpdates(const std::vector<PromptPrefixUpdate> &updates, Instant now)
{
    for (const PromptPrefixUpdate &update : updates)
        cache_.observe(update.endpoint, update.prefixes, now);
}

std::vector<PromptPrefixUpdate> PromptIndex::takeUpdates()
{
    return std::exchange(updates_, {});
}

} // namespace fireflyroute::core
