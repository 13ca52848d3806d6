// Latency histograms of an entry's requests by route kind, rank, model and outcome, for the metrics
// endpoint. Used by the traffic thread only.
//
//   RequestHistograms histograms;
//   histograms.count({"stream", 0, "small", "answered"}, duration, timeToFirstEvent);
//   text += histograms.exposition();

#ifndef FIREFLYROUTE_APP_REQUEST_HISTOGRAMS_H
#define FIREFLYROUTE_APP_REQUEST_HISTOGRAMS_H

#include "core/common/clock.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace fireflyroute::app {

struct RequestLabels
{
    std::string kind; // of the route
    std::uint32_t rank = 0; // 0 is the most urgent
    std::string model; // empty for plain services
    std::string outcome;

    auto operator<=>(const RequestLabels &) const = default;
};

class RequestHistograms
{
public:
    // Maximum number of distinct label sets. Further requests are counted as "other".
    static constexpr std::size_t kMaxSeries = 200;

    // `timeToFirstEvent` is empty if the request had no stream events.
    void count(const RequestLabels &labels, core::Duration duration,
               const std::optional<core::Duration> &timeToFirstEvent);

    // Returns all histograms in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>,
                                                  boost::histogram::dense_storage<std::uint64_t>>;

    struct Series
    {
        Histogram buckets;
        double sum = 0; // seconds
    };

    using SeriesByLabels = std::map<RequestLabels, Series>; // at most kMaxSeries + 1 ("other")

    static void record(SeriesByLabels &series, const RequestLabels &labels, core::Duration value);
    static std::string exposition(const SeriesByLabels &series, const std::string &name);

    SeriesByLabels requestSeries_;
    SeriesByLabels firstEventSeries_;
};

} // namespace fireflyroute::app

#endif
