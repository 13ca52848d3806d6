// Unit tests of endpoint monitoring, endpoint selection and model choice.

#define BOOST_TEST_MODULE endpoint_picker
#include "core/balancing/endpoint_pick.h"
#include "core/site/work_exchange.h"
#include "core/versions/model_choice.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const DataCentreId kLocal("nairobi-a");
const DataCentreId kRemote("kisumu-a");

struct Fixture
{
    Fixture()
    {
        for (const char *id : {"a", "b", "c"})
            add(id, kLocal);
    }

    void add(const std::string &id, const DataCentreId &dataCentre)
    {
        EndpointRecord record;
        record.id = EndpointId(id);
        record.dataCentre = dataCentre;
        record.slots = 64;
        records.push_back(std::make_unique<EndpointRecord>(record));
        candidates.push_back(records.back().get());
    }

    // Selects the endpoint of a request with `prompt`, using the cache estimates of `index`.
    std::string pickForPrompt()
    {
        const ModelName model("m");
        const PromptMatch match = index.match(model, prompt, kStart);
        return pick({.prompt = &prompt, .match = &match, .model = model});
    }

    std::string pick(const PickRequest &request)
    {
        const PickResult picked = picker.pick(candidates, request, monitor, kStart);
        return picked.endpoint ? picked.endpoint->id.value() : "none";
    }

    std::vector<std::unique_ptr<EndpointRecord>> records;
    std::vector<const EndpointRecord *> candidates;
    EndpointMonitor monitor;
    PromptIndex index;
    EndpointPicker picker{kLocal, {{kLocal, "nairobi"}, {kRemote, "kisumu"}}};
    std::vector<PromptPart> prompt{{1, 500}, {2, 4000}, {3, 600}};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(requests_with_shared_prompt_select_the_same_endpoint, Fixture)
{
    const std::string preferred = pickForPrompt();
    prompt.back().id = 99; // the last part is specific to another request
    BOOST_TEST(pickForPrompt() == preferred);
}

BOOST_FIXTURE_TEST_CASE(shared_prompts_are_distributed_over_endpoints, Fixture)
{
    std::set<std::string> selected;
    for (std::uint64_t partId = 10; partId < 40; ++partId) {
        prompt[1].id = partId;
        selected.insert(pickForPrompt());
    }
    BOOST_TEST(selected.size() == candidates.size());
}

BOOST_FIXTURE_TEST_CASE(prompt_is_sent_to_the_endpoint_that_cached_its_shared_parts, Fixture)
{
    const std::string first = pickForPrompt();
    const EndpointId other(first == "a" ? "b" : "a");
    // Another entry sent the prompt to another endpoint.
    PromptIndex remoteIndex;
    remoteIndex.recordSent(other, ModelName("m"), prompt, kStart);
    index.applyUpdates(remoteIndex.takeUpdates(), kStart);
    BOOST_TEST(pickForPrompt() == other.value());
    const PromptMatch match = index.match(ModelName("m"), prompt, kStart);
    BOOST_TEST(match.sharedTokens() == 4500);
    BOOST_TEST(match.cachedTokens(other) == 4500);
    BOOST_TEST(match.cachedTokens(EndpointId(first)) == 0);
    // Each model has its own cache.
    BOOST_TEST(index.match(ModelName("n"), prompt, kStart).maxCachedTokens() == 0);
    // Another prompt shares only its first part.
    prompt[1].id = 77;
    BOOST_TEST(index.match(ModelName("m"), prompt, kStart).cachedTokens(other) == 500);
    BOOST_TEST(remoteIndex.takeUpdates().empty());
}

BOOST_FIXTURE_TEST_CASE(only_long_shared_prompts_are_sent_to_another_region, Fixture)
{
    add("far", kRemote);
    index.recordSent(EndpointId("far"), ModelName("m"), prompt, kStart);
    BOOST_TEST(pickForPrompt() == "far");
    prompt[1] = {8, 50};
    prompt[0] = {9, 100};
    index.recordSent(EndpointId("far"), ModelName("m"), prompt, kStart);
    BOOST_TEST(pickForPrompt() != "far");
}

BOOST_FIXTURE_TEST_CASE(long_prompt_avoids_endpoints_with_many_running_requests, Fixture)
{
    const std::string first = pickForPrompt();
    for (int i = 0; i < 40; ++i)
        monitor.recordDispatch(EndpointId(first), 0);
    BOOST_TEST(pickForPrompt() != first);
}

BOOST_FIXTURE_TEST_CASE(endpoint_with_prefill_backlog_is_skipped, Fixture)
{
    const std::string preferred = pickForPrompt();
    monitor.recordDispatch(EndpointId(preferred), 30'000);
    BOOST_TEST(pickForPrompt() != preferred);
    monitor.recordPrefillDone(EndpointId(preferred), 30'000);
    BOOST_TEST(pickForPrompt() == preferred);
}

BOOST_FIXTURE_TEST_CASE(work_of_other_entries_counts_as_load, Fixture)
{
    const std::string preferred = pickForPrompt();
    WorkExchange exchange(1s);
    exchange.receive(VmId("other"), {{{EndpointId(preferred), 20, 30'000}}}, kStart);
    BOOST_TEST(exchange.workOfOthers(VmId("other"), kStart).work.empty());
    monitor.applyRemoteWork(exchange.workOfOthers(VmId("own"), kStart), kStart);
    BOOST_TEST(pickForPrompt() != preferred);
    BOOST_TEST(monitor.estimatedLoad(EndpointId(preferred), kStart) == 20);
    BOOST_TEST(exchange.workOfOthers(VmId("own"), kStart + 2s).work.empty());
}

BOOST_FIXTURE_TEST_CASE(plain_requests_stay_local_until_the_local_endpoint_is_full, Fixture)
{
    candidates.clear();
    add("near", kLocal);
    add("far", kRemote);
    records.back()->slots = 6;
    records[records.size() - 2]->slots = 6;
    BOOST_TEST(pick({}) == "near");
    for (int i = 0; i < 12; ++i)
        monitor.recordDispatch(EndpointId("near"), 0);
    BOOST_TEST(pick({}) == "far");
}

BOOST_AUTO_TEST_CASE(failed_endpoint_has_cooldown_and_is_probed_by_one_request)
{
    EndpointMonitor monitor;
    const EndpointId id("a");
    monitor.recordFailure(id, true, kStart);
    BOOST_TEST(!monitor.isUsable(id, kStart + 300ms));
    BOOST_TEST(monitor.isUsable(id, kStart + 500ms));
    monitor.recordDispatch(id, 0);
    BOOST_TEST(!monitor.isUsable(id, kStart + 500ms));
    monitor.recordSuccess(id, kStart + 600ms);
    BOOST_TEST(monitor.isUsable(id, kStart + 600ms));
}

// Regression test (scenario scale-1 of the large site): a request was sent to nine endpoints that
// had crashed together, because each entry had to detect every crash itself.
BOOST_AUTO_TEST_CASE(connection_refused_to_another_entry_starts_short_cooldown)
{
    EndpointMonitor sender;
    EndpointMonitor monitor;
    const EndpointId id("a");
    sender.recordConnectionRefusal(id);
    const std::vector<EndpointId> refusals = sender.takeConnectionRefusals();
    BOOST_TEST(sender.takeConnectionRefusals().empty());
    for (int entry = 0; entry < 10; ++entry)
        monitor.applyConnectionRefusals(refusals, kStart);
    BOOST_TEST(!monitor.isUsable(id, kStart + 300ms));
    BOOST_TEST(monitor.isUsable(id, kStart + 400ms));
    monitor.recordSuccess(id, kStart + 500ms);
    BOOST_TEST(monitor.isUsable(id, kStart + 500ms));
}

// Regression test (scenario cut-workers): endpoints that had restarted behind a network partition
// were probed every half second.
BOOST_AUTO_TEST_CASE(replaced_endpoint_has_longest_cooldown)
{
    EndpointMonitor monitor;
    const EndpointId id("a");
    monitor.recordReplacement(id, kStart);
    BOOST_TEST(!monitor.isUsable(id, kStart + 4s));
    BOOST_TEST(monitor.isUsable(id, kStart + 5s));
}

BOOST_FIXTURE_TEST_CASE(slow_endpoint_is_skipped, Fixture)
{
    const std::string preferred = pickForPrompt();
    for (int i = 0; i < 20; ++i)
        monitor.recordRelativeLatency(EndpointId(preferred), 5);
    BOOST_TEST(pickForPrompt() != preferred);
}

BOOST_AUTO_TEST_CASE(single_failed_answer_starts_no_cooldown)
{
    EndpointMonitor monitor;
    const EndpointId id("a");
    monitor.recordFailure(id, false, kStart);
    BOOST_TEST(monitor.isUsable(id, kStart));
    monitor.recordFailure(id, false, kStart);
    BOOST_TEST(!monitor.isUsable(id, kStart));
}

BOOST_AUTO_TEST_CASE(low_confidence_answer_is_replaced_only_within_time_limits)
{
    const ModelChooser chooser;
    Route route;
    route.models = {ModelName("s"), ModelName("m"), ModelName("l")};
    route.latencyObjective = 1s;
    BOOST_TEST(chooser.initialModel(route) == 0U);
    BOOST_TEST(chooser.nextModel(route, 0, 10) == 2U);
    BOOST_TEST(chooser.nextModel(route, 0, 50) == 1U);
    BOOST_TEST(chooser.nextModel(route, 1, 50) == 2U);
    const auto accepts = [&](std::size_t model, std::uint32_t confidence, Duration firstByte) {
        return chooser.acceptsAnswer(route, model, confidence, {firstByte, firstByte + 2s, 10s});
    };
    BOOST_TEST(!accepts(0, 35, 100ms));
    BOOST_TEST(accepts(0, 80, 100ms));
    BOOST_TEST(accepts(0, 35, 900ms));
    BOOST_TEST(accepts(0, 0, 1200ms));
    BOOST_TEST(accepts(2, 0, 100ms));
    // Under load a prompt that delays others is not processed again; a short prompt is.
    BOOST_TEST(chooser.acceptsAnswer(route, 0, 35, {100ms, 2s, 10s, 400, 400}));
    BOOST_TEST(!chooser.acceptsAnswer(route, 0, 35, {100ms, 2s, 10s, 30, 400}));
    // A long answer of the larger model would not be complete before the deadline.
    BOOST_TEST(chooser.acceptsAnswer(route, 0, 0, {100ms, 9s, 10s}));
}
