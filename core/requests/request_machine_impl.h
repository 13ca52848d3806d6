// Member functions of RequestMachine.

#ifndef FIREFLYROUTE_CORE_REQUESTS_REQUEST_MACHINE_IMPL_H
#define FIREFLYROUTE_CORE_REQUESTS_REQUEST_MACHINE_IMPL_H

#include "core/requests/request_machine.h"

#include <algorithm>
#include <utility>

namespace fireflyroute::core {

template<RoutingPolicy Policy>
std::vector<RequestAction> RequestMachine<Policy>::step(const RequestInput &input,
                                                        const RoutingContext &context)
{
    if (state_ == RequestState::Ended)
        return {};
    return std::visit([&](const auto &message) { return on(message, context); }, input);
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const RequestStarted &, const RoutingContext &context) -> Actions
{
    if (!context.leaseValid)
        return refuse({CoreError::LeaseExpired, "the configuration lease has run out"});
    if (isModelCall()) {
        const auto plan = policy_.planVersions(context, request_, std::nullopt);
        if (!plan)
            return refuse(plan.error());
        version_ = plan.value().front();
    } else {
        const Result<void> callable = checkServiceCallable(context, request_);
        if (!callable)
            return refuse(callable.error());
        if (!isRepeatable(context) && request_.idempotencyKey.empty())
            return refuse({CoreError::InvalidArgument, "Idempotency-Key: required for this call"});
        if (!context.directory.byService.contains(request_.service))
            return refuse(
                    {CoreError::NoEndpoint, "no endpoint serves " + request_.service.value()});
    }
    state_ = RequestState::Queued;
    return {JoinQueue{}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const AdmissionRefused &input, const RoutingContext &) -> Actions
{
    state_ = RequestState::Ended;
    return {FailAnswer{input.failure, Executed::No, input.retryAfter}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const RequestAdmitted &, const RoutingContext &context) -> Actions
{
    if (state_ != RequestState::Queued)
        return {};
    if (!isModelCall())
        return claimOrDispatch(context);
    const auto plan = policy_.planVersions(context, request_, std::nullopt);
    if (!plan)
        return refuse(plan.error());
    version_ = plan.value().front();
    if (!request_.session)
        return dispatch(context);
    state_ = RequestState::Pinning;
    const LedgerKey key{LedgerKind::Pin,
                        request_.account.value() + "/" + request_.session->value()};
    return {PutRecord{{key, PinValue{version_}, std::nullopt}}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const LedgerReplied &input, const RoutingContext &context)
        -> Actions
{
    switch (state_) {
    case RequestState::Pinning:
        return onPinReply(input.outcome, context);
    case RequestState::Claiming:
        return onClaimReply(input.outcome, context);
    case RequestState::Billing:
        return recordOutcome(context);
    case RequestState::Recording:
        return releaseAnswer();
    default:
        return {};
    }
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const LedgerRequestFailed &input, const RoutingContext &) -> Actions
{
    const CoreFailure failure{CoreError::NotLeader, "the ledger gave no answer: " + input.detail};
    if (state_ == RequestState::Pinning || state_ == RequestState::Claiming)
        return refuse(failure);
    return finishWithError(failure, Executed::Yes);
}

// A session keeps the version of its pin. The pin moves only if the session may no longer use that
// version.
template<RoutingPolicy Policy>
auto RequestMachine<Policy>::onPinReply(const LedgerOutcome &outcome, const RoutingContext &context)
        -> Actions
{
    if (outcome.status == LedgerStatus::Created || outcome.status == LedgerStatus::Replaced)
        return claimOrDispatch(context);
    if (!outcome.current)
        return refuse({CoreError::NotFound, "the session's pin is gone"});
    const ModelVersion pinned = std::get<PinValue>(*outcome.current).version;
    const bool isOtherModel = !request_.model.empty() && pinned.model != request_.model;
    if (checkDispatchable(context, request_, pinned) && !isOtherModel) {
        version_ = pinned;
        return claimOrDispatch(context);
    }
    pinMoved_ = true;
    const LedgerKey key{LedgerKind::Pin,
                        request_.account.value() + "/" + request_.session->value()};
    return {PutRecord{{key, PinValue{version_}, outcome.current}}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::claimOrDispatch(const RoutingContext &context) -> Actions
{
    if (isRepeatable(context))
        return dispatch(context);
    state_ = RequestState::Claiming;
    claimedAt_ = context.wallNow;
    claimedAtMonotonic_ = context.now;
    return {PutRecord{{claimKey(), claimValue(ClaimState::Running), std::nullopt}}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::onClaimReply(const LedgerOutcome &outcome,
                                          const RoutingContext &context) -> Actions
{
    const ClaimValue *existingClaim =
            outcome.current ? std::get_if<ClaimValue>(&*outcome.current) : nullptr;
    if (!existingClaim)
        return refuse({CoreError::NotFound, "the claim is gone"});
    const bool isFromThisAttempt = existingClaim->attempt == request_.id
                                   && existingClaim->claimant == self_
                                   && existingClaim->claimantIncarnation == incarnation_;
    if (isFromThisAttempt) {
        claimed_ = true;
        return dispatch(context);
    }
    if (existingClaim->fingerprint != request_.fingerprint)
        return refuse({CoreError::KeyReused, "Idempotency-Key: used with another body"});
    if (existingClaim->state == ClaimState::Released) {
        return {PutRecord{{claimKey(), claimValue(ClaimState::Running), outcome.current}}};
    }
    if (existingClaim->state == ClaimState::Running)
        return finishWithError({CoreError::AlreadyExists, "the call is still running"},
                               Executed::Yes);
    if (existingClaim->state == ClaimState::Unknown)
        return finishWithError({CoreError::OutcomeUnknown, "whether the call ran is not known"},
                               Executed::Unknown);
    state_ = RequestState::Ended;
    FinishAnswer replay;
    replay.service = ServiceAnswer{0, existingClaim->answerStatus, existingClaim->answerType,
                                   existingClaim->answerBody};
    replay.replayed = true;
    return {LeaveQueue{}, replay};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::dispatch(const RoutingContext &context) -> Actions
{
    const Result<void> allowed = isModelCall() ? checkDispatchable(context, request_, version_)
                                               : checkServiceCallable(context, request_);
    if (!allowed)
        return refuse(allowed.error());
    const ClaimStart claim{.at = ClockReading{claimedAtMonotonic_, claimedAt_}};
    if (claimed_ && !isWithinDispatchWindow(claim, ClockReading{context.now, context.wallNow}))
        return refuse({CoreError::DeadlineExceeded, "the claim took too long to be recorded"});
    const auto choice = policy_.chooseEndpoint(context, request_, version_, triedEndpoints_);
    if (!choice)
        return refuse(choice.error());
    state_ = RequestState::Running;
    endpoint_ = choice.value();
    ++attempt_;
    earlierAttemptSent_ = anyAttemptSent_;
    anyAttemptSent_ = true;
    attemptDeadline_ = context.now + context.config.defaults.firstByteTimeout;
    const bool freshConnection = claimed_ || attempt_ > 1;
    return {StartAttempt{attempt_, endpoint_, version_, deliveredTokens_, freshConnection}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const AnswerChunk &input, const RoutingContext &context) -> Actions
{
    if (state_ != RequestState::Running || input.attempt != attempt_)
        return {};
    attemptDeadline_ = context.now + context.config.defaults.interTokenTimeout;
    promptTokens_ = std::max(promptTokens_, input.promptTokens);
    Actions actions;
    if (input.endOffset > deliveredTokens_) {
        deliveredTokens_ = input.endOffset;
        actions.push_back(RelayChunk{input.text, input.finishReason});
    } else if (input.last) {
        actions.push_back(RelayChunk{"", input.finishReason});
    }
    if (!input.last)
        return actions;
    Actions billActions = recordBill(true, context);
    actions.insert(actions.end(), billActions.begin(), billActions.end());
    return actions;
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const ServiceAnswer &input, const RoutingContext &context)
        -> Actions
{
    if (state_ != RequestState::Running || input.attempt != attempt_)
        return {};
    answer_ = input;
    return recordBill(true, context);
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const AttemptFailed &input, const RoutingContext &context)
        -> Actions
{
    if (state_ != RequestState::Running || input.attempt != attempt_)
        return {};
    return retryOrFail(input, context);
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::retryOrFail(const AttemptFailed &failure,
                                         const RoutingContext &context) -> Actions
{
    triedEndpoints_.push_back(endpoint_.id);
    const bool notSent = failure.error == AttemptError::NotSent;
    if (notSent)
        anyAttemptSent_ = earlierAttemptSent_;
    const bool retryAllowed = notSent || isRepeatable(context);
    const CoreFailure cause{CoreError::NoEndpoint, "endpoint failed: " + failure.detail};
    if (retryAllowed && attempt_ < limits_.maxAttempts) {
        const auto choice = policy_.chooseEndpoint(context, request_, version_, triedEndpoints_);
        if (choice)
            return dispatch(context);
    }
    if (deliveredTokens_ > 0) {
        failure_ = FailAnswer{cause, Executed::Yes, std::chrono::milliseconds(0)};
        return recordBill(false, context);
    }
    if (!anyAttemptSent_)
        return refuse(cause);
    return finishWithError(cause, isRepeatable(context) ? Executed::Yes : Executed::Unknown);
}

// The bill must be durable before the end of the answer is released.
template<RoutingPolicy Policy>
auto RequestMachine<Policy>::recordBill(bool complete, const RoutingContext &context) -> Actions
{
    state_ = RequestState::Billing;
    return {LeaveQueue{}, PutRecord{{billKey(), makeBill(complete, context), std::nullopt}}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::recordOutcome(const RoutingContext &) -> Actions
{
    if (!claimed_)
        return releaseAnswer();
    state_ = RequestState::Recording;
    return {PutRecord{{claimKey(), claimValue(ClaimState::Done), claimValue(ClaimState::Running)}}};
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::releaseAnswer() -> Actions
{
    state_ = RequestState::Ended;
    if (callerDisconnected_)
        return {};
    if (failure_)
        return {*failure_};
    return {FinishAnswer{promptTokens_, deliveredTokens_, answer_, false}};
}

// The caller disconnected. A non-repeatable call still runs to completion, so that its outcome is
// recorded. Other requests are cancelled and billed for the tokens that were delivered.
template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const CallerDisconnected &, const RoutingContext &context)
        -> Actions
{
    callerDisconnected_ = true;
    if (claimed_ || state_ == RequestState::Billing || state_ == RequestState::Recording)
        return {};
    if (state_ != RequestState::Running || !isModelCall()) {
        state_ = RequestState::Ended;
        return {LeaveQueue{}};
    }
    Actions actions{CancelAttempt{attempt_}};
    if (deliveredTokens_ == 0) {
        state_ = RequestState::Ended;
        actions.push_back(LeaveQueue{});
        return actions;
    }
    Actions billActions = recordBill(false, context);
    actions.insert(actions.end(), billActions.begin(), billActions.end());
    return actions;
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::on(const DeadlineTick &, const RoutingContext &context) -> Actions
{
    if (state_ != RequestState::Running || context.now < attemptDeadline_)
        return {};
    Actions actions{CancelAttempt{attempt_}};
    const AttemptFailed failure{attempt_, AttemptError::Unresponsive,
                                "no byte within the deadline"};
    Actions next = retryOrFail(failure, context);
    actions.insert(actions.end(), next.begin(), next.end());
    return actions;
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::refuse(const CoreFailure &failure) -> Actions
{
    return finishWithError(failure, anyAttemptSent_ ? Executed::Unknown : Executed::No);
}

template<RoutingPolicy Policy>
auto RequestMachine<Policy>::finishWithError(const CoreFailure &failure, Executed ran) -> Actions
{
    const bool hasQueueSlot = state_ != RequestState::New;
    failure_ = FailAnswer{failure, ran, std::chrono::milliseconds(0)};
    Actions actions;
    if (hasQueueSlot)
        actions.push_back(LeaveQueue{});
    const bool mayHoldClaim = state_ == RequestState::Claiming || state_ == RequestState::Running;
    if (claimed_ && mayHoldClaim) {
        const ClaimState outcome = ran == Executed::No ? ClaimState::Released : ClaimState::Unknown;
        state_ = RequestState::Recording;
        actions.push_back(
                PutRecord{{claimKey(), claimValue(outcome), claimValue(ClaimState::Running)}});
        return actions;
    }
    state_ = RequestState::Ended;
    if (!callerDisconnected_)
        actions.push_back(*failure_);
    return actions;
}

template<RoutingPolicy Policy>
bool RequestMachine<Policy>::isRepeatable(const RoutingContext &context) const
{
    if (isModelCall())
        return true;
    const ServiceSpec *service = findService(context.config, request_.service);
    return service && !isNonRepeatable(*service, request_.method, request_.path);
}

template<RoutingPolicy Policy>
LedgerKey RequestMachine<Policy>::billKey() const
{
    if (request_.idempotencyKey.empty())
        return {LedgerKind::Bill, request_.id.value()};
    return {LedgerKind::Bill, request_.account.value() + "/" + request_.idempotencyKey};
}

template<RoutingPolicy Policy>
LedgerKey RequestMachine<Policy>::claimKey() const
{
    return {LedgerKind::Claim, request_.account.value() + "/" + request_.idempotencyKey};
}

template<RoutingPolicy Policy>
ClaimValue RequestMachine<Policy>::claimValue(ClaimState state) const
{
    ClaimValue value;
    value.state = state;
    value.fingerprint = request_.fingerprint;
    value.attempt = request_.id;
    value.claimant = self_;
    value.claimantIncarnation = incarnation_;
    value.claimedAt = claimedAt_;
    if (state == ClaimState::Done && answer_) {
        value.answerStatus = answer_->status;
        value.answerType = answer_->contentType;
        value.answerBody = answer_->body;
    }
    return value;
}

template<RoutingPolicy Policy>
BillValue RequestMachine<Policy>::makeBill(bool complete, const RoutingContext &context) const
{
    constexpr MicroCost kTokensPerKiloToken = 1000;
    BillValue value;
    value.account = request_.account;
    value.version = version_;
    value.service = request_.service;
    value.promptTokens = promptTokens_;
    value.outputTokens = deliveredTokens_;
    value.complete = complete;
    const VersionSpec *version = findVersion(context.config, version_);
    if (version) {
        const auto inputCost =
                static_cast<MicroCost>(promptTokens_) * version->inputCostPerKiloToken;
        const auto outputCost =
                static_cast<MicroCost>(deliveredTokens_) * version->outputCostPerKiloToken;
        value.cost = (inputCost + outputCost) / kTokensPerKiloToken;
    }
    return value;
}

} // namespace fireflyroute::core

#endif
