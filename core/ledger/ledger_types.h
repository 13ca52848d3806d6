// Types of the record ledger, the put-if-absent store for session pins, claims of calls that may be
// executed only once, and bills. The ledger itself is in core/ledger/ledger.h.
//
//   put {Pin,  "account/session"} = "model@version"  -> Created, or Exists with the earlier value
//   put {Claim,"account/key"}     = fingerprint      -> Created, or Exists with state and answer
//   put {Bill, "request id"}      = amounts          -> Created, or Exists
//   replace ... if the value equals `expected`       -> Replaced, or Conflict with the current one

#ifndef FIREFLYROUTE_CORE_LEDGER_LEDGER_TYPES_H
#define FIREFLYROUTE_CORE_LEDGER_LEDGER_TYPES_H

#include "core/common/clock.h"
#include "core/common/enum_names.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fireflyroute::core {

enum class LedgerKind { Pin, Claim, Bill };

template<>
struct EnumNames<LedgerKind>
{
    static constexpr std::array table{
            EnumName{LedgerKind::Pin, "pin"},
            EnumName{LedgerKind::Claim, "claim"},
            EnumName{LedgerKind::Bill, "bill"},
    };
};

// State of a claim. Unknown: the claimant was lost while the call may have been running.
enum class ClaimState { Running, Done, Unknown, Released };

template<>
struct EnumNames<ClaimState>
{
    static constexpr std::array table{
            EnumName{ClaimState::Running, "running"},
            EnumName{ClaimState::Done, "done"},
            EnumName{ClaimState::Unknown, "unknown"},
            EnumName{ClaimState::Released, "released"},
    };
};

struct LedgerKey
{
    LedgerKind kind = LedgerKind::Pin;
    std::string name; // "account/key" for pins and claims, the request id for bills

    auto operator<=>(const LedgerKey &) const = default;
};

// The version that a session is pinned to.
struct PinValue
{
    ModelVersion version;

    bool operator==(const PinValue &) const = default;
};

// A call that may be executed at most once. `attempt` distinguishes the puts of one claimant from
// those of others.
struct ClaimValue
{
    ClaimState state = ClaimState::Running;
    std::string fingerprint; // hash of method, path and body
    RequestId attempt;
    VmId claimant;
    Incarnation claimantIncarnation{0};
    int answerStatus = 0; // HTTP status of the recorded answer, once the state is Done
    std::string answerType;
    std::string answerBody;
    std::string reason; // reason given by the operator who resolved the claim, if any
    WallTime claimedAt; // by the claimant's wall clock

    bool operator==(const ClaimValue &) const = default;
};

// The charge for one request.
struct BillValue
{
    ClientAccountId account;
    ModelVersion version; // empty for plain services
    ServiceName service; // empty for models
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    MicroCost cost = 0;
    bool complete = true; // false if the answer was truncated or cancelled

    bool operator==(const BillValue &) const = default;
};

using LedgerValue = std::variant<PinValue, ClaimValue, BillValue>;

// Creates a value if the key is absent. With `expected`, replaces the value if it still equals
// `expected`.
struct LedgerOperation
{
    LedgerKey key;
    LedgerValue value;
    std::optional<LedgerValue> expected;

    bool operator==(const LedgerOperation &) const = default;
};

// Sealed: the time in the key is before the retention period, so its record may have been dropped.
enum class LedgerStatus { Created, Exists, Replaced, Conflict, Sealed };

template<>
struct EnumNames<LedgerStatus>
{
    static constexpr std::array table{
            EnumName{LedgerStatus::Created, "created"},
            EnumName{LedgerStatus::Exists, "exists"},
            EnumName{LedgerStatus::Replaced, "replaced"},
            EnumName{LedgerStatus::Conflict, "conflict"},
            EnumName{LedgerStatus::Sealed, "sealed"},
    };
};

// Result of one operation; `current` is the value that is stored after it.
struct LedgerOutcome
{
    LedgerStatus status = LedgerStatus::Created;
    std::optional<LedgerValue> current;

    bool operator==(const LedgerOutcome &) const = default;
};

} // namespace fireflyroute::core

#endif
