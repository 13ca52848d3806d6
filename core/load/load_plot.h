// A plot of latency quantiles as SVG, one line per rank.
//
//   file << latencyPlot({{Rank::Urgent, {{0.5, 0.21}, {0.95, 0.38}}}});

#ifndef FIREFLYROUTE_CORE_LOAD_LOAD_PLOT_H
#define FIREFLYROUTE_CORE_LOAD_LOAD_PLOT_H

#include "core/common/types.h"

#include <string>
#include <vector>

namespace fireflyroute::core {

struct QuantilePoint
{
    double quantile = 0; // from 0 to 1
    double seconds = 0;
};

struct LatencySeries
{
    Rank rank = Rank::Normal;
    std::vector<QuantilePoint> points; // in ascending order of quantile
};

// Returns a complete SVG document. The quantiles are evenly spaced; the latency axis starts at
// zero.
[[nodiscard]] std::string latencyPlot(const std::vector<LatencySeries> &series);

} // namespace fireflyroute::core

#endif
