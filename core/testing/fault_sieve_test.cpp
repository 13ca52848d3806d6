// Runs that break off, alone and together.

#define BOOST_TEST_MODULE fault_sieve
#include "core/fault_sieve.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;

BrokenRun runAt(const std::string &endpoint)
{
    return {EndpointId(endpoint), ServiceName("llm"), VersionName("v2"), "drafts"};
}

} // namespace

BOOST_AUTO_TEST_CASE(an_endpoint_that_breaks_its_runs_is_counted)
{
    FaultSieve sieve;
    for (int i = 0; i < 5; ++i)
        sieve.note(runAt("a"), kStart);
    sieve.note(runAt("b"), kStart + 100ms);
    BOOST_TEST(sieve.take(kStart + 150ms).empty());
    BOOST_TEST(sieve.take(kStart + 400ms).size() == 6U);
    BOOST_TEST(sieve.take(kStart + 10s).empty());
}

// Own day cut-workers: a sound version was rolled back since connections of whole entries were
// reset while all work ran on it.
BOOST_AUTO_TEST_CASE(endpoints_that_fail_together_say_nothing_of_their_version)
{
    FaultSieve sieve;
    sieve.note(runAt("lone"), kStart - 1s);
    for (const char *endpoint : {"a", "b", "c", "d"})
        sieve.note(runAt(endpoint), kStart);
    sieve.note(runAt("e"), kStart + 150ms);
    sieve.note(runAt("f"), kStart + 1s);
    const std::vector<BrokenRun> counted = sieve.take(kStart + 2s);
    BOOST_TEST((counted == std::vector<BrokenRun>{runAt("lone"), runAt("f")}));
}
