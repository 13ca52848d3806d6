// Typical latency of the answers of each kind, to find answers that are far slower.
//
//   LatencyBaseline baseline(4, 150ms);
//   const LoadLevel load = loadLevel(requestsAtEndpoint, slots);
//   const bool slow = baseline.isSlow({route, model}, load, latency);
//   baseline.record({route, model}, load, latency);
//
// The typical latency is the median of the newest answers of endpoints with a similar load: a
// version in roll-out receives few requests, so its endpoints answer fast even if they are slow,
// and a minority of slow endpoints must not hide it. The median is exact from the first answers on:
// an entry of a large fleet sees few answers of each kind.

#ifndef FIREFLYROUTE_CORE_VERSIONS_LATENCY_BASELINE_H
#define FIREFLYROUTE_CORE_VERSIONS_LATENCY_BASELINE_H

#include "core/common/clock.h"
#include "core/common/types.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>

namespace fireflyroute::core {

// Answers whose latencies are comparable.
struct AnswerKind
{
    std::string route;
    ModelName model; // empty on routes without models

    auto operator<=>(const AnswerKind &) const = default;
};

// Share of an endpoint's slots that are in use when a request is sent to it.
enum class LoadLevel { Idle, Light, Medium, Heavy };

template<>
struct EnumNames<LoadLevel>
{
    static constexpr std::array table{
            EnumName{LoadLevel::Idle, "idle"},
            EnumName{LoadLevel::Light, "light"},
            EnumName{LoadLevel::Medium, "medium"},
            EnumName{LoadLevel::Heavy, "heavy"},
    };
};

[[nodiscard]] inline LoadLevel loadLevel(double requests, std::uint32_t slots)
{
    constexpr double kIdleShare = 1.0 / 8;
    constexpr double kLightShare = 1.0 / 4;
    constexpr double kMediumShare = 1.0 / 2;
    const double share = requests / std::max(slots, 1U);
    if (share < kIdleShare)
        return LoadLevel::Idle;
    if (share < kLightShare)
        return LoadLevel::Light;
    return share < kMediumShare ? LoadLevel::Medium : LoadLevel::Heavy;
}

class LatencyBaseline
{
public:
    // An answer is slow if it takes longer than `slowFactor` times the typical latency, and longer
    // than `minSlowLatency`.
    LatencyBaseline(int slowFactor, Duration minSlowLatency)
        : slowFactor_(slowFactor)
        , minSlowLatency_(minSlowLatency)
    {}

    // Compares with answers at the same load or, if there are fewer than kMinAnswers of them, at
    // the next higher one. False if there are none either.
    [[nodiscard]] bool isSlow(const AnswerKind &kind, LoadLevel load, Duration latency) const
    {
        const auto found = kinds_.find(kind);
        if (found == kinds_.end() || latency <= minSlowLatency_)
            return false;
        const auto first = found->second.begin() + static_cast<std::ptrdiff_t>(load);
        const auto window = std::find_if(first, found->second.end(), [](const Window &candidate) {
            return candidate.count >= kMinAnswers;
        });
        return window != found->second.end() && latency > slowFactor_ * window->median;
    }

    void record(const AnswerKind &kind, LoadLevel load, Duration latency)
    {
        Window &window = kinds_[kind][static_cast<std::size_t>(load)];
        window.latencies[window.count % kWindowSize] = latency;
        ++window.count;
        const auto size = static_cast<std::ptrdiff_t>(std::min(window.count, kWindowSize));
        std::array<Duration, kWindowSize> sorted = window.latencies;
        const auto middle = sorted.begin() + size / 2;
        std::nth_element(sorted.begin(), middle, sorted.begin() + size);
        window.median = *middle;
    }

private:
    static constexpr std::size_t kMinAnswers = 5;
    static constexpr std::size_t kWindowSize = 31;

    struct Window
    {
        std::array<Duration, kWindowSize> latencies{}; // the newest ones, as a ring
        std::size_t count = 0; // of all answers
        Duration median{}; // of the valid part of `latencies`
    };

    int slowFactor_;
    Duration minSlowLatency_;
    std::map<AnswerKind, std::array<Window, EnumNames<LoadLevel>::table.size()>> kinds_;
};

} // namespace fireflyroute::core

#endif
