// Messages of the record ledger, the one put-if-absent mechanism behind session pins, claims of
// calls that may not be repeated, and bills. The ledger itself is in core/ledger.h.
//
//   put {Pin,  "account/session"} = "model@version"  -> Created, or Exists with the earlier value
//   put {Claim,"account/key"}     = fingerprint      -> Created, or Exists with state and answer
//   put {Bill, "request id"}      = amounts          -> Created, or Exists
//   replace ... if the value is still `expected`     -> Replaced, or Conflict with the present one

#ifndef FIREFLYROUTE_CORE_LEDGER_TYPES_H
#define FIREFLYROUTE_CORE_LEDGER_TYPES_H

#include "core/clock.h"
#include "core/enum_names.h"
#include "core/types.h"

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

// State of a claim. Unknown means that the claimant was lost while the call may have run.
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
    std::string name; // for pins and claims "account/key", for bills the request id

    auto operator<=>(const LedgerKey &) const = default;
};

// The version that a session was given.
struct PinValue
{
    ModelVersion version;

    bool operator==(const PinValue &) const = default;
};

// A call that may run at most once. `attempt` tells one claimant's puts from another's.
struct ClaimValue
{
    ClaimState state = ClaimState::Running;
    std::string fingerprint; // hash of method, path and body
    RequestId attempt;
    VmId claimant;
    Incarnation claimantIncarnation{0};
    int answerStatus = 0; // HTTP status of the recorded answer once done
    std::string answerType;
    std::string answerBody;
    std::string reason; // of the operator who resolved it, if any
    WallTime claimedAt; // by the claimant's calendar clock

    bool operator==(const ClaimValue &) const = default;
};

// What one request is charged for.
struct BillValue
{
    ClientAccountId account;
    ModelVersion version; // empty for plain services
    ServiceName service; // empty for models
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    MicroCost cost = 0;
    bool complete = true; // false when the answer was cut or cancelled

    bool operator==(const BillValue &) const = default;
};

using LedgerValue = std::variant<PinValue, ClaimValue, BillValue>;

// Puts a value if the key is absent or, with `expected`, replaces it if it still is the present
// value.
struct LedgerOperation
{
    LedgerKey key;
    LedgerValue value;
    std::optional<LedgerValue> expected;

    bool operator==(const LedgerOperation &) const = default;
};

// Sealed: the key says that it is older than the retention, so nothing is known about it.
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

// What became of one operation; `present` is the value stored after it.
struct LedgerOutcome
{
    LedgerStatus status = LedgerStatus::Created;
    std::optional<LedgerValue> current;

    bool operator==(const LedgerOutcome &) const = default;
};

} // namespace fireflyroute::core

#endif
