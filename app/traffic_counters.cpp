// Counting and text exposition.

#include "app/traffic_counters.h"

#include <fmt/format.h>
#include <vector>

namespace fireflyroute::app {

namespace acc = boost::accumulators;

TrafficCounters::TrafficCounters()
{
    for (std::size_t rank = 0; rank < core::kRankCount; ++rank) {
        durations_.emplace_back(acc::tag::extended_p_square_quantile::probabilities = kQuantiles);
        timesToFirstToken_.emplace_back(acc::tag::extended_p_square_quantile::probabilities =
                                                kQuantiles);
    }
}

void TrafficCounters::count(const RequestOutcome &outcome)
{
    const std::string outcomeName(outcome.error ? core::nameOf(*outcome.error) : "answered");
    const auto rank = static_cast<std::size_t>(outcome.rank);
    const std::scoped_lock lock(mutex_);
    Totals &totals = totals_[Key{outcome.rank, outcome.account, outcome.version, outcomeName}];
    ++totals.requests;
    totals.cost += outcome.cost;
    if (outcome.error)
        return;
    durations_[rank](std::chrono::duration<double>(outcome.duration).count());
    if (outcome.firstToken)
        timesToFirstToken_[rank](std::chrono::duration<double>(*outcome.firstToken).count());
}

std::string TrafficCounters::latencyLines(const std::string &name, core::Rank rank,
                                          const Latency &latency)
{
    std::string lines;
    const std::size_t count = acc::count(latency);
    if (count == 0)
        return lines;
    for (const double quantile : kQuantiles) {
        lines +=
                fmt::format("{}{{rank=\"{}\",quantile=\"{}\"}} {:.6f}\n", name, core::nameOf(rank),
                            quantile, acc::quantile(latency, acc::quantile_probability = quantile));
    }
    lines += fmt::format("{}_count{{rank=\"{}\"}} {}\n", name, core::nameOf(rank), count);
    lines += fmt::format("{}_sum{{rank=\"{}\"}} {:.6f}\n", name, core::nameOf(rank),
                         acc::mean(latency) * static_cast<double>(count));
    return lines;
}

std::string TrafficCounters::exposition()
{
    const std::scoped_lock lock(mutex_);
    std::string text = "# TYPE fireflyroute_requests_total counter\n";
    for (const auto &[key, totals] : totals_) {
        const std::string labels = fmt::format(
                "rank=\"{}\",account=\"{}\",version=\"{}\",outcome=\"{}\"", core::nameOf(key.rank),
                key.account.value(), core::toString(key.version), key.outcome);
        text += fmt::format("fireflyroute_requests_total{{{}}} {}\n", labels, totals.requests);
        text += fmt::format("fireflyroute_cost_micro_total{{{}}} {}\n", labels, totals.cost);
    }
    text += "# TYPE fireflyroute_request_seconds summary\n";
    for (const auto &row : core::EnumNames<core::Rank>::table) {
        const auto rank = static_cast<std::size_t>(row.value);
        text += latencyLines("fireflyroute_request_seconds", row.value, durations_[rank]);
        text += latencyLines("fireflyroute_first_token_seconds", row.value,
                             timesToFirstToken_[rank]);
    }
    return text;
}

} // namespace fireflyroute::app
