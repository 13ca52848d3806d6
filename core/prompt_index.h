// Which endpoints have probably cached the shared parts of prompts, from what this entry sent them
// and what the other entries say that they sent.
//
//   PromptIndex index;
//   PromptMatch match = index.match(model, prompt, now);
//   match.heldBy(endpoint)                          // tokens that it need not read again
//   index.sent(endpoint, model, prompt, now);
//   send(index.takeNews());                         // to the other entries
//   index.heard(news, now);                         // from them

#ifndef FIREFLYROUTE_CORE_PROMPT_INDEX_H
#define FIREFLYROUTE_CORE_PROMPT_INDEX_H

#include "core/prefix_cache.h"
#include "core/site_calls.h"
#include "core/site_messages.h"

#include <cstdint>
#include <vector>

namespace fireflyroute::core {

// What is known of one prompt on one model.
struct PromptMatch
{
    std::vector<std::uint64_t> prefixes; // hashes of its shared parts, shortest first
    std::vector<double> tokens; // of each prefix
    std::vector<PrefixHolder> holders;

    // Tokens of the shared parts.
    [[nodiscard]] double shared() const { return tokens.empty() ? 0 : tokens.back(); }

    // Tokens that the endpoint is expected to hold.
    [[nodiscard]] double heldBy(const EndpointId &endpoint) const;

    // The most that any endpoint is expected to hold.
    [[nodiscard]] double heldAnywhere() const;

private:
    [[nodiscard]] double heldBy(const PrefixHolder &holder) const;
};

class PromptIndex
{
public:
    PromptIndex()
        : cache_(kPrefixCapacity)
    {}

    // The last part of a prompt is the request's own and left out.
    [[nodiscard]] PromptMatch match(const ModelName &model, const std::vector<PromptPart> &prompt,
                                    Instant now) const;

    // The endpoint was given the prompt to read.
    void sent(const EndpointId &endpoint, const ModelName &model,
              const std::vector<PromptPart> &prompt, Instant now);

    void heard(const std::vector<PromptSighting> &news, Instant now);

    // What was seen here since the last call and the other entries may not know.
    [[nodiscard]] std::vector<PromptSighting> takeNews();

private:
    PrefixCache cache_;
    std::vector<PromptSighting> news_;
};

} // namespace fireflyroute::core

#endif
