// Latency histograms of an entry's requests by kind of route, rank, model and outcome, for the
// metrics address. Belongs to the traffic thread.
//
//   RequestHistograms histograms;
//   histograms.count({"stream", 0, "small", "answered"}, took, untilFirstEvent);
//   text += histograms.exposition();

#ifndef FIREFLYROUTE_APP_REQUEST_HISTOGRAMS_H
#define FIREFLYROUTE_APP_REQUEST_HISTOGRAMS_H

#include "core/clock.h"

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
    // Different labels that are kept; requests with further ones are counted as "other".
    static constexpr std::size_t kMaxSeries = 200;

    // `first`: until the first event of a stream, if there was one.
    void count(const RequestLabels &labels, core::Duration took,
               const std::optional<core::Duration> &first);

    // In the text exposition format.
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

    using SeriesByLabels = std::map<RequestLabels, Series>; // at most kMaxSeries and "other"

    static void fill(SeriesByLabels &series, const RequestLabels &labels, core::Duration value);
    static std::string exposition(const SeriesByLabels &series, const std::string &name);

    SeriesByLabels whole_;
    SeriesByLabels first_;
};

} // namespace fireflyroute::app

#endif
