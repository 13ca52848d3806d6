// The lifecycle of a claim on a call that may be executed at most once, from the point of view of
// an entry: the ledger operations that it sends, and the response to a resent call.
//
//   ClaimStart start{key, fingerprint, attempt, self, readingBeforeSending};
//   LedgerOutcome outcome = ... commit of claimOperation(start) ...;
//   switch (resendOutcome(outcome, start)) { case ResendOutcome::Run: ... }
//   if (!isWithinDispatchWindow(start, now)) stop and commit releaseOperation(start);
//   ... one dispatch, one attempt ...
//   commit of finishOperation(start, answer);
//
// A claim ends in exactly one of three ways: finished, with the recorded answer; released, because
// no byte of the call was sent to an endpoint; or unknown, because the claimant was lost. An
// unknown claim stays unknown until an operator resolves it. A dispatch must start within
// kClaimDispatchWindow of the claim. This window is shorter than the heartbeat timeout after which
// a claimant counts as lost (EntryRegistry::kFailureTimeout), so a claimant that was frozen cannot
// execute a call that an operator has since resolved as not run.

#ifndef FIREFLYROUTE_CORE_LEDGER_LEDGER_CLAIMS_H
#define FIREFLYROUTE_CORE_LEDGER_LEDGER_CLAIMS_H

#include "core/leases/config_lease.h"
#include "core/leases/entry_registry.h"
#include "core/ledger/ledger_types.h"

#include <array>
#include <string>

namespace fireflyroute::core {

// How a call with an idempotency key is handled, depending on its claim in the ledger.
enum class ResendOutcome {
    Run, // this attempt holds the claim
    ReplayAnswer, // executed before; the recorded answer is returned
    AnswerDropped, // executed before; the answer was dropped, or an operator resolved it as run
    StillRunning, // another attempt is running (409)
    Unknown, // may have been executed; the claimant was lost
    BodyMismatch, // the key was used for another call (422)
    KeyTooOld, // the time in the key is before the retention period
};

template<>
struct EnumNames<ResendOutcome>
{
    static constexpr std::array table{
            EnumName{ResendOutcome::Run, "run"},
            EnumName{ResendOutcome::ReplayAnswer, "replay_answer"},
            EnumName{ResendOutcome::AnswerDropped, "answer_dropped"},
            EnumName{ResendOutcome::StillRunning, "still_running"},
            EnumName{ResendOutcome::Unknown, "unknown"},
            EnumName{ResendOutcome::BodyMismatch, "body_mismatch"},
            EnumName{ResendOutcome::KeyTooOld, "key_too_old"},
    };
};

constexpr std::chrono::milliseconds kClaimDispatchWindow{5000};
static_assert(kClaimDispatchWindow < EntryRegistry::kFailureTimeout);

// One attempt to claim a call.
struct ClaimStart
{
    LedgerKey key; // of kind Claim
    std::string fingerprint; // hash of method, path and body
    RequestId attempt; // unique to this attempt
    VmIncarnation claimant;
    ClockReading at; // time before the claim was sent

    bool operator==(const ClaimStart &) const = default;
};

struct RecordedAnswer
{
    int status = 0; // HTTP status
    std::string type;
    std::string body;

    bool operator==(const RecordedAnswer &) const = default;
};

[[nodiscard]] LedgerOperation claimOperation(const ClaimStart &start);
[[nodiscard]] LedgerOperation finishOperation(const ClaimStart &start,
                                              const RecordedAnswer &answer);

// Use only if no byte of the call was sent to an endpoint.
[[nodiscard]] LedgerOperation releaseOperation(const ClaimStart &start);

// `outcome` is the outcome of claimOperation(start), which may have been committed more than once.
[[nodiscard]] ResendOutcome resendOutcome(const LedgerOutcome &outcome, const ClaimStart &start);

// Returns whether the call may still be dispatched. Both clocks are checked, because the monotonic
// clock of a suspended VM stands still.
[[nodiscard]] bool isWithinDispatchWindow(const ClaimStart &start, const ClockReading &now);

// Returns whether a ledger operation may change a claim from one state to the other.
[[nodiscard]] bool isClaimTransition(ClaimState from, ClaimState to);

} // namespace fireflyroute::core

#endif
