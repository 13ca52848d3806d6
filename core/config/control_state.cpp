// Dispatches replicated commands to the configuration and the ledger.

#include "core/config/control_state.h"

namespace fireflyroute::core {

ControlReply ControlState::apply(const ControlCommand &command)
{
    return std::visit([this](const auto &typed) { return applyTyped(typed); }, command);
}

ControlReply ControlState::applyTyped(const ConfigCommand &command)
{
    return config_.apply(command);
}

// Ledger operations are idempotent by their keys, so their replies are not recorded.
ControlReply ControlState::applyTyped(const LedgerCommand &command)
{
    LedgerReply reply;
    for (const LedgerOperation &operation : command.operations)
        reply.outcomes.push_back(ledger_.apply(operation));
    return reply;
}

// Claim commands are idempotent by their contents, so their replies are not recorded.
ControlReply ControlState::applyTyped(const ClaimCommand &command)
{
    return ledger_.apply(command);
}

} // namespace fireflyroute::core
