// Measured service rates, used to estimate waiting times.
//
//   DecayingRate rate(std::chrono::seconds(5));
//   rate.add(900, now);
//   rate.perSecond(now);
//
//   SlotRate slots;
//   slots.recordCompletion(900, now - startedAt);
//   slots.tokensPerSecond();      // of one slot; 0 before the first completion

#ifndef FIREFLYROUTE_CORE_ADMISSION_ADMISSION_RATE_H
#define FIREFLYROUTE_CORE_ADMISSION_ADMISSION_RATE_H

#include "core/common/clock.h"

#include <algorithm>
#include <cmath>

namespace fireflyroute::core {

// Amount per second as an exponentially decaying average with the given time constant.
class DecayingRate
{
public:
    explicit DecayingRate(Duration timeConstant)
        : timeConstant_(std::chrono::duration<double>(timeConstant).count())
    {}

    void add(double amount, Instant now)
    {
        sum_ = decayed(now) + amount;
        addedAt_ = std::max(addedAt_, now);
    }

    [[nodiscard]] double perSecond(Instant now) const { return decayed(now) / timeConstant_; }

private:
    [[nodiscard]] double decayed(Instant now) const
    {
        const std::chrono::duration<double> age = std::max(Duration{0}, now - addedAt_);
        return sum_ * std::exp(-age.count() / timeConstant_);
    }

    double timeConstant_; // seconds
    double sum_ = 0; // as of addedAt_
    Instant addedAt_;
};

// Tokens per second of one busy slot, averaged over recent completions.
class SlotRate
{
public:
    void recordCompletion(double tokens, Duration busyTime)
    {
        tokens_ = tokens_ * kDecay + tokens;
        seconds_ = seconds_ * kDecay + std::chrono::duration<double>(busyTime).count();
    }

    [[nodiscard]] double tokensPerSecond() const { return seconds_ > 0 ? tokens_ / seconds_ : 0; }

private:
    static constexpr double kDecay = 0.99; // weight of a completion relative to the next one

    double tokens_ = 0;
    double seconds_ = 0;
};

} // namespace fireflyroute::core

#endif
