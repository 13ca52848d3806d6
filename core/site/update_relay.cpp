// Batches of entry updates.

#include "core/site/update_relay.h"

#include <utility>

namespace fireflyroute::core {

void UpdateRelay::append(EntryUpdate &batch, const EntryUpdate &update)
{
    batch.sessions.insert(batch.sessions.end(), update.sessions.begin(), update.sessions.end());
    batch.refusingEndpoints.insert(batch.refusingEndpoints.end(), update.refusingEndpoints.begin(),
                                   update.refusingEndpoints.end());
    for (const PromptPrefixUpdate &prompt : update.prompts) {
        if (batch.prompts.size() < kMaxPrompts)
            batch.prompts.push_back(prompt);
        else
            ++droppedPrompts_;
    }
}

void UpdateRelay::addFromEntry(const EntryUpdate &update)
{
    append(batch_.forControlVms, update);
    append(batch_.forEntries, update);
}

void UpdateRelay::addFromControlVm(const EntryUpdate &update)
{
    append(batch_.forEntries, update);
}

UpdateRelay::Batch UpdateRelay::take()
{
    return std::exchange(batch_, {});
}

} // namespace fireflyroute::core
