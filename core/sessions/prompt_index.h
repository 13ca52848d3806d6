// Estimates which endpoints have cached the shared parts of prompts, from the requests that this
// entry dispatched and from updates of other entries.
//
//   PromptIndex index;
//   PromptMatch match = index.match(model, prompt, now);
//   match.cachedTokens(endpoint)                    // tokens that are expected in its cache
//   index.recordSent(endpoint, model, prompt, now);
//   send(index.takeUpdates());                      // to the other entries
//   index.applyUpdates(updates, now);               // from the other entries

#ifndef FIREFLYROUTE_CORE_SESSIONS_PROMPT_INDEX_H
#define FIREFLYROUTE_CORE_SESSIONS_PROMPT_INDEX_H

#include "core/calls/site_calls.h"
#include "core/sessions/prefix_cache.h"
#include "core/site/site_messages.h"

#include <cstdint>
#include <vector>

namespace fireflyroute::core {

// Cache estimate of one prompt on one model.
struct PromptMatch
{
    std::vector<std::uint64_t> prefixes; // hashes of the prompt's shared parts, shortest first
    std::vector<double> tokens; // token count of each prefix
    std::vector<PrefixHolder> holders;

    // Number of tokens of the shared parts.
    [[nodiscard]] double sharedTokens() const { return tokens.empty() ? 0 : tokens.back(); }

    // Number of tokens that the endpoint is expected to have cached.
    [[nodiscard]] double cachedTokens(const EndpointId &endpoint) const;

    // Largest number of tokens that any endpoint is expected to have cached.
    [[nodiscard]] double maxCachedTokens() const;

private:
    [[nodiscard]] double cachedTokens(const PrefixHolder &holder) const;
};

class PromptIndex
{
public:
    PromptIndex()
        : cache_(kPrefixCapacity)
    {}

    // Looks up the shared parts of a prompt. The last part is specific to the request and is
    // ignored.
    [[nodiscard]] PromptMatch match(const ModelName &model, const std::vector<PromptPart> &prompt,
                                    Instant now) const;

    // Records that the prompt was sent to the endpoint for processing.
    void recordSent(const EndpointId &endpoint, const ModelName &model,
                    const std::vector<PromptPart> &prompt, Instant now);

    void applyUpdates(const std::vector<PromptPrefixUpdate> &updates, Instant now);

    // Returns and clears the updates for other entries since the last call.
    [[nodiscard]] std::vector<PromptPrefixUpdate> takeUpdates();

private:
    PrefixCache cache_;
    std::vector<PromptPrefixUpdate> updates_;
};

} // namespace fireflyroute::core

#endif
