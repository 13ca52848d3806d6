// Commands of the control state. Every durable change of the fleet is one of these commands; it is
// replicated in the log and applied by ControlState in log order on every control VM.
//
// Each command has an id that its sender chose, and a resent command changes nothing: a
// ConfigCommand that is resent with the same id gets its recorded reply, and ledger operations and
// claim commands are idempotent by their contents.

#ifndef FIREFLYROUTE_CORE_CONFIG_CONTROL_COMMAND_H
#define FIREFLYROUTE_CORE_CONFIG_CONTROL_COMMAND_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"
#include "core/config/fleet_config.h"
#include "core/ledger/claim_command.h"
#include "core/ledger/ledger_types.h"

#include <variant>
#include <vector>

namespace fireflyroute::core {

// Replaces defaults, models, accounts and services. Exceptions, version states and roll-outs are
// changed by their own commands and are copied from the current configuration.
struct SetFleet
{
    FleetConfig config;

    bool operator==(const SetFleet &) const = default;
};

struct AddException
{
    ConfigException exception;

    bool operator==(const AddException &) const = default;
};

struct RemoveException
{
    ExceptionId id;
    std::string reason;

    bool operator==(const RemoveException &) const = default;
};

struct StartRollout
{
    ModelName model;
    VersionName to;
    std::vector<std::uint32_t> stagesPermille;
    std::string reason;
    std::vector<RolloutGate> gates; // one per stage; missing gates take the default

    bool operator==(const StartRollout &) const = default;
};

// An operation on the roll-out of a model. Finish makes the new version the stable version; Cancel
// ends the roll-out and keeps the old version stable.
enum class RolloutStep { Advance, Hold, Resume, Finish, Cancel };

template<>
struct EnumNames<RolloutStep>
{
    static constexpr std::array table{
            EnumName{RolloutStep::Advance, "advance"}, EnumName{RolloutStep::Hold, "hold"},
            EnumName{RolloutStep::Resume, "resume"},   EnumName{RolloutStep::Finish, "finish"},
            EnumName{RolloutStep::Cancel, "cancel"},
    };
};

struct StepRollout
{
    ModelName model;
    RolloutStep step = RolloutStep::Advance;
    std::string reason;

    bool operator==(const StepRollout &) const = default;
};

// Permanently withdraws a version from service.
struct WithdrawVersion
{
    ModelVersion target;
    std::string reason;

    bool operator==(const WithdrawVersion &) const = default;
};

// Stops new sessions on a version until an operator resumes it.
struct HoldVersion
{
    ModelVersion target;
    bool hold = true;
    std::string reason;

    bool operator==(const HoldVersion &) const = default;
};

using ConfigChange = std::variant<SetFleet, AddException, RemoveException, StartRollout,
                                  StepRollout, WithdrawVersion, HoldVersion>;

// A configuration change by an operator, or by the system itself under a reserved author name.
struct ConfigCommand
{
    CommandId id;
    OperatorName author;
    WallTime at;
    Revision expected{0}; // revision that the change is based on
    ConfigChange change;

    bool operator==(const ConfigCommand &) const = default;
};

// A batch of ledger operations from one entry. Each operation succeeds or fails on its own.
struct LedgerCommand
{
    CommandId id;
    std::vector<LedgerOperation> operations;

    bool operator==(const LedgerCommand &) const = default;
};

using ControlCommand = std::variant<ConfigCommand, LedgerCommand, ClaimCommand>;

// Reply to a ConfigCommand: the accepted revision, or the reason why nothing changed. A conflict
// contains the current revision and names the author of the change that was accepted.
struct ConfigReply
{
    bool accepted = false;
    Revision revision{0};
    CoreError error = CoreError::InvalidArgument; // valid only if not accepted
    std::string detail;

    bool operator==(const ConfigReply &) const = default;
};

struct LedgerReply
{
    std::vector<LedgerOutcome> outcomes; // one per operation, in order

    bool operator==(const LedgerReply &) const = default;
};

using ControlReply = std::variant<ConfigReply, LedgerReply, ClaimReply>;

} // namespace fireflyroute::core

#endif
