// The life of a claim on a call that may run at most once, as an entry sees it: which ledger
// operations it sends, and what a resend of the call gets.
//
//   ClaimStart start{key, fingerprint, attempt, self, readingBeforeSending};
//   LedgerOutcome outcome = ... commit of claimOperation(start) ...;
//   switch (resendOutcome(outcome, start)) { case ResendOutcome::Run: ... }
//   if (!isWithinDispatchWindow(start, now)) give up and commit releaseOperation(start);
//   ... one dispatch, one attempt ...
//   commit of finishOperation(start, answer);
//
// A claim ends by exactly one of: finished with the recorded answer; released, because no byte left
// for an endpoint; unknown, because the claimant was lost. Unknown stays until an operator resolves
// it. A dispatch has to begin within kClaimDispatchWindow of the claim, which is shorter than the
// silence after which a claimant counts as lost (EntryRegistry::kFailureTimeout): so a claimant
// that was frozen can't run a call that an operator has meanwhile resolved as not run.

#ifndef FIREFLYROUTE_CORE_LEDGER_CLAIMS_H
#define FIREFLYROUTE_CORE_LEDGER_CLAIMS_H

#include "core/config_lease.h"
#include "core/entry_registry.h"
#include "core/ledger_types.h"

#include <array>
#include <string>

namespace fireflyroute::core {

// What becomes of a call with an idempotency key, by what the ledger says.
enum class ResendOutcome {
    Run, // this attempt owns the claim
    ReplayAnswer, // ran before; the recorded answer follows
    AnswerDropped, // ran before; the answer is not kept any more, or an operator says that it ran
    StillRunning, // another attempt runs (409)
    Unknown, // may have run; its claimant was lost
    BodyMismatch, // the key was used for another call (422)
    KeyTooOld, // the key's own time is before the retention; nothing is known about it
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

// One attempt at a claim.
struct ClaimStart
{
    LedgerKey key; // of kind Claim
    std::string fingerprint; // hash of method, path and body
    RequestId attempt; // unique to this attempt
    VmIncarnation claimant;
    ClockReading at; // before the claim was sent

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

// Only when no byte of the call left for an endpoint.
[[nodiscard]] LedgerOperation releaseOperation(const ClaimStart &start);

// `outcome` is that of claimOperation(start), which may have been committed more than once.
[[nodiscard]] ResendOutcome resendOutcome(const LedgerOutcome &outcome, const ClaimStart &start);

// Whether the call may begin now. By both clocks, as a suspended VM's monotonic clock stands still.
[[nodiscard]] bool isWithinDispatchWindow(const ClaimStart &start, const ClockReading &now);

// Whether a ledger operation may take a claim from one state to the other.
[[nodiscard]] bool isClaimTransition(ClaimState from, ClaimState to);

} // namespace fireflyroute::core

#endif
