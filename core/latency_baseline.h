// Typical latency of the answers of each route, to find answers that are far slower.
//
//   LatencyBaseline baseline;
//   const bool slow = baseline.isSlow(route, latency);
//   baseline.record(route, latency);
//
// The typical latency is an estimate of the median, so a minority of slow endpoints does not hide a
// slow version.

#ifndef FIREFLYROUTE_CORE_LATENCY_BASELINE_H
#define FIREFLYROUTE_CORE_LATENCY_BASELINE_H

#include "core/clock.h"

#include <map>
#include <string>

namespace fireflyroute::core {

class LatencyBaseline
{
public:
    // An answer is slow if it takes longer than this factor times the typical latency, and longer
    // than kMinSlowLatency.
    static constexpr double kSlowFactor = 4;
    static constexpr std::chrono::milliseconds kMinSlowLatency{150};

    // False for a route without recorded answers.
    [[nodiscard]] bool isSlow(const std::string &route, Duration latency) const
    {
        const auto found = typicalMs_.find(route);
        return found != typicalMs_.end() && latency > kMinSlowLatency
               && toMs(latency) > kSlowFactor * found->second;
    }

    void record(const std::string &route, Duration latency)
    {
        const auto [typical, isNew] = typicalMs_.try_emplace(route, toMs(latency));
        if (!isNew)
            typical->second *= toMs(latency) > typical->second ? 1 + kStep : 1 / (1 + kStep);
    }

private:
    // Relative change of the estimate by one answer.
    static constexpr double kStep = 0.03;

    [[nodiscard]] static double toMs(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    std::map<std::string, double> typicalMs_;
};

} // namespace fireflyroute::core

#endif
