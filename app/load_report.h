// What a load test measured: counts of endings and latency quantiles per rank, by
// Boost.Accumulators, as text, JSON and SVG.
//
//   LoadReport report;
//   report.add(LoadSample{Rank::Urgent, LoadOutcome::Answered, firstToken, duration});
//   fmt::print("{}", report.text());

#ifndef FIREFLYROUTE_APP_LOAD_REPORT_H
#define FIREFLYROUTE_APP_LOAD_REPORT_H

#include "core/clock.h"
#include "core/load_plot.h"
#include "core/types.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <json/value.h>
#include <string>

namespace fireflyroute::app {

// How one request of a load test ended. Cut answers began and did not end in order.
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
    core::Duration firstToken{0}; // since the planned start; of answered requests only
    core::Duration total{0};
};

// Not thread safe.
class LoadReport
{
public:
    LoadReport();

    void add(const LoadSample &sample);

    [[nodiscard]] std::string text() const;
    [[nodiscard]] Json::Value json() const;

    // Time to the first token.
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
        Latency firstToken; // seconds, of answered requests
        Latency total;
    };

    static std::vector<core::QuantilePoint> points(const Latency &latency);

    std::array<RankTotals, core::kRankCount> ranks_;
};

} // namespace fireflyroute::app

#endif
