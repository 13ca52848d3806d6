// Tracks the attempts of one request on endpoints and decides whether another attempt is allowed.
//
//   AttemptTracker attempts;
//   attempts.recordStart();                        // the request may be sent from now on
//   attempts.recordOutcome(AttemptOutcome::Failed);
//   const RetryVerdict verdict = attempts.retryVerdict(isIdempotent, isAnswerStarted);
//   switch (attempts.nextStep(verdict, route.maxAttempts, isAffordable, isStreamStarted)) ...

#ifndef FIREFLYROUTE_CORE_REQUESTS_SENDINGS_H
#define FIREFLYROUTE_CORE_REQUESTS_SENDINGS_H

#include "core/common/enum_names.h"
#include "core/common/types.h"
#include "core/requests/retry_budget.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace fireflyroute::core {

// Outcome of an attempt that delivered no answer to the caller.
enum class AttemptOutcome {
    NotSent, // no byte was sent: the connection failed
    Rejected, // the endpoint stated that it did not run the request
    Failed, // the request may have run
    Discarded, // the request ran and its answer is not delivered
};

template<>
struct EnumNames<AttemptOutcome>
{
    static constexpr std::array table{
            EnumName{AttemptOutcome::NotSent, "not_arrived"},
            EnumName{AttemptOutcome::Rejected, "rejected"},
            EnumName{AttemptOutcome::Failed, "broke"},
            EnumName{AttemptOutcome::Discarded, "unused"},
    };
};

// What follows an attempt that delivered no complete answer.
enum class NextStep {
    Retry, // at once
    Wait, // and retry: no endpoint takes the request now, and the caller has a part of the answer
    GiveUp,
};

template<>
struct EnumNames<NextStep>
{
    static constexpr std::array table{
            EnumName{NextStep::Retry, "again"},
            EnumName{NextStep::Wait, "wait"},
            EnumName{NextStep::GiveUp, "give up"},
    };
};

// Whether an attempt after this outcome counts against the retry budget. A request that was never
// sent causes no repeated work on endpoints, so it does not.
[[nodiscard]] constexpr bool consumesRetryBudget(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NotSent;
}

class AttemptTracker
{
public:
    // Number of failed connections of a request after which another attempt is still allowed. Half
    // of the endpoints may have crashed together, and a refused connection costs only one round
    // trip.
    static constexpr std::uint32_t kMaxNotSent = 8;

    // Number of rejections by endpoints after which another attempt is still allowed.
    static constexpr std::uint32_t kMaxRejected = 3;

    void recordStart() { ++attemptCount_; }

    void recordOutcome(AttemptOutcome outcome)
    {
        switch (outcome) {
        case AttemptOutcome::NotSent:
            --attemptCount_;
            ++notSentCount_;
            break;
        case AttemptOutcome::Rejected:
            --attemptCount_;
            ++rejectedCount_;
            break;
        case AttemptOutcome::Failed:
            ran_ = ran_ == Executed::Yes ? Executed::Yes : Executed::Unknown;
            break;
        case AttemptOutcome::Discarded:
            ran_ = Executed::Yes;
            break;
        }
    }

    // Whether the request ran, over all finished attempts.
    [[nodiscard]] Executed ran() const { return ran_; }

    // Number of attempts that may have run or may still run.
    [[nodiscard]] std::uint32_t attemptCount() const { return attemptCount_; }

    [[nodiscard]] bool hasNoAttempts() const
    {
        return attemptCount_ + notSentCount_ + rejectedCount_ == 0;
    }
    [[nodiscard]] bool wasRejected() const { return rejectedCount_ > 0; }

    // Whether the limits allow another attempt.
    [[nodiscard]] bool allowsAnother(std::uint32_t maxAttempts) const
    {
        return attemptCount_ < maxAttempts && notSentCount_ <= kMaxNotSent
               && rejectedCount_ <= kMaxRejected;
    }

    // Whether another attempt is safe. `isAnswerStarted`: the caller has received a part of an
    // answer that another endpoint can't continue.
    [[nodiscard]] RetryVerdict retryVerdict(bool isIdempotent, bool isAnswerStarted) const
    {
        FailedAttempt failedAttempt;
        failedAttempt.ran = ran_;
        failedAttempt.idempotent = isIdempotent;
        failedAttempt.answerStarted = isAnswerStarted;
        return mayRetry(failedAttempt);
    }

    // The next step after a failed attempt. `isAffordable`: the retry budget allows another
    // attempt. `isStreamStarted`: the caller has received a part of a stream, which another
    // endpoint can continue. Such a request is not given up for a lack that may pass before its
    // deadline.
    [[nodiscard]] NextStep nextStep(RetryVerdict verdict, std::uint32_t maxAttempts,
                                    bool isAffordable, bool isStreamStarted) const
    {
        if (verdict != RetryVerdict::Allowed || attemptCount_ >= maxAttempts)
            return NextStep::GiveUp;
        if (allowsAnother(maxAttempts) && isAffordable)
            return NextStep::Retry;
        return isStreamStarted ? NextStep::Wait : NextStep::GiveUp;
    }

    // Allows one more failed connection or rejection: after a pause an endpoint may accept the
    // request.
    void recordPause()
    {
        notSentCount_ = std::min(notSentCount_, kMaxNotSent);
        rejectedCount_ = std::min(rejectedCount_, kMaxRejected);
    }

private:
    // Started attempts without those that are known not to have run.
    std::uint32_t attemptCount_ = 0;
    std::uint32_t notSentCount_ = 0;
    std::uint32_t rejectedCount_ = 0;
    Executed ran_ = Executed::No;
};

} // namespace fireflyroute::core

#endif
