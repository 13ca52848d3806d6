// The bytes that the connections of one listener may hold together: requests that are read or
// answered, and answers that callers have not received yet. Each connection has limits of its own;
// many connections at their limits would exceed the memory of a VM.
//
//   ByteBudget budget(limits);
//   switch (budget.ask(holding, bodyLength, waited)) {
//   case HoldVerdict::Granted: ... // read on
//   case HoldVerdict::Wait: ...    // read nothing; ask again later
//   case HoldVerdict::Refused: ... // reject the request
//   }
//   budget.set(holding, 0);
//
// A large body is granted as a whole before it is read, so that each body that was granted can
// arrive in full. Large bodies can't use a reserved part of the budget, which is left to ordinary
// requests. A budget that is used up names a connection to close: see chooseToClose().

#ifndef FIREFLYROUTE_CORE_ADMISSION_BYTE_BUDGET_H
#define FIREFLYROUTE_CORE_ADMISSION_BYTE_BUDGET_H

#include "core/common/clock.h"
#include "core/common/enum_names.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

namespace fireflyroute::core {

enum class HoldVerdict {
    Granted,
    Wait, // the bytes aren't free now
    Refused, // they have not become free in time
};

template<>
struct EnumNames<HoldVerdict>
{
    static constexpr std::array table{
            EnumName{HoldVerdict::Granted, "granted"},
            EnumName{HoldVerdict::Wait, "wait"},
            EnumName{HoldVerdict::Refused, "refused"},
    };
};

// What a connection does with the bytes that it holds.
enum class HoldPhase {
    Receiving, // a part of a request has arrived
    Running, // the request is complete or waits for the budget; its caller owes nothing
    Sending, // the caller has not received an answer that was written
};

template<>
struct EnumNames<HoldPhase>
{
    static constexpr std::array table{
            EnumName{HoldPhase::Receiving, "receiving"},
            EnumName{HoldPhase::Running, "running"},
            EnumName{HoldPhase::Sending, "sending"},
    };
};

struct HoldLimits
{
    std::size_t totalBytes = std::size_t(64) << 20U;
    // A connection that holds no more than this is ordinary. More than a prompt of 10,000 tokens.
    std::size_t ordinaryBytes = std::size_t(64) << 10U;
    // Longest wait for a grant: callers give up an idempotent request that is not read for a
    // second.
    Duration maxWait = std::chrono::milliseconds(900);
    // A connection without progress for this long may be closed while others wait.
    Duration stallPeriod = std::chrono::milliseconds(500);

    // The part that large bodies may use.
    [[nodiscard]] std::size_t largeBytes() const { return totalBytes - totalBytes / 4; }
};

// Bytes that one connection holds. Changed by its budget only.
struct Holding
{
    std::size_t bytes = 0;
};

// A connection, as a candidate for being closed.
struct HolderState
{
    std::size_t bytes = 0;
    HoldPhase phase = HoldPhase::Running;
    Instant lastProgressAt;
};

class ByteBudget
{
public:
    explicit ByteBudget(const HoldLimits &limits = {})
        : limits_(limits)
    {}

    // Asks that the connection may hold `bytes` in total. `waited`: time since it asked first. A
    // large body that no other one competes with is granted whatever its length: the limits of
    // requests bound it.
    HoldVerdict ask(Holding &holding, std::size_t bytes, Duration waited);

    // Sets what the connection holds, for bytes that are already there.
    void set(Holding &holding, std::size_t bytes);

    // Returns the index of the connection to close for one that has to wait for `bytes`: the
    // largest without progress, and of equally large ones the slowest. For an ordinary request also
    // a large body that makes progress. Never a connection whose caller owes nothing.
    [[nodiscard]] std::optional<std::size_t> chooseToClose(const std::vector<HolderState> &holders,
                                                           std::size_t bytes, Instant now) const;

    [[nodiscard]] std::size_t usedBytes() const { return used_; }
    [[nodiscard]] const HoldLimits &limits() const { return limits_; }

private:
    [[nodiscard]] bool isLarge(std::size_t bytes) const { return bytes > limits_.ordinaryBytes; }
    [[nodiscard]] bool fits(const Holding &holding, std::size_t bytes) const;

    HoldLimits limits_;
    std::size_t used_ = 0; // sum of all holdings
    std::size_t largeUsed_ = 0; // sum of the large ones
};

} // namespace fireflyroute::core

#endif
