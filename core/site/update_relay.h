// Collects the updates of entries at a control VM and forwards them in batches, so that an update
// crosses each link once: from its entry to that entry's home control VM, from there to the other
// control VMs, and from every control VM to the entries at home there.
//
//   UpdateRelay relay;
//   relay.addFromEntry(update);
//   relay.addFromControlVm(update);
//   const UpdateRelay::Batch batch = relay.take();        // at short intervals
//   send(batch.forControlVms); send(batch.forEntries);
//
// Updates of a control VM are not forwarded to other control VMs, so none circulates. The order of
// the updates of each sender is kept. An entry receives its own updates as well.

#ifndef FIREFLYROUTE_CORE_SITE_UPDATE_RELAY_H
#define FIREFLYROUTE_CORE_SITE_UPDATE_RELAY_H

#include "core/site/site_messages.h"

namespace fireflyroute::core {

class UpdateRelay
{
public:
    // Limit of the prompts of a batch. Those beyond are dropped, since they only are hints.
    static constexpr std::size_t kMaxPrompts = 4000;

    struct Batch
    {
        EntryUpdate forControlVms;
        EntryUpdate forEntries;
    };

    void addFromEntry(const EntryUpdate &update);
    void addFromControlVm(const EntryUpdate &update);

    // Returns and clears the updates since the last call.
    [[nodiscard]] Batch take();

    [[nodiscard]] std::uint64_t droppedPrompts() const { return droppedPrompts_; }

private:
    void append(EntryUpdate &batch, const EntryUpdate &update);

    Batch batch_;
    std::uint64_t droppedPrompts_ = 0;
};

} // namespace fireflyroute::core

#endif
