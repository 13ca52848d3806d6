// Buckets and their text.

#include "app/request_histograms.h"

#include <array>
#include <chrono>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

// Upper bounds in seconds, around the objectives of calls (0.2 s) and of streams (1 to 8 s).
constexpr std::array kBounds{0.0, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 4.0, 8.0, 20.0};

std::string textOf(const RequestLabels &labels)
{
    return fmt::format(R"(kind="{}",rank="{}",model="{}",outcome="{}")", labels.kind, labels.rank,
                       labels.model, labels.outcome);
}

} // namespace

void RequestHistograms::count(const RequestLabels &labels, core::Duration took,
                              const std::optional<core::Duration> &first)
{
    fill(whole_, labels, took);
    if (first)
        fill(first_, labels, *first);
}

void RequestHistograms::fill(SeriesByLabels &series, const RequestLabels &labels,
                             core::Duration value)
{
    auto found = series.find(labels);
    if (found == series.end()) {
        const bool isFull = series.size() >= kMaxSeries;
        const RequestLabels kept = isFull ? RequestLabels{"other", 0, "", "other"} : labels;
        const Axis axis(kBounds.begin(), kBounds.end());
        found = series.try_emplace(kept, Series{Histogram(std::make_tuple(axis), {}), 0}).first;
    }
    const std::chrono::duration<double> seconds = value;
    found->second.buckets(seconds.count());
    found->second.sum += seconds.count();
}

std::string RequestHistograms::exposition() const
{
    return exposition(whole_, "fireflyroute_entry_request_seconds")
           + exposition(first_, "fireflyroute_entry_first_event_seconds");
}

std::string RequestHistograms::exposition(const SeriesByLabels &series, const std::string &name)
{
    std::string text;
    for (const auto &[labels, one] : series) {
        const std::string labelText = textOf(labels);
        std::uint64_t total = 0;
        const auto size = static_cast<int>(kBounds.size()) - 1;
        for (int i = 0; i < size; ++i) {
            total += one.buckets.at(i);
            text += fmt::format("{}_bucket{{{},le=\"{:g}\"}} {}\n", name, labelText,
                                kBounds[static_cast<std::size_t>(i) + 1], total);
        }
        total += one.buckets.at(size); // beyond the last bound
        text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labelText, total);
        text += fmt::format("{}_sum{{{}}} {:.3f}\n{}_count{{{}}} {}\n", name, labelText, one.sum,
                            name, labelText, total);
    }
    return text;
}

} // namespace fireflyroute::app
