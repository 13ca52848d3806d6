// Histogram buckets and their text exposition.

#include "app/request_histograms.h"

#include <array>
#include <chrono>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

// Bucket boundaries in seconds. They cover the latency objectives of calls (0.2 s) and streams (1
// to 8 s).
constexpr std::array kBucketBounds{0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5,
                                   1.0, 1.5,  2.5,  4.0, 8.0, 20.0};

std::string formatLabels(const RequestLabels &labels)
{
    return fmt::format(R"(kind="{}",rank="{}",model="{}",outcome="{}")", labels.kind, labels.rank,
                       labels.model, labels.outcome);
}

} // namespace

void RequestHistograms::count(const RequestLabels &labels, core::Duration duration,
                              const std::optional<core::Duration> &timeToFirstEvent)
{
    record(requestSeries_, labels, duration);
    if (timeToFirstEvent)
        record(firstEventSeries_, labels, *timeToFirstEvent);
}

void RequestHistograms::record(SeriesByLabels &series, const RequestLabels &labels,
                               core::Duration value)
{
    auto found = series.find(labels);
    if (found == series.end()) {
        const bool isFull = series.size() >= kMaxSeries;
        const RequestLabels seriesLabels = isFull ? RequestLabels{"other", 0, "", "other"} : labels;
        const Axis axis(kBucketBounds.begin(), kBucketBounds.end());
        found = series.try_emplace(seriesLabels, Series{Histogram(std::make_tuple(axis), {}), 0})
                        .first;
    }
    const std::chrono::duration<double> seconds = value;
    found->second.buckets(seconds.count());
    found->second.sum += seconds.count();
}

std::string RequestHistograms::exposition() const
{
    return exposition(requestSeries_, "fireflyroute_entry_request_seconds")
           + exposition(firstEventSeries_, "fireflyroute_entry_first_event_seconds");
}

std::string RequestHistograms::exposition(const SeriesByLabels &series, const std::string &name)
{
    std::string text;
    for (const auto &[labels, data] : series) {
        const std::string labelText = formatLabels(labels);
        std::uint64_t total = 0;
        const auto size = static_cast<int>(kBucketBounds.size()) - 1;
        for (int i = 0; i < size; ++i) {
            total += data.buckets.at(i);
            text += fmt::format("{}_bucket{{{},le=\"{:g}\"}} {}\n", name, labelText,
                                kBucketBounds[static_cast<std::size_t>(i) + 1], total);
        }
        total += data.buckets.at(size); // above the last boundary
        text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labelText, total);
        text += fmt::format("{}_sum{{{}}} {:.3f}\n{}_count{{{}}} {}\n", name, labelText, data.sum,
                            name, labelText, total);
    }
    return text;
}

} // namespace fireflyroute::app
