// The complete replicated state of one group: configuration and ledger behind one apply().
//
//   ControlReply reply = state.apply(command);

#ifndef FIREFLYROUTE_CORE_CONFIG_CONTROL_STATE_H
#define FIREFLYROUTE_CORE_CONFIG_CONTROL_STATE_H

#include "core/config/config_state.h"
#include "core/ledger/ledger.h"

namespace fireflyroute::core {

// Contents of a snapshot.
struct ControlStateData
{
    ConfigStateData config;
    std::vector<LedgerRecord> ledger;
    LedgerMeta ledgerMeta;

    bool operator==(const ControlStateData &) const = default;
};

class ControlState
{
public:
    ControlState() = default;
    explicit ControlState(const ControlStateData &data)
        : config_(data.config)
        , ledger_(data.ledger, data.ledgerMeta)
    {}

    ControlReply apply(const ControlCommand &command);

    [[nodiscard]] const ConfigState &config() const { return config_; }
    [[nodiscard]] const Ledger &ledger() const { return ledger_; }
    [[nodiscard]] ControlStateData data() const
    {
        return {config_.data(), ledger_.data(), ledger_.meta()};
    }

private:
    ControlReply applyTyped(const ConfigCommand &command);
    ControlReply applyTyped(const LedgerCommand &command);
    ControlReply applyTyped(const ClaimCommand &command);

    ConfigState config_;
    Ledger ledger_;
};

} // namespace fireflyroute::core

#endif
