// Inputs and actions of the admission state machine in core/admission/admission.h.

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_TYPES_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_TYPES_H

#include "core/admission/usage_exchange.h"
#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <variant>

namespace fireflyroute::core {

// Request for a slot in a pool.
struct AdmissionRequest
{
    RequestId id;
    ClientAccountId account;
    PoolId pool;
    Rank rank = Rank::Normal;
    std::uint32_t estimatedTokens = 1; // prompt and expected output; 0 is treated as 1
    std::optional<Instant> deadline; // time until which the caller waits for the first byte

    bool operator==(const AdmissionRequest &) const = default;
};

// A new request. It is dispatched, refused, or queued without an action.
struct RequestArrived
{
    AdmissionRequest request;

    bool operator==(const RequestArrived &) const = default;
};

// A dispatched request ended, successfully or not, and its slot is free. `tokens` is the number
// that the engine actually processed; 0 if the request never ran.
struct RequestFinished
{
    RequestId id;
    std::uint64_t tokens = 0;

    bool operator==(const RequestFinished &) const = default;
};

// The caller of a request disconnected. A waiting request leaves the queue. For a dispatched
// request nothing changes until it finishes.
struct AdmissionCancelled
{
    RequestId id;

    bool operator==(const AdmissionCancelled &) const = default;
};

// Maximum number of requests that this entry may have in flight in a pool.
struct CapacityChanged
{
    PoolId pool;
    std::uint32_t slots = 0;

    bool operator==(const CapacityChanged &) const = default;
};

// Usage report of another entry, created `age` ago.
struct UsageReported
{
    UsageReport report;
    Duration age{0};

    bool operator==(const UsageReported &) const = default;
};

// Timer input; due at the latest at Admission::nextDeadline().
struct AdmissionTick
{
    bool operator==(const AdmissionTick &) const = default;
};

using AdmissionInput = std::variant<RequestArrived, RequestFinished, AdmissionCancelled,
                                    CapacityChanged, UsageReported, AdmissionTick>;

// Start the request now. RequestFinished must follow.
struct DispatchRequest
{
    RequestId id;
    Duration waited{0};
    // For the endpoint's own queue: the rank of the request, or Urgent if the request is charged to
    // the guaranteed share of its rank.
    Rank priority = Rank::Normal;

    bool operator==(const DispatchRequest &) const = default;
};

// Reason for refusing a request.
enum class RefusalReason {
    Duplicate,
    UnknownAccount,
    RankQueueFull,
    AccountQueueFull,
    TokenRate,
    WaitTooLong,
    PastDeadline,
    QueueTimeout,
};

template<>
struct EnumNames<RefusalReason>
{
    static constexpr std::array table{
            EnumName{RefusalReason::Duplicate, "duplicate"},
            EnumName{RefusalReason::UnknownAccount, "unknown_account"},
            EnumName{RefusalReason::RankQueueFull, "rank_queue_full"},
            EnumName{RefusalReason::AccountQueueFull, "account_queue_full"},
            EnumName{RefusalReason::TokenRate, "token_rate"},
            EnumName{RefusalReason::WaitTooLong, "wait_too_long"},
            EnumName{RefusalReason::PastDeadline, "past_deadline"},
            EnumName{RefusalReason::QueueTimeout, "queue_timeout"},
    };
};

// Refuse the request. It was never dispatched, so it is reported as not executed (Executed::No).
struct RefuseRequest
{
    RequestId id;
    RefusalReason reason = RefusalReason::RankQueueFull;
    CoreError error = CoreError::Overloaded;
    std::chrono::seconds retryAfter{0}; // 0: retrying does not help

    bool operator==(const RefuseRequest &) const = default;
};

using AdmissionAction = std::variant<DispatchRequest, RefuseRequest>;

} // namespace fireflyroute::core

#endif
