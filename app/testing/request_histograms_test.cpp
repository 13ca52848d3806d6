// Tests of the latency histograms and their text exposition.

#define BOOST_TEST_MODULE request_histograms
#include "app/request_histograms.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute;
using namespace std::chrono_literals;

namespace {

bool contains(const std::string &text, const std::string &line)
{
    return text.find(line + "\n") != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(buckets_are_cumulative)
{
    app::RequestHistograms histograms;
    const app::RequestLabels labels{"stream", 2, "small", "answered"};
    histograms.count(labels, 30ms, 10ms);
    histograms.count(labels, 400ms, std::nullopt);
    histograms.count(labels, 60s, std::nullopt);
    const std::string text = histograms.exposition();
    const std::string labelText = R"({kind="stream",rank="2",model="small",outcome="answered")";
    const std::string metric = "fireflyroute_entry_request_seconds";
    BOOST_TEST(contains(text, metric + "_bucket" + labelText + ",le=\"0.02\"} 0"));
    BOOST_TEST(contains(text, metric + "_bucket" + labelText + ",le=\"0.05\"} 1"));
    BOOST_TEST(contains(text, metric + "_bucket" + labelText + ",le=\"0.5\"} 2"));
    BOOST_TEST(contains(text, metric + "_bucket" + labelText + ",le=\"20\"} 2"));
    BOOST_TEST(contains(text, metric + "_bucket" + labelText + ",le=\"+Inf\"} 3"));
    BOOST_TEST(contains(text, metric + "_count" + labelText + "} 3"));
    BOOST_TEST(contains(text, metric + "_sum" + labelText + "} 60.430"));
    BOOST_TEST(contains(text, "fireflyroute_entry_first_event_seconds_count" + labelText + "} 1"));
}

BOOST_AUTO_TEST_CASE(number_of_series_is_bounded)
{
    app::RequestHistograms histograms;
    constexpr int kRequests = 1000;
    for (int i = 0; i < kRequests; ++i)
        histograms.count({"safe", 0, "model-" + std::to_string(i), "answered"}, 1ms, std::nullopt);
    const std::string text = histograms.exposition();
    BOOST_TEST(text.find("model-999") == std::string::npos);
    BOOST_TEST(contains(text, "fireflyroute_entry_request_seconds_count{kind=\"other\",rank=\"0\","
                              "model=\"\",outcome=\"other\"} 800"));
}
