// Tests which traits of requests are quarantined because endpoints crash, and what entries do about
// it.

#define BOOST_TEST_MODULE crash_attribution
#include "core/quarantine/crash_attribution.h"

#include "core/quarantine/crash_watch.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const ServiceName kService("llm");
constexpr RequestTrait kDeadly{0xdead};
constexpr RequestTrait kCommon{1}; // in all requests
constexpr RequestTrait kOther{2};

// A leader that hears of crashes and answers, at the same times as the entries.
struct Leader
{
    void crash(const std::string &endpoint, std::vector<RequestTrait> traits)
    {
        attribution.recordCrash({EndpointId(endpoint), 1, kService, std::move(traits)}, now);
    }

    // Two requests with the traits crash an endpoint in each of four attempts.
    void crashFourTimes(const std::vector<RequestTrait> &traits)
    {
        for (const char *endpoint : {"i-1", "i-2", "i-3", "i-4"})
            crash(endpoint, traits);
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

    CrashAttribution attribution;
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
    leader.crash("i-5", {kDeadly});
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
    leader.now += CrashAttribution::kCrashWindow;
    BOOST_TEST(leader.attribution.update(leader.now));
    BOOST_TEST(leader.attribution.state(leader.now).watched.empty());
}

// A new leader would otherwise let the requests through until they have crashed endpoints again.
BOOST_AUTO_TEST_CASE(new_leader_learns_quarantine_from_entries)
{
    CrashWatch watch;
    watch.apply({{}, {{kDeadly, 8min}}}, kStart);
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
    watch.recordCrash(crash);
    watch.apply({{kCommon}, {}}, kStart);
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
    watch.apply({{}, {{kDeadly, 1min}}}, kStart);
    BOOST_TEST((watch.findQuarantined({kCommon, kDeadly}, kStart) == kDeadly));
    BOOST_TEST(!watch.findQuarantined({kCommon}, kStart).has_value());
    // The state of a leader that does not know it yet doesn't lift it.
    watch.apply({}, kStart);
    BOOST_TEST(watch.findQuarantined({kDeadly}, kStart + 59s).has_value());
    BOOST_TEST(!watch.findQuarantined({kDeadly}, kStart + 1min).has_value());
}

BOOST_AUTO_TEST_CASE(requests_without_a_prompt_are_compared_as_a_whole)
{
    const ClientAccountId account("duka");
    const auto traits = traitsOf({}, account, "/calls/1", "body");
    BOOST_REQUIRE(traits.size() == 1U);
    BOOST_TEST((traitsOf({}, account, "/calls/1", "body") == traits));
    BOOST_TEST((traitsOf({}, account, "/calls/1", "other") != traits));
    BOOST_TEST((traitsOf({}, ClientAccountId("mall"), "/calls/1", "body") != traits));
    const std::vector<PromptPart> prompt{{1, 10}, {0xdead, 5}};
    BOOST_TEST((traitsOf(prompt, account, "/calls/1", "body") == std::vector{kCommon, kDeadly}));
}
