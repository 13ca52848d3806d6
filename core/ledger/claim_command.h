// Commands that change claims, in addition to the ledger operations that entries send: an operator
// resolves a claim whose outcome is unknown, the leader sets the running claims of a lost
// claimant to Unknown, and the leader drops old finished claims. All of them go through the
// replicated log and are idempotent: applying the same command again changes nothing.

#ifndef FIREFLYROUTE_CORE_LEDGER_CLAIM_COMMAND_H
#define FIREFLYROUTE_CORE_LEDGER_CLAIM_COMMAND_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <array>
#include <string>
#include <variant>

namespace fireflyroute::core {

// Result of an operator's check whether a call with a lost claimant was executed.
enum class ClaimResolution { DidRun, DidNotRun };

template<>
struct EnumNames<ClaimResolution>
{
    static constexpr std::array table{
            EnumName{ClaimResolution::DidRun, "did_run"},
            EnumName{ClaimResolution::DidNotRun, "did_not_run"},
    };
};

// Resolves a claim whose state is Unknown. After DidRun a resend of the call gets a response
// without the answer body; after DidNotRun a resend of the same call is executed.
struct ResolveClaim
{
    std::string claim; // "account/key"
    ClaimResolution resolution = ClaimResolution::DidRun;
    std::string reason;

    bool operator==(const ResolveClaim &) const = default;
};

// Sets every running claim of a lost claimant to Unknown.
struct AbandonClaims
{
    VmId claimant;
    Incarnation incarnation{0};

    bool operator==(const AbandonClaims &) const = default;
};

// Drops the records of finished claims from before a point in time; see
// Ledger::applyChange(const SealClaims &).
struct SealClaims
{
    WallTime before;

    bool operator==(const SealClaims &) const = default;
};

using ClaimChange = std::variant<ResolveClaim, AbandonClaims, SealClaims>;

struct ClaimCommand
{
    CommandId id;
    OperatorName author;
    WallTime at;
    ClaimChange change;

    bool operator==(const ClaimCommand &) const = default;
};

// Reply to a ClaimCommand. A resent command leaves the ledger unchanged.
struct ClaimReply
{
    bool accepted = false;
    std::uint64_t changed = 0; // number of claims that changed
    CoreError error = CoreError::InvalidArgument; // valid only if not accepted
    std::string detail;

    bool operator==(const ClaimReply &) const = default;
};

} // namespace fireflyroute::core

#endif
