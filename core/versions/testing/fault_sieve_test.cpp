// Unit tests of separating isolated from simultaneous failures.

#define BOOST_TEST_MODULE common_cause_filter
#include "core/versions/fault_sieve.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;

FailedRun failedRunOn(const std::string &endpoint)
{
    return {EndpointId(endpoint), ServiceName("llm"), VersionName("v2"), "drafts"};
}

} // namespace

BOOST_AUTO_TEST_CASE(failures_of_few_endpoints_are_returned)
{
    CommonCauseFilter filter;
    for (int i = 0; i < 5; ++i)
        filter.add(failedRunOn("a"), kStart);
    filter.add(failedRunOn("b"), kStart + 100ms);
    BOOST_TEST(filter.takeIsolated(kStart + 150ms).empty());
    BOOST_TEST(filter.takeIsolated(kStart + 400ms).size() == 6U);
    BOOST_TEST(filter.takeIsolated(kStart + 10s).empty());
}

// Regression test (scenario cut-workers): a healthy version was rolled back, because the
// connections of whole entries were reset while all requests ran on it.
BOOST_AUTO_TEST_CASE(simultaneous_failures_of_many_endpoints_are_dropped)
{
    CommonCauseFilter filter;
    filter.add(failedRunOn("lone"), kStart - 1s);
    for (const char *endpoint : {"a", "b", "c", "d"})
        filter.add(failedRunOn(endpoint), kStart);
    filter.add(failedRunOn("e"), kStart + 150ms);
    filter.add(failedRunOn("f"), kStart + 1s);
    const std::vector<FailedRun> isolated = filter.takeIsolated(kStart + 2s);
    BOOST_TEST((isolated == std::vector<FailedRun>{failedRunOn("lone"), failedRunOn("f")}));
}
