// Unit tests of the quarantine of crashing requests on two entries, and of clearing other requests
// that were in flight.

#define BOOST_TEST_MODULE quarantine
#include "core/quarantine/quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kNow{1h};
const RequestFingerprint kCrashingRequest = fingerprintOf("m", "poison");
const RequestFingerprint kHarmlessRequest = fingerprintOf("m", "harmless");

EndpointInstance instanceOf(const std::string &id, std::uint64_t incarnation = 1)
{
    return EndpointInstance{EndpointId(id), Incarnation(incarnation)};
}

struct Fixture
{
    // Crashes the endpoint while the request is in flight on it.
    static void crashWhileRunning(Quarantine &entry, const RequestFingerprint &request,
                                  const EndpointInstance &endpoint)
    {
        entry.recordStart(request, endpoint);
        entry.endpointCrashed(endpoint, kNow);
    }

    static DispatchRule ruleFor(const Quarantine &entry, const RequestFingerprint &request)
    {
        return entry.admit(request, kNow).value();
    }

    static bool isQuarantined(const Quarantine &entry, const RequestFingerprint &request,
                              Instant now = kNow)
    {
        const Result<DispatchRule> admitted = entry.admit(request, now);
        return !admitted && admitted.error().code == CoreError::Quarantined;
    }

    QuarantinePolicy policy;
    Quarantine entryA{VmId("vm1"), Incarnation(1), policy};
    Quarantine entryB{VmId("vm2"), Incarnation(1), policy};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quarantine, Fixture)

BOOST_AUTO_TEST_CASE(second_crash_quarantines_on_all_entries_but_spares_the_cleared_request)
{
    entryA.recordStart(kHarmlessRequest, instanceOf("e1"));
    crashWhileRunning(entryA, kCrashingRequest, instanceOf("e1"));
    BOOST_TEST((ruleFor(entryA, kCrashingRequest) == DispatchRule::Exclusive));
    BOOST_TEST((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Exclusive));
    entryB.apply(entryA.deltaSince(0, kNow), kNow);
    BOOST_TEST((ruleFor(entryB, kCrashingRequest) == DispatchRule::Exclusive));

    entryB.recordStart(kHarmlessRequest, instanceOf("e3"));
    entryB.recordFinish(kHarmlessRequest, instanceOf("e3"), RunOutcome::Succeeded, kNow);
    entryB.recordStart(kCrashingRequest, instanceOf("e2"));
    const std::vector<RequestFingerprint> quarantined =
            entryB.endpointCrashed(instanceOf("e2"), kNow);
    BOOST_TEST_REQUIRE(quarantined.size() == 1U);
    BOOST_TEST((quarantined[0] == kCrashingRequest));

    entryA.apply(entryB.deltaSince(0, kNow), kNow);
    BOOST_TEST(isQuarantined(entryA, kCrashingRequest));
    BOOST_TEST(isQuarantined(entryB, kCrashingRequest));
    BOOST_TEST((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Unrestricted));
    BOOST_TEST((ruleFor(entryB, kHarmlessRequest) == DispatchRule::Unrestricted));
}

BOOST_AUTO_TEST_CASE(endpoint_shutdown_marks_no_suspects)
{
    entryA.recordStart(kHarmlessRequest, instanceOf("e1"));
    entryA.endpointShutDown(instanceOf("e1"));
    BOOST_TEST(entryA.endpointCrashed(instanceOf("e1"), kNow).empty());
    BOOST_TEST((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Unrestricted));
    BOOST_TEST(entryA.inFlight(instanceOf("e1")) == 0U);
}

BOOST_AUTO_TEST_CASE(crash_observed_by_two_entries_counts_once)
{
    crashWhileRunning(entryA, kHarmlessRequest, instanceOf("e1"));
    crashWhileRunning(entryB, kHarmlessRequest, instanceOf("e1"));
    entryB.apply(entryA.deltaSince(0, kNow), kNow);
    entryA.apply(entryB.deltaSince(0, kNow), kNow);
    BOOST_TEST((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Exclusive));
    crashWhileRunning(entryB, kHarmlessRequest, instanceOf("e1", 2));
    BOOST_TEST(isQuarantined(entryB, kHarmlessRequest));
}

BOOST_AUTO_TEST_CASE(deltas_may_be_repeated_and_reordered)
{
    crashWhileRunning(entryA, kHarmlessRequest, instanceOf("e1"));
    const QuarantineDelta suspect = entryA.deltaSince(0, kNow);
    entryA.recordStart(kHarmlessRequest, instanceOf("e2"));
    entryA.recordFinish(kHarmlessRequest, instanceOf("e2"), RunOutcome::Succeeded, kNow);
    const QuarantineDelta cleared = entryA.deltaSince(suspect.sequence, kNow);
    BOOST_TEST(cleared.rows.size() == 1U);
    entryB.apply(cleared, kNow);
    entryB.apply(suspect, kNow);
    entryB.apply(suspect, kNow);
    BOOST_TEST((ruleFor(entryB, kHarmlessRequest) == DispatchRule::Unrestricted));
    BOOST_TEST(entryA.deltaSince(cleared.sequence, kNow).rows.empty());

    const std::uint64_t before = entryB.deltaSince(0, kNow).sequence;
    entryB.apply(cleared, kNow + 1s);
    BOOST_TEST(entryB.deltaSince(0, kNow).sequence == before);
}

BOOST_AUTO_TEST_CASE(suspect_runs_exclusively_and_one_copy_at_a_time)
{
    crashWhileRunning(entryA, kCrashingRequest, instanceOf("e1"));
    entryA.recordStart(kCrashingRequest, instanceOf("e2"));
    BOOST_TEST((ruleFor(entryA, kCrashingRequest) == DispatchRule::Wait));
    BOOST_TEST(entryA.isReservedForSuspect(instanceOf("e2"), kNow));
    entryA.recordFinish(kCrashingRequest, instanceOf("e2"), RunOutcome::Cancelled, kNow);
    BOOST_TEST(!entryA.isReservedForSuspect(instanceOf("e2"), kNow));
    BOOST_TEST((ruleFor(entryA, kCrashingRequest) == DispatchRule::Exclusive));
}

BOOST_AUTO_TEST_CASE(answer_after_the_crash_clears_no_suspect)
{
    crashWhileRunning(entryA, kCrashingRequest, instanceOf("e1"));
    entryA.recordFinish(kCrashingRequest, instanceOf("e1"), RunOutcome::Succeeded, kNow);
    BOOST_TEST((ruleFor(entryA, kCrashingRequest) == DispatchRule::Exclusive));
}

BOOST_AUTO_TEST_CASE(records_expire_and_their_number_is_bounded)
{
    crashWhileRunning(entryA, kCrashingRequest, instanceOf("e1"));
    crashWhileRunning(entryA, kCrashingRequest, instanceOf("e2"));
    BOOST_TEST(isQuarantined(entryA, kCrashingRequest, kNow + policy.lifetime - 1ms));
    BOOST_TEST(!isQuarantined(entryA, kCrashingRequest, kNow + policy.lifetime));

    policy.maxRecords = 10;
    Quarantine limited(VmId("vm1"), Incarnation(1), policy);
    crashWhileRunning(limited, kCrashingRequest, instanceOf("e1"));
    crashWhileRunning(limited, kCrashingRequest, instanceOf("e2"));
    for (int number = 0; number < 50; ++number)
        crashWhileRunning(limited, fingerprintOf("m", std::to_string(number)), instanceOf("e3"));
    BOOST_TEST(limited.recordCount() == policy.maxRecords);
    BOOST_TEST(limited.deltaSince(0, kNow).rows.size() == policy.maxRecords);
    BOOST_TEST(isQuarantined(limited, kCrashingRequest));
    limited.expire(kNow + policy.lifetime);
    BOOST_TEST(limited.recordCount() == 0U);
}

BOOST_AUTO_TEST_CASE(repeatedly_cleared_request_can_become_suspect_again)
{
    for (std::uint64_t round = 1; round <= 3 * policy.maxInstances; ++round) {
        crashWhileRunning(entryA, kHarmlessRequest, instanceOf("e1", round));
        BOOST_TEST_REQUIRE((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Exclusive));
        entryA.recordStart(kHarmlessRequest, instanceOf("e2"));
        entryA.recordFinish(kHarmlessRequest, instanceOf("e2"), RunOutcome::Succeeded, kNow);
        BOOST_TEST_REQUIRE((ruleFor(entryA, kHarmlessRequest) == DispatchRule::Unrestricted));
    }
}

BOOST_AUTO_TEST_CASE(fingerprints_distinguish_path_and_body)
{
    BOOST_TEST((fingerprintOf("ab", "c") != fingerprintOf("a", "bc")));
    BOOST_TEST((fingerprintOf("a\n", "b") != fingerprintOf("a", "\nb")));
    BOOST_TEST((fingerprintOf("a", "b") == fingerprintOf("a", "b")));
}

BOOST_AUTO_TEST_SUITE_END()
