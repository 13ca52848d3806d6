// Statistics of load tests, and their output formats.

#include "app/load_report.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

namespace acc = boost::accumulators;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::string quantilesText(const std::vector<core::QuantilePoint> &points)
{
    std::string text;
    for (const core::QuantilePoint &point : points)
        text += fmt::format("  {:g} %: {:.4f} s", point.quantile * 100, point.seconds);
    return text;
}

Json::Value quantilesJson(const std::vector<core::QuantilePoint> &points)
{
    Json::Value json(Json::arrayValue);
    for (const core::QuantilePoint &point : points) {
        Json::Value item;
        item["quantile"] = point.quantile;
        item["seconds"] = point.seconds;
        json.append(item);
    }
    return json;
}

} // namespace

LoadReport::RankTotals::RankTotals()
    : firstToken(acc::extended_p_square_probabilities = kQuantiles)
    , total(acc::extended_p_square_probabilities = kQuantiles)
{}

LoadReport::LoadReport() = default;

void LoadReport::add(const LoadSample &sample)
{
    RankTotals &totals = ranks_[static_cast<std::size_t>(sample.rank)];
    ++totals.outcomeCounts[static_cast<std::size_t>(sample.outcome)];
    if (sample.outcome != LoadOutcome::Answered)
        return;
    totals.firstToken(seconds(sample.firstToken));
    totals.total(seconds(sample.total));
}

std::vector<core::QuantilePoint> LoadReport::points(const Latency &latency)
{
    std::vector<core::QuantilePoint> found;
    if (acc::count(latency) == 0)
        return found;
    for (const double quantile : kQuantiles) {
        found.push_back({quantile, acc::quantile(latency, acc::quantile_probability = quantile)});
    }
    return found;
}

std::string LoadReport::text() const
{
    std::string text;
    for (const auto &row : core::EnumNames<core::Rank>::table) {
        const RankTotals &totals = ranks_[static_cast<std::size_t>(row.value)];
        text += fmt::format("{:<11}", row.name);
        for (const auto &outcome : core::EnumNames<LoadOutcome>::table)
            text += fmt::format(" {} {}", outcome.name,
                                totals.outcomeCounts[static_cast<std::size_t>(outcome.value)]);
        text += "\n";
        if (acc::count(totals.total) > 0) {
            text += "  first token" + quantilesText(points(totals.firstToken)) + "\n";
            text += "  whole      " + quantilesText(points(totals.total)) + "\n";
        }
    }
    return text;
}

Json::Value LoadReport::json() const
{
    Json::Value json;
    for (const auto &row : core::EnumNames<core::Rank>::table) {
        const RankTotals &totals = ranks_[static_cast<std::size_t>(row.value)];
        Json::Value rank;
        for (const auto &outcome : core::EnumNames<LoadOutcome>::table) {
            rank[std::string(outcome.name)] =
                    Json::UInt64(totals.outcomeCounts[static_cast<std::size_t>(outcome.value)]);
        }
        rank["first_token"] = quantilesJson(points(totals.firstToken));
        rank["whole"] = quantilesJson(points(totals.total));
        json["ranks"][std::string(row.name)] = rank;
    }
    return json;
}

std::string LoadReport::svg() const
{
    std::vector<core::LatencySeries> series;
    for (const auto &row : core::EnumNames<core::Rank>::table) {
        const RankTotals &totals = ranks_[static_cast<std::size_t>(row.value)];
        if (acc::count(totals.firstToken) > 0)
            series.push_back({row.value, points(totals.firstToken)});
    }
    return core::latencyPlot(series);
}

std::uint64_t LoadReport::count(LoadOutcome outcome) const
{
    std::uint64_t sum = 0;
    for (const RankTotals &totals : ranks_)
        sum += totals.outcomeCounts[static_cast<std::size_t>(outcome)];
    return sum;
}

} // namespace fireflyroute::app
