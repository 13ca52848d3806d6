// Counters and latency statistics of one entry's traffic, based on Boost.Accumulators.

#ifndef FIREFLYROUTE_APP_TRAFFIC_COUNTERS_H
#define FIREFLYROUTE_APP_TRAFFIC_COUNTERS_H

#include "core/common/clock.h"
#include "core/common/errors.h"
#include "core/common/types.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::app {

struct RequestOutcome
{
    core::Rank rank = core::Rank::Normal;
    core::ClientAccountId account;
    core::ModelVersion version;
    std::optional<core::CoreError> error; // empty if the request was answered
    core::MicroCost cost = 0;
    core::Duration duration{0};
    std::optional<core::Duration> firstToken;
};

class TrafficCounters
{
public:
    TrafficCounters();

    void count(const RequestOutcome &outcome);

    // Returns all counters in the text exposition format.
    std::string exposition();

private:
    static constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};

    using Latency = boost::accumulators::accumulator_set<
            double, boost::accumulators::stats<
                            boost::accumulators::tag::count, boost::accumulators::tag::mean,
                            boost::accumulators::tag::extended_p_square_quantile>>;

    struct Key
    {
        core::Rank rank;
        core::ClientAccountId account;
        core::ModelVersion version;
        std::string outcome;

        auto operator<=>(const Key &) const = default;
    };

    struct Totals
    {
        std::uint64_t requests = 0;
        core::MicroCost cost = 0;
    };

    static std::string latencyLines(const std::string &name, core::Rank rank,
                                    const Latency &latency);

    std::mutex mutex_; // guards the fields below
    std::map<Key, Totals> totals_;
    std::vector<Latency> durations_; // in seconds, one per rank
    std::vector<Latency> timesToFirstToken_; // in seconds, one per rank
};

} // namespace fireflyroute::app

#endif
