// Endpoint selection by hundreds of entries under load, on the model of
// core/balancing/testing/fleet_load_model.h.

#define BOOST_TEST_MODULE fleet_load
#include "core/balancing/testing/fleet_load_model.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

constexpr std::size_t kAllCandidates = 1000;

FleetLoadResult play(double requestsPerSecond, std::size_t drawnCandidates)
{
    FleetLoad load;
    load.requestsPerSecond = requestsPerSecond;
    load.seconds = 3;
    load.weights.drawnCandidates = drawnCandidates;
    return playFleetLoad(load);
}

} // namespace

// Guards against entries that all choose the same endpoint until they hear of each other's
// requests: endpoints with 49 places rejected requests while those of the fleet were used to a
// fifth.
BOOST_AUTO_TEST_CASE(no_endpoint_is_full_while_a_fifth_of_all_places_is_used)
{
    constexpr double kMaxLateShare = 0.01;
    const FleetLoadResult result = play(2000, PickWeights().drawnCandidates);
    BOOST_TEST_MESSAGE("mean load " << result.meanLoad << ", busiest " << result.busiest);
    BOOST_TEST(result.meanLoad < 49 * 0.25);
    BOOST_TEST(result.rejected == 0);
    BOOST_TEST(result.lateShare < kMaxLateShare);
}

// The same at the usual load, where the choice among few candidates must not cost the callers more
// than the choice among all: neither time, nor requests sent to other regions.
BOOST_AUTO_TEST_CASE(few_candidates_are_as_good_as_all_at_the_usual_load)
{
    constexpr double kTolerance = 1.1;
    const FleetLoadResult few = play(960, PickWeights().drawnCandidates);
    const FleetLoadResult all = play(960, kAllCandidates);
    BOOST_TEST(few.meanFirstMs <= all.meanFirstMs * kTolerance);
    BOOST_TEST(few.remote <= all.remote * kTolerance);
    BOOST_TEST(few.repeatedTokens <= all.repeatedTokens * kTolerance);
}
