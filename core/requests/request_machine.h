// State machine of one request: validation, session pin, claim, attempts on endpoints, bill, and
// release of the answer. It performs no input or output. The front end passes inputs to it and
// carries out the returned actions in order.
//
//   RequestMachine machine(request, policy, vm, incarnation);
//   for (const RequestAction &action : machine.step(RequestStarted{}, context))
//       perform(action);
//
// Attempts are numbered from 1. Inputs of attempts other than the current one are dropped, so that
// delayed chunks of earlier attempts never reach the caller.

#ifndef FIREFLYROUTE_CORE_REQUESTS_REQUEST_MACHINE_H
#define FIREFLYROUTE_CORE_REQUESTS_REQUEST_MACHINE_H

#include "core/ledger/ledger_claims.h"
#include "core/ledger/ledger_types.h"
#include "core/requests/request_messages.h"
#include "core/requests/routing_policy.h"

#include <vector>

namespace fireflyroute::core {

// Limits that apply to every request.
struct RequestLimits
{
    std::uint32_t maxAttempts = 3;

    bool operator==(const RequestLimits &) const = default;
};

template<RoutingPolicy Policy>
class RequestMachine
{
public:
    RequestMachine(CallerRequest request, Policy &policy, VmId self, Incarnation incarnation,
                   RequestLimits limits = {})
        : request_(std::move(request))
        , policy_(policy)
        , self_(std::move(self))
        , incarnation_(incarnation)
        , limits_(limits)
    {}

    // Processes one input and returns the actions for the front end, in order.
    std::vector<RequestAction> step(const RequestInput &input, const RoutingContext &context);

    [[nodiscard]] RequestState state() const { return state_; }
    [[nodiscard]] const CallerRequest &request() const { return request_; }
    [[nodiscard]] const ModelVersion &version() const { return version_; }
    [[nodiscard]] const EndpointChoice &endpoint() const { return endpoint_; }
    [[nodiscard]] std::uint32_t attempts() const { return attempt_; }
    [[nodiscard]] std::uint64_t deliveredTokens() const { return deliveredTokens_; }

private:
    using Actions = std::vector<RequestAction>;

    Actions on(const RequestStarted &input, const RoutingContext &context);
    Actions on(const RequestAdmitted &input, const RoutingContext &context);
    Actions on(const AdmissionRefused &input, const RoutingContext &context);
    Actions on(const LedgerReplied &input, const RoutingContext &context);
    Actions on(const LedgerRequestFailed &input, const RoutingContext &context);
    Actions on(const AnswerChunk &input, const RoutingContext &context);
    Actions on(const ServiceAnswer &input, const RoutingContext &context);
    Actions on(const AttemptFailed &input, const RoutingContext &context);
    Actions on(const CallerDisconnected &input, const RoutingContext &context);
    Actions on(const DeadlineTick &input, const RoutingContext &context);

    Actions onPinReply(const LedgerOutcome &outcome, const RoutingContext &context);
    Actions onClaimReply(const LedgerOutcome &outcome, const RoutingContext &context);
    Actions claimOrDispatch(const RoutingContext &context);
    Actions dispatch(const RoutingContext &context);
    Actions retryOrFail(const AttemptFailed &failure, const RoutingContext &context);
    Actions recordBill(bool complete, const RoutingContext &context);
    Actions recordOutcome(const RoutingContext &context);
    Actions refuse(const CoreFailure &failure);
    Actions finishWithError(const CoreFailure &failure, Executed ran);
    Actions releaseAnswer();

    [[nodiscard]] bool isModelCall() const { return request_.kind != CallKind::Service; }
    [[nodiscard]] bool isRepeatable(const RoutingContext &context) const;
    [[nodiscard]] LedgerKey billKey() const;
    [[nodiscard]] LedgerKey claimKey() const;
    [[nodiscard]] ClaimValue claimValue(ClaimState state) const;
    [[nodiscard]] BillValue makeBill(bool complete, const RoutingContext &context) const;

    CallerRequest request_;
    Policy &policy_;
    VmId self_;
    Incarnation incarnation_;
    RequestLimits limits_;

    RequestState state_ = RequestState::New;
    ModelVersion version_; // set when pinned or planned; the same for all attempts
    bool pinMoved_ = false; // the session's pin referred to a version that is no longer available
    EndpointChoice endpoint_; // of the current attempt
    std::vector<EndpointId> triedEndpoints_; // endpoints of earlier attempts
    std::uint32_t attempt_ = 0; // 0 before the first attempt
    bool anyAttemptSent_ = false; // bytes of some attempt may have reached an endpoint
    bool earlierAttemptSent_ = false; // anyAttemptSent_ before the current attempt
    Instant claimedAtMonotonic_; // monotonic time of claimedAt_
    WallTime claimedAt_; // when the claim was requested
    bool claimed_ = false; // this request holds the claim
    bool callerDisconnected_ = false;
    std::uint64_t deliveredTokens_ = 0; // passed to the front end; never decreases
    std::uint64_t promptTokens_ = 0;
    Instant attemptDeadline_; // for the next byte of the current attempt
    std::optional<ServiceAnswer> answer_; // of a plain service, until released
    // Final error, set when the request can't be answered completely.
    std::optional<FailAnswer> failure_;
};

} // namespace fireflyroute::core

#include "core/requests/request_machine_impl.h"

#endif
