// Tests which requests, and which parts of them, are suspended and quarantined because endpoints
// crash, and what entries do about it.

#define BOOST_TEST_MODULE crash_attribution
#include "core/quarantine/crash_attribution.h"

#include "core/quarantine/crash_watch.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const ServiceName kService("llm");
constexpr RequestTrait kDeadly{0xdead};
constexpr RequestTrait kCommon{1}; // in all requests
constexpr RequestTrait kOther{2};
// Own traits of requests.
constexpr RequestTrait kFirst{0x101};
constexpr RequestTrait kSecond{0x102};

constexpr Duration kHeartbeat = 1200ms;
constexpr Duration kVerification =
        CrashAttribution::kMissedHeartbeats * kHeartbeat + CrashAttribution::kHeartbeatDelay;

// A leader that hears of crashes and answers, at the same times as the entries.
struct Leader
{
    void crash(const std::string &endpoint, std::vector<RequestTrait> traits)
    {
        attribution.recordCrash({EndpointId(endpoint), 1, kService, std::move(traits)}, now);
    }

    // Two requests with the parts crash an endpoint in each of two attempts.
    void crashFourTimes(const std::vector<RequestTrait> &parts)
    {
        const std::pair<const char *, RequestTrait> crashes[] = {
                {"i-1", kFirst}, {"i-2", kFirst}, {"i-3", kSecond}, {"i-4", kSecond}};
        for (const auto &[endpoint, own] : crashes) {
            std::vector<RequestTrait> traits = parts;
            traits.push_back(own);
            crash(endpoint, traits);
        }
    }

    // One request crashes an endpoint in each of four attempts.
    void repeatFourTimes(const std::vector<RequestTrait> &traits)
    {
        for (const char *endpoint : {"i-1", "i-2", "i-3", "i-4"})
            crash(endpoint, traits);
    }

    void heartbeat(const std::string &endpoint)
    {
        attribution.recordHeartbeat(EndpointId(endpoint), 1, now);
    }

    // Has the request quarantined, and moves the time on to that.
    void quarantineRequest(RequestTrait own)
    {
        repeatFourTimes({own});
        now += kVerification;
        BOOST_TEST((quarantined() == std::vector{own}));
    }

    void answer(const std::vector<RequestTrait> &traits, std::uint32_t count)
    {
        CrashReport report;
        report.answered = traits;
        report.answers = {{kService, count}};
        attribution.recordAnswers(report, now);
    }

    [[nodiscard]] std::vector<RequestTrait> quarantined()
    {
        (void)attribution.update(now);
        std::vector<RequestTrait> traits;
        for (const QuarantinedTrait &item : attribution.state(now).quarantined)
            traits.push_back(item.trait);
        return traits;
    }

    CrashAttribution attribution{kHeartbeat};
    Instant now = kStart;
};

const std::uint32_t kEnoughAnswers = CrashAttribution::kMinOtherAnswers;

} // namespace

// Guards against requests with a part that crashes endpoints being sent to one endpoint after
// another.
BOOST_AUTO_TEST_CASE(part_that_is_in_all_crashes_and_in_no_answer_is_quarantined)
{
    Leader leader;
    leader.crashFourTimes({kCommon, kDeadly, RequestTrait{77}});
    BOOST_TEST(leader.quarantined().empty());
    leader.now += 100ms;
    leader.answer({kCommon}, kEnoughAnswers);
    leader.now += CrashAttribution::kConfirmation - 101ms;
    leader.answer({RequestTrait{77}}, 1);
    BOOST_TEST(leader.quarantined().empty());
    leader.now += 1ms;
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    leader.now += CrashAttribution::kQuarantineTime;
    BOOST_TEST(leader.quarantined().empty());
}

// A request is tried on several endpoints, and the client repeats it.
BOOST_AUTO_TEST_CASE(attempts_of_one_request_and_repeated_crashes_of_one_endpoint_are_too_few)
{
    Leader leader;
    for (const char *endpoint : {"i-1", "i-2", "i-3", "i-3", "i-3"})
        leader.crash(endpoint, {kDeadly});
    leader.answer({}, kEnoughAnswers);
    leader.now += 5s;
    BOOST_TEST(leader.quarantined().empty());
}

// When all endpoints of a service are down, every request is in flight on one that crashes.
BOOST_AUTO_TEST_CASE(nothing_is_quarantined_while_a_service_answers_no_request)
{
    Leader leader;
    leader.crashFourTimes({kCommon});
    CrashReport otherService;
    otherService.answers = {{ServiceName("ledger"), 1000}};
    leader.attribution.recordAnswers(otherService, leader.now);
    leader.now += 10s;
    leader.answer({}, kEnoughAnswers - 1);
    BOOST_TEST(leader.quarantined().empty());
    leader.answer({kCommon}, 1);
    BOOST_TEST(leader.quarantined().empty());
}

// Rare sound parts that occur together with the deadly one are not blamed for the same crashes.
BOOST_AUTO_TEST_CASE(crashes_with_a_quarantined_part_are_no_evidence_against_others)
{
    Leader leader;
    leader.crashFourTimes({kOther, kDeadly});
    leader.crash("i-5", {kDeadly, kFirst});
    leader.answer({}, kEnoughAnswers);
    leader.now += 2s;
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    BOOST_TEST(leader.attribution.state(leader.now).watched.empty());
}

BOOST_AUTO_TEST_CASE(watched_parts_and_changes_are_published)
{
    Leader leader;
    BOOST_TEST(!leader.attribution.update(leader.now));
    leader.crash("i-1", {kCommon});
    BOOST_TEST(!leader.attribution.update(leader.now));
    leader.crash("i-2", {kCommon});
    BOOST_TEST(leader.attribution.update(leader.now));
    BOOST_TEST((leader.attribution.state(leader.now).watched == std::vector{kCommon}));
    BOOST_TEST(!leader.attribution.update(leader.now));
    leader.answer({kCommon}, 1);
    BOOST_TEST(leader.attribution.update(leader.now));
    BOOST_TEST(leader.attribution.state(leader.now).watched.empty());
    leader.now += 1ms;
    leader.crash("i-3", {kCommon});
    leader.crash("i-4", {kCommon});
    BOOST_TEST(leader.attribution.update(leader.now));
    leader.now += CrashAttribution::kRequestWindow;
    BOOST_TEST(leader.attribution.update(leader.now));
    BOOST_TEST(leader.attribution.state(leader.now).watched.empty());
}

// A new leader would otherwise let the requests through until they have crashed endpoints again.
BOOST_AUTO_TEST_CASE(new_leader_learns_quarantine_from_entries)
{
    CrashWatch watch;
    watch.apply({{}, {{kDeadly, 8min}}, {}, {}}, kStart);
    const CrashReport report = watch.takeReport(kStart + 1min);
    BOOST_REQUIRE(report.quarantined.size() == 1U);
    BOOST_TEST((report.quarantined.front() == QuarantinedTrait{kDeadly, 7min}));
    // Reported again only after the interval.
    BOOST_TEST(watch.takeReport(kStart + 1min + 999ms).isEmpty());
    Leader leader;
    leader.attribution.recordQuarantined(report.quarantined.front(), leader.now);
    BOOST_TEST(leader.attribution.update(leader.now));
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    leader.attribution.recordQuarantined(report.quarantined.front(), leader.now);
    BOOST_TEST(!leader.attribution.update(leader.now));
}

BOOST_AUTO_TEST_CASE(entry_reports_crashes_and_answers_to_watched_parts_once)
{
    CrashWatch watch;
    BOOST_TEST(!watch.isActive());
    watch.recordAnswered(kService, {kCommon});
    BOOST_TEST(watch.takeReport(kStart).isEmpty());
    const EndpointCrash crash{EndpointId("i-1"), 5, kService, {kCommon, kDeadly}};
    watch.recordCrash(crash, kStart);
    watch.apply({{kCommon}, {}, {}, {}}, kStart);
    BOOST_TEST(watch.isActive());
    watch.recordAnswered(kService, {kCommon, kOther});
    watch.recordAnswered(kService, {kOther});
    const CrashReport report = watch.takeReport(kStart);
    BOOST_TEST((report.crashes == std::vector{crash}));
    BOOST_TEST((report.answered == std::vector{kCommon}));
    BOOST_TEST((report.answers == std::vector{ServiceAnswers{kService, 2}}));
    BOOST_TEST(watch.takeReport(kStart).isEmpty());
}

BOOST_AUTO_TEST_CASE(entry_refuses_quarantined_parts_until_the_quarantine_ends)
{
    CrashWatch watch;
    watch.apply({{}, {{kDeadly, 1min}}, {}, {}}, kStart);
    const QuarantinedTrait expected{kDeadly, 1min};
    BOOST_TEST((watch.checkQuarantine({kCommon, kDeadly}, kStart) == expected));
    BOOST_TEST(!watch.checkQuarantine({kCommon}, kStart).has_value());
    // The state of a leader that does not know it yet doesn't lift it.
    watch.apply({}, kStart);
    BOOST_TEST(watch.checkQuarantine({kDeadly}, kStart + 59s).has_value());
    BOOST_TEST(!watch.checkQuarantine({kDeadly}, kStart + 1min).has_value());
}

BOOST_AUTO_TEST_CASE(requests_are_compared_as_a_whole_and_by_the_parts_of_their_prompts)
{
    const ClientAccountId account("duka");
    const auto traits = traitsOf({}, account, "/calls/1", "body");
    BOOST_REQUIRE(traits.size() == 1U);
    BOOST_TEST((traitsOf({}, account, "/calls/1", "body") == traits));
    BOOST_TEST((traitsOf({}, account, "/calls/1", "other") != traits));
    BOOST_TEST((traitsOf({}, ClientAccountId("mall"), "/calls/1", "body") != traits));
    const std::vector<PromptPart> prompt{{1, 10}, {0xdead, 5}};
    const auto withPrompt = traitsOf(prompt, account, "/calls/1", "body");
    BOOST_REQUIRE(withPrompt.size() == 3U);
    BOOST_TEST((withPrompt[0] == kCommon && withPrompt[1] == kDeadly));
    BOOST_TEST((traitsOf({{1, 10}, {3, 5}}, account, "/calls/1", "body")[2] != withPrompt[2]));
    BOOST_TEST((traitsOf(prompt, account, "/calls/2", "body")[2] != withPrompt[2]));
}

// Guards against a request that goes on crashing the endpoints of a service with little traffic, as
// answers to other requests were needed to confirm the suspicion (review/7).
BOOST_AUTO_TEST_CASE(request_that_comes_again_is_suspended_at_once_and_then_quarantined)
{
    Leader leader;
    for (const char *endpoint : {"i-1", "i-2", "i-3"})
        leader.crash(endpoint, {kDeadly});
    BOOST_TEST(leader.quarantined().empty());
    leader.crash("i-4", {kDeadly});
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    const QuarantineState state = leader.attribution.state(leader.now);
    BOOST_TEST((state.quarantined.front().remaining
                == kVerification + CrashAttribution::kSuspensionMargin));
    leader.now += kVerification;
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    BOOST_TEST((leader.attribution.state(leader.now).quarantined.front().remaining
                == CrashAttribution::kQuarantineTime));
}

// Guards against requests that crash endpoints without end because they arrive so rarely.
BOOST_AUTO_TEST_CASE(request_that_comes_again_rarely_is_suspended)
{
    Leader leader;
    for (const char *endpoint : {"i-1", "i-2", "i-3", "i-4"}) {
        BOOST_TEST(leader.quarantined().empty());
        leader.crash(endpoint, {kDeadly});
        leader.now += 100s;
    }
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
}

// Guards against sound requests being refused because connections were reset: cut links and stopped
// relays reset them while the endpoints go on.
BOOST_AUTO_TEST_CASE(heartbeats_of_the_endpoints_end_a_suspension)
{
    Leader leader;
    leader.repeatFourTimes({kCommon});
    leader.heartbeat("i-1"); // may have been sent before
    BOOST_TEST((leader.quarantined() == std::vector{kCommon}));
    CrashWatch watch;
    watch.apply(leader.attribution.state(leader.now), leader.now);
    leader.now += CrashAttribution::kHeartbeatDelay;
    leader.heartbeat("i-1");
    BOOST_TEST(leader.quarantined().empty());
    BOOST_TEST(watch.checkQuarantine({kCommon}, leader.now).has_value());
    watch.apply(leader.attribution.state(leader.now), leader.now);
    BOOST_TEST(!watch.checkQuarantine({kCommon}, leader.now).has_value());
    // What another entry still reports doesn't bring it back.
    leader.attribution.recordQuarantined({kCommon, 5min}, leader.now);
    BOOST_TEST(leader.quarantined().empty());
    leader.now += kVerification;
    BOOST_TEST(leader.quarantined().empty());
}

BOOST_AUTO_TEST_CASE(heartbeats_of_the_next_incarnation_end_no_suspension)
{
    Leader leader;
    leader.repeatFourTimes({kDeadly});
    leader.now += 1s;
    leader.attribution.recordHeartbeat(EndpointId("i-1"), 2, leader.now);
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
}

BOOST_AUTO_TEST_CASE(answer_ends_a_suspension)
{
    Leader leader;
    leader.repeatFourTimes({kCommon});
    BOOST_TEST((leader.quarantined() == std::vector{kCommon}));
    leader.answer({kCommon}, 1);
    BOOST_TEST(leader.quarantined().empty());
}

// Guards against sound requests being refused that were in flight on the endpoints that another
// request crashed.
BOOST_AUTO_TEST_CASE(requests_beside_a_deadly_one_are_not_suspended)
{
    Leader leader;
    for (const char *endpoint : {"i-1", "i-2", "i-3", "i-4"}) {
        leader.crash(endpoint, {kOther});
        leader.crash(endpoint, {kDeadly});
    }
    leader.crash("i-5", {kDeadly});
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    BOOST_TEST(!leader.attribution.update(leader.now));
    leader.now += kVerification;
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
}

// Guards against all requests of a kind being refused because one of them is deadly, whose prompt
// begins like theirs (review/9).
BOOST_AUTO_TEST_CASE(repetitions_of_one_request_are_no_evidence_against_its_shared_parts)
{
    Leader leader;
    leader.repeatFourTimes({kCommon, kDeadly, kFirst});
    leader.crash("i-5", {kCommon, kDeadly, kFirst});
    leader.now += 5s;
    leader.answer({kOther}, kEnoughAnswers);
    BOOST_TEST((leader.quarantined() == std::vector{kFirst}));
}

// Suspended requests still count against the part that makes them deadly.
BOOST_AUTO_TEST_CASE(part_of_several_suspended_requests_is_quarantined)
{
    Leader leader;
    leader.repeatFourTimes({kDeadly, kFirst});
    leader.crash("i-5", {kDeadly, kSecond});
    leader.now += 2s;
    leader.answer({kOther}, kEnoughAnswers);
    const std::vector<RequestTrait> quarantined = leader.quarantined();
    BOOST_TEST((std::find(quarantined.begin(), quarantined.end(), kDeadly) != quarantined.end()));
}

// Guards against quarantines that hold a sound request for long, and against trials by which a
// deadly one crashes many endpoints: one entry lets one request through, at growing intervals.
BOOST_AUTO_TEST_CASE(quarantined_request_is_tried_again_at_growing_intervals)
{
    Leader leader;
    leader.quarantineRequest(kDeadly);
    const auto granted = [&] { return leader.attribution.grantTrials({kDeadly}, leader.now); };
    leader.now += CrashAttribution::kFirstTrial - 1ms;
    BOOST_TEST(granted().empty());
    leader.now += 1ms;
    BOOST_TEST((granted() == std::vector{kDeadly}));
    BOOST_TEST(granted().empty()); // only one entry at a time
    leader.now += CrashAttribution::kTrialTime;
    BOOST_TEST((granted() == std::vector{kDeadly}));
    leader.crash("i-7", {kDeadly});
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    for (Duration passed{0};
         passed < CrashAttribution::kFirstTrial * CrashAttribution::kTrialGrowth; passed += 1min) {
        BOOST_TEST(granted().empty());
        leader.now += 1min;
    }
    BOOST_TEST((granted() == std::vector{kDeadly}));
    leader.answer({kDeadly}, 1);
    BOOST_TEST(leader.quarantined().empty());
    BOOST_TEST((leader.attribution.state(leader.now).lifted == std::vector{kDeadly}));
}

// Guards against a trial whose connection was reset keeping a sound request quarantined for long.
BOOST_AUTO_TEST_CASE(quarantined_request_is_tried_again_after_a_reset_that_was_no_crash)
{
    Leader leader;
    leader.quarantineRequest(kCommon);
    leader.now += CrashAttribution::kFirstTrial;
    BOOST_TEST((leader.attribution.grantTrials({kCommon}, leader.now) == std::vector{kCommon}));
    leader.crash("i-7", {kCommon});
    BOOST_TEST(leader.attribution.grantTrials({kCommon}, leader.now).empty());
    leader.now += kHeartbeat;
    leader.heartbeat("i-7");
    BOOST_TEST((leader.attribution.grantTrials({kCommon}, leader.now) == std::vector{kCommon}));
    leader.answer({kCommon}, 1);
    BOOST_TEST(leader.quarantined().empty());
}

// Guards against four crashes after each quarantine that has ended.
BOOST_AUTO_TEST_CASE(single_crash_suffices_after_a_quarantine_has_ended)
{
    Leader leader;
    leader.quarantineRequest(kDeadly);
    leader.now += CrashAttribution::kQuarantineTime;
    BOOST_TEST(leader.quarantined().empty());
    leader.crash("i-7", {kDeadly});
    BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
}

BOOST_AUTO_TEST_CASE(quarantine_lasts_while_requests_arrive)
{
    Leader leader;
    leader.quarantineRequest(kDeadly);
    for (int minute = 0; minute < 60; ++minute) {
        leader.now += 1min;
        (void)leader.attribution.grantTrials({kDeadly}, leader.now);
        BOOST_TEST((leader.quarantined() == std::vector{kDeadly}));
    }
}

// Guards against a sound request that many callers send at once being suspended when several
// endpoints crash together: its other attempts are answered before the leader watches it.
BOOST_AUTO_TEST_CASE(entry_reports_answers_to_requests_that_were_in_flight_on_a_crash)
{
    CrashWatch watch;
    watch.recordCrash({EndpointId("i-1"), 5, kService, {kCommon}}, kStart);
    BOOST_TEST(watch.isActive());
    watch.recordAnswered(kService, {kCommon});
    const CrashReport report = watch.takeReport(kStart);
    BOOST_TEST((report.answered == std::vector{kCommon}));
    BOOST_TEST(report.answers.empty());
    Leader leader;
    leader.repeatFourTimes({kCommon});
    leader.attribution.recordAnswers(report, leader.now);
    BOOST_TEST(leader.quarantined().empty());
    (void)watch.takeReport(kStart + CrashWatch::kCrashMemory);
    BOOST_TEST(!watch.isActive());
}

BOOST_AUTO_TEST_CASE(entry_uses_a_trial_once_and_reports_refusals)
{
    CrashWatch watch;
    watch.apply({{}, {{kDeadly, 1min}}, {}, {}}, kStart);
    BOOST_TEST(watch.checkQuarantine({kDeadly}, kStart).has_value());
    BOOST_TEST((watch.takeReport(kStart).refused == std::vector{kDeadly}));
    BOOST_TEST(watch.takeReport(kStart).refused.empty());
    watch.apply({{kDeadly}, {}, {}, {kDeadly}}, kStart);
    BOOST_TEST(!watch.checkQuarantine({kDeadly}, kStart).has_value());
    BOOST_TEST(watch.checkQuarantine({kDeadly}, kStart).has_value());
    watch.apply({{kDeadly}, {}, {}, {kDeadly}}, kStart);
    BOOST_TEST(watch.checkQuarantine({kDeadly}, kStart + CrashWatch::kTrialTime).has_value());
}
