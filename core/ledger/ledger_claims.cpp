// Ledger operations and outcomes of the claim lifecycle.

#include "core/ledger/ledger_claims.h"

namespace fireflyroute::core {

namespace {

ClaimValue runningValue(const ClaimStart &start)
{
    ClaimValue value;
    value.state = ClaimState::Running;
    value.fingerprint = start.fingerprint;
    value.attempt = start.attempt;
    value.claimant = start.claimant.vm;
    value.claimantIncarnation = start.claimant.incarnation;
    value.claimedAt = start.at.wall;
    return value;
}

ResendOutcome outcomeOfExisting(const ClaimValue &current, const ClaimStart &start)
{
    if (current.fingerprint != start.fingerprint)
        return ResendOutcome::BodyMismatch;
    switch (current.state) {
    case ClaimState::Running:
        return current == runningValue(start) ? ResendOutcome::Run : ResendOutcome::StillRunning;
    case ClaimState::Done:
        return current.answerStatus == 0 ? ResendOutcome::AnswerDropped
                                         : ResendOutcome::ReplayAnswer;
    case ClaimState::Unknown:
        return ResendOutcome::Unknown;
    case ClaimState::Released:
        break; // another claim of the same call replaced this claim first
    }
    return ResendOutcome::StillRunning;
}

} // namespace

LedgerOperation claimOperation(const ClaimStart &start)
{
    return LedgerOperation{start.key, runningValue(start), std::nullopt};
}

LedgerOperation finishOperation(const ClaimStart &start, const RecordedAnswer &answer)
{
    ClaimValue done = runningValue(start);
    done.state = ClaimState::Done;
    done.answerStatus = answer.status;
    done.answerType = answer.type;
    done.answerBody = answer.body;
    return LedgerOperation{start.key, done, runningValue(start)};
}

LedgerOperation releaseOperation(const ClaimStart &start)
{
    ClaimValue released = runningValue(start);
    released.state = ClaimState::Released;
    return LedgerOperation{start.key, released, runningValue(start)};
}

ResendOutcome resendOutcome(const LedgerOutcome &outcome, const ClaimStart &start)
{
    if (outcome.status == LedgerStatus::Sealed)
        return ResendOutcome::KeyTooOld;
    const auto *current = outcome.current ? std::get_if<ClaimValue>(&*outcome.current) : nullptr;
    if (!current)
        return ResendOutcome::Unknown;
    return outcomeOfExisting(*current, start);
}

bool isWithinDispatchWindow(const ClaimStart &start, const ClockReading &now)
{
    const Duration monotonic = now.monotonic - start.at.monotonic;
    const Duration wall = now.wall - start.at.wall;
    return monotonic >= Duration::zero() && monotonic < kClaimDispatchWindow
           && wall < kClaimDispatchWindow;
}

bool isClaimTransition(ClaimState from, ClaimState to)
{
    if (from == ClaimState::Running)
        return to != ClaimState::Running;
    return from == ClaimState::Released && to == ClaimState::Running;
}

} // namespace fireflyroute::core
