// Results of a load test: counts of outcomes and latency quantiles per rank, computed with
// Boost.Accumulators, as text, JSON and SVG.
//
//   LoadReport report;
//   report.add(LoadSample{Rank::Urgent, LoadOutcome::Answered, firstToken, duration});
//   fmt::print("{}", report.text());

#ifndef FIREFLYROUTE_APP_LOAD_REPORT_H
#define FIREFLYROUTE_APP_LOAD_REPORT_H

#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/load/load_plot.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <json/value.h>
#include <string>

namespace fireflyroute::app {

// Outcome of one request of a load test. Truncated: the response started but did not complete.
enum class LoadOutcome { Answered, Refused, Truncated, Unreachable };

} // namespace fireflyroute::app

namespace fireflyroute::core {

template<>
struct EnumNames<app::LoadOutcome>
{
    static constexpr std::array table{
            EnumName{app::LoadOutcome::Answered, "answered"},
            EnumName{app::LoadOutcome::Refused, "refused"},
            EnumName{app::LoadOutcome::Truncated, "cut"},
            EnumName{app::LoadOutcome::Unreachable, "unreachable"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::app {

struct LoadSample
{
    core::Rank rank = core::Rank::Normal;
    LoadOutcome outcome = LoadOutcome::Answered;
    core::Duration firstToken{0}; // since the planned start; answered requests only
    core::Duration total{0};
};

// Not thread-safe.
class LoadReport
{
public:
    LoadReport();

    void add(const LoadSample &sample);

    [[nodiscard]] std::string text() const;
    [[nodiscard]] Json::Value json() const;

    // Plots the time to the first token.
    [[nodiscard]] std::string svg() const;

    [[nodiscard]] std::uint64_t count(LoadOutcome outcome) const;

private:
    static constexpr std::array<double, 4> kQuantiles{0.5, 0.9, 0.95, 0.99};
    static constexpr std::size_t kOutcomeCount = core::EnumNames<LoadOutcome>::table.size();

    using Latency = boost::accumulators::accumulator_set<
            double,
            boost::accumulators::stats<boost::accumulators::tag::count,
                                       boost::accumulators::tag::extended_p_square_quantile>>;

    struct RankTotals
    {
        RankTotals();

        std::array<std::uint64_t, kOutcomeCount> outcomeCounts{};
        Latency firstToken; // in seconds, answered requests only
        Latency total;
    };

    static std::vector<core::QuantilePoint> points(const Latency &latency);

    std::array<RankTotals, core::kRankCount> ranks_;
};

} // namespace fireflyroute::app

#endif
