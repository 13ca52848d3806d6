// What became of the sendings of one request to endpoints, and whether another one may follow.
//
//   Sendings sendings;
//   sendings.began();                              // bytes may leave from now on
//   sendings.ended(SendingEnd::Broke);
//   if (sendings.verdict(isIdempotent, isAnswerBegun) == RetryVerdict::Allowed
//       && sendings.hasRoom(route.maxAttempts)) ...

#ifndef FIREFLYROUTE_CORE_SENDINGS_H
#define FIREFLYROUTE_CORE_SENDINGS_H

#include "core/enum_names.h"
#include "core/retry_budget.h"
#include "core/types.h"

#include <array>
#include <cstdint>

namespace fireflyroute::core {

// How a sending ended without an answer for the caller.
enum class SendingEnd {
    NotArrived, // no byte left: there was no connection
    Rejected, // the endpoint's word that it did not run the request
    Broke, // it may have run
    Unused, // it ran, and its answer is not delivered
};

template<>
struct EnumNames<SendingEnd>
{
    static constexpr std::array table{
            EnumName{SendingEnd::NotArrived, "not_arrived"},
            EnumName{SendingEnd::Rejected, "rejected"},
            EnumName{SendingEnd::Broke, "broke"},
            EnumName{SendingEnd::Unused, "unused"},
    };
};

// Whether sending once more is a repeat for the endpoints. One that never left this process is not.
[[nodiscard]] constexpr bool drawsOnBudget(SendingEnd end)
{
    return end != SendingEnd::NotArrived;
}

class Sendings
{
public:
    // Connections that may fail for one request. Half of the endpoints may have crashed together,
    // and a refused connection costs one round trip.
    static constexpr std::uint32_t kMaxNotArrived = 8;

    // Endpoints that may say that they did not run it before it is refused in turn.
    static constexpr std::uint32_t kMaxRejected = 3;

    void began() { ++attempts_; }

    void ended(SendingEnd end)
    {
        switch (end) {
        case SendingEnd::NotArrived:
            --attempts_;
            ++notArrived_;
            break;
        case SendingEnd::Rejected:
            --attempts_;
            ++rejected_;
            break;
        case SendingEnd::Broke:
            ran_ = ran_ == Ran::Yes ? Ran::Yes : Ran::Unknown;
            break;
        case SendingEnd::Unused:
            ran_ = Ran::Yes;
            break;
        }
    }

    // Whether the request ran, over all sendings that have ended.
    [[nodiscard]] Ran ran() const { return ran_; }

    // Sendings that may have run or may still run.
    [[nodiscard]] std::uint32_t attempts() const { return attempts_; }

    [[nodiscard]] bool isUntouched() const { return attempts_ + notArrived_ + rejected_ == 0; }
    [[nodiscard]] bool wasRejected() const { return rejected_ > 0; }

    // Whether the limits leave another sending.
    [[nodiscard]] bool hasRoom(std::uint32_t maxAttempts) const
    {
        return attempts_ < maxAttempts && notArrived_ <= kMaxNotArrived
               && rejected_ <= kMaxRejected;
    }

    // Whether another sending is safe. `isAnswerBegun`: the caller has a part that another endpoint
    // can't go on from.
    [[nodiscard]] RetryVerdict verdict(bool isIdempotent, bool isAnswerBegun) const
    {
        FailedAttempt failed;
        failed.ran = ran_;
        failed.idempotent = isIdempotent;
        failed.answerStarted = isAnswerBegun;
        return mayRetry(failed);
    }

private:
    std::uint32_t attempts_ = 0; // begun, less those that are known not to have run
    std::uint32_t notArrived_ = 0;
    std::uint32_t rejected_ = 0;
    Ran ran_ = Ran::No;
};

} // namespace fireflyroute::core

#endif
