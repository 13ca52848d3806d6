// The fleet-wide retry budget: retries are a bounded fraction of first attempts, so that retries
// can't turn a partial failure into an overload.
//
//   RetryBudget budget(vm, incarnation, defaults.retryBudgetPermille);
//   budget.firstAttempt(now);
//   if (mayRetry(attempt) == RetryVerdict::Allowed && budget.tryRetry(now))
//       send it again
//   send(budget.report());                        // to the other entries, each 500 ms
//   budget.receive(report, age, now);             // from the other entries
//
// Every entry counts the attempts of all, as reported, and allows a retry while the retries of the
// last window stay below the permille of its first attempts plus a floor. The floor is divided
// between the entries that are heard of, so it does not grow with their number.

#ifndef FIREFLYROUTE_CORE_RETRY_BUDGET_H
#define FIREFLYROUTE_CORE_RETRY_BUDGET_H

#include "core/admission_rate.h"
#include "core/clock.h"
#include "core/enum_names.h"
#include "core/types.h"

#include <array>
#include <cstdint>
#include <map>

namespace fireflyroute::core {

// What is known of an attempt that failed.
struct FailedAttempt
{
    Ran ran = Ran::Unknown;
    bool idempotent = false; // running it twice does no harm
    bool claimed = false; // a call that may not be repeated: one attempt only
    bool quarantined = false; // suspected to crash endpoints
    bool answerStarted = false; // the caller already has a part of the answer
};

// Whether a failed attempt may be made again, budget aside.
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

// Attempts of one entry since it started.
struct RetryReport
{
    VmId entry;
    Incarnation incarnation{0};
    std::uint64_t sequence = 0; // grows by one with each report of one incarnation, from 1
    std::uint64_t firstAttempts = 0;
    std::uint64_t retries = 0;

    bool operator==(const RetryReport &) const = default;
};

class RetryBudget
{
public:
    RetryBudget(VmId self, Incarnation incarnation, std::uint32_t permille);

    void setPermille(std::uint32_t permille) { permille_ = permille; }

    void firstAttempt(Instant now);

    // Takes a retry from the budget; false, and nothing taken, when there is none left.
    [[nodiscard]] bool tryRetry(Instant now);

    // Whether tryRetry() would take one now.
    [[nodiscard]] bool hasRetry(Instant now) const;

    [[nodiscard]] RetryReport report();

    // Folds in what another entry did. Repeated, reordered and own reports change nothing; what an
    // entry did before it was first heard of is not counted.
    void receive(const RetryReport &report, Duration age, Instant now);

private:
    struct Peer
    {
        RetryReport last; // the newest by incarnation and sequence
        Instant heardAt;
    };

    [[nodiscard]] std::size_t entries(Instant now) const;

    RetryReport own_;
    std::uint32_t permille_; // retries per 1,000 first attempts
    DecayingRate firstAttempts_; // of all entries
    DecayingRate retries_; // of all entries
    std::map<VmId, Peer> peers_;
};

} // namespace fireflyroute::core

#endif
