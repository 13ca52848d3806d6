// Fleet-wide retry budget. Retries are limited to a fraction of first attempts, so that they can't
// turn a partial failure into an overload.
//
//   RetryBudget budget(vm, incarnation, defaults.retryBudgetPermille);
//   budget.recordFirstAttempt(now);
//   if (mayRetry(attempt) == RetryVerdict::Allowed && budget.tryRetry(now))
//       send it again
//   send(budget.report());                        // to the other entries, each 500 ms
//   budget.receive(report, age, now);             // from the other entries
//
// Every entry counts the attempts of all entries as reported. It allows a retry while the retry
// rate stays below the configured fraction of the rate of first attempts plus a floor. The floor is
// divided by the number of live entries, so that the total does not grow with that number.

#ifndef FIREFLYROUTE_CORE_REQUESTS_RETRY_BUDGET_H
#define FIREFLYROUTE_CORE_REQUESTS_RETRY_BUDGET_H

#include "core/admission/admission_rate.h"
#include "core/common/clock.h"
#include "core/common/enum_names.h"
#include "core/common/types.h"

#include <array>
#include <cstdint>
#include <map>

namespace fireflyroute::core {

// Properties of a failed attempt.
struct FailedAttempt
{
    Executed ran = Executed::Unknown;
    bool idempotent = false; // running it twice is harmless
    bool claimed = false; // non-repeatable call: one attempt only
    bool quarantined = false; // suspected to crash endpoints
    bool answerStarted = false; // the caller already received a part of the answer
};

// Whether a failed attempt may be retried, regardless of the budget.
enum class RetryVerdict { Allowed, NotRepeatable, MayHaveRun, Quarantined, AnswerStarted };

template<>
struct EnumNames<RetryVerdict>
{
    static constexpr std::array table{
            EnumName{RetryVerdict::Allowed, "allowed"},
            EnumName{RetryVerdict::NotRepeatable, "not_repeatable"},
            EnumName{RetryVerdict::MayHaveRun, "may_have_run"},
            EnumName{RetryVerdict::Quarantined, "quarantined"},
            EnumName{RetryVerdict::AnswerStarted, "answer_started"},
    };
};

[[nodiscard]] RetryVerdict mayRetry(const FailedAttempt &attempt);

// Number of attempts of one entry since it started.
struct RetryReport
{
    VmId entry;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // incremented with each report of an incarnation; starts at 1
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;

    bool operator==(const RetryReport &) const = default;
};

class RetryBudget
{
public:
    RetryBudget(VmId self, Incarnation incarnation, std::uint32_t permille);

    void setPermille(std::uint32_t permille) { permille_ = permille; }

    void recordFirstAttempt(Instant now);

    // Takes a retry from the budget. Returns false without a change if the budget is exhausted.
    [[nodiscard]] bool tryRetry(Instant now);

    // Whether tryRetry() would succeed now.
    [[nodiscard]] bool canRetry(Instant now) const;

    [[nodiscard]] RetryReport report();

    // Applies a report of another entry. Repeated, reordered and own reports are ignored. If the
    // first report received from an entry is not the first of its incarnation, the attempts up to
    // that report are not counted.
    void receive(const RetryReport &report, Duration age, Instant now);

private:
    struct Peer
    {
        RetryReport last; // newest by incarnation and sequence number
        Instant reportedAt; // time at which the peer created `last`
    };

    [[nodiscard]] std::size_t liveEntries(Instant now) const;

    RetryReport localReport_;
    std::uint32_t permille_; // retries per 1,000 first attempts
    DecayingRate firstAttempts_; // of all entries
    DecayingRate retries_; // of all entries
    std::map<VmId, Peer> peers_;
};

} // namespace fireflyroute::core

#endif
