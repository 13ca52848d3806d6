// Inputs and actions of RequestMachine.

#ifndef FIREFLYROUTE_CORE_REQUESTS_REQUEST_MESSAGES_H
#define FIREFLYROUTE_CORE_REQUESTS_REQUEST_MESSAGES_H

#include "core/common/errors.h"
#include "core/ledger/ledger_types.h"
#include "core/requests/routing_policy.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace fireflyroute::core {

// Processing stage of a request.
enum class RequestState { New, Queued, Pinning, Claiming, Running, Billing, Recording, Ended };

template<>
struct EnumNames<RequestState>
{
    static constexpr std::array table{
            EnumName{RequestState::New, "new"},
            EnumName{RequestState::Queued, "queued"},
            EnumName{RequestState::Pinning, "pinning"},
            EnumName{RequestState::Claiming, "claiming"},
            EnumName{RequestState::Running, "running"},
            EnumName{RequestState::Billing, "billing"},
            EnumName{RequestState::Recording, "recording"},
            EnumName{RequestState::Ended, "ended"},
    };
};

// Why an attempt ended without a complete answer. NotSent guarantees that no byte was sent to the
// endpoint.
enum class AttemptError { NotSent, Rejected, TimedOut, Interrupted, Unresponsive };

template<>
struct EnumNames<AttemptError>
{
    static constexpr std::array table{
            EnumName{AttemptError::NotSent, "not_sent"},
            EnumName{AttemptError::Rejected, "rejected"},
            EnumName{AttemptError::TimedOut, "timed_out"},
            EnumName{AttemptError::Interrupted, "broken"},
            EnumName{AttemptError::Unresponsive, "silent"},
    };
};

// Inputs.

struct RequestStarted
{};

struct RequestAdmitted
{};

struct AdmissionRefused
{
    CoreFailure failure;
    std::chrono::milliseconds retryAfter{0};
};

// The ledger's reply to the last requested operation.
struct LedgerReplied
{
    LedgerOutcome outcome;
};

// The ledger did not reply. It is unknown whether the record was written.
struct LedgerRequestFailed
{
    std::string detail;
};

// A part of a model's answer.
struct AnswerChunk
{
    std::uint32_t attempt = 0;
    std::uint64_t endOffset = 0; // number of generated tokens up to the end of this part
    std::uint64_t promptTokens = 0;
    std::string text;
    bool last = false; // the endpoint marked the answer as complete
    std::string finishReason;
};

// The complete answer of a plain service.
struct ServiceAnswer
{
    std::uint32_t attempt = 0;
    int status = 0;
    std::string contentType;
    std::string body;
};

struct AttemptFailed
{
    std::uint32_t attempt = 0;
    AttemptError error = AttemptError::Interrupted;
    std::string detail;
};

struct CallerDisconnected
{};

// Timer input; sent regularly until the request ends.
struct DeadlineTick
{};

using RequestInput = std::variant<RequestStarted, RequestAdmitted, AdmissionRefused, LedgerReplied,
                                  LedgerRequestFailed, AnswerChunk, ServiceAnswer, AttemptFailed,
                                  CallerDisconnected, DeadlineTick>;

// Actions.

// Wait for admission. Replied to by RequestAdmitted or AdmissionRefused.
struct JoinQueue
{};

// Release the place in the queue or the slot of a running request.
struct LeaveQueue
{};

// Create or replace a ledger record. Replied to by LedgerReplied or LedgerRequestFailed.
struct PutRecord
{
    LedgerOperation operation;
};

struct StartAttempt
{
    std::uint32_t attempt = 0;
    EndpointChoice endpoint;
    ModelVersion version; // empty for plain services
    std::uint64_t resumeOffset = 0; // number of generated tokens that the caller already received
    bool freshConnection = false; // use a connection that has not carried a request before
};

struct CancelAttempt
{
    std::uint32_t attempt = 0;
};

// Forward a part of the answer to the caller.
struct RelayChunk
{
    std::string text;
    std::string finishReason; // set on the last part only
};

// The answer is complete and billed: release its end to the caller.
struct FinishAnswer
{
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0;
    std::optional<ServiceAnswer> service;
    bool replayed = false; // recorded answer of an earlier run of the same call
};

// Answer with an error. If part of the answer was delivered, terminate the answer with the error.
struct FailAnswer
{
    CoreFailure failure;
    Executed ran = Executed::No;
    std::chrono::milliseconds retryAfter{0};
};

using RequestAction = std::variant<JoinQueue, LeaveQueue, PutRecord, StartAttempt, CancelAttempt,
                                   RelayChunk, FinishAnswer, FailAnswer>;

} // namespace fireflyroute::core

#endif
