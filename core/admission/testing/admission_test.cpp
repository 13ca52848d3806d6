// Unit tests of admission: order, limits, refusals and cancellation.

#define BOOST_TEST_MODULE admission
#include "core/admission/admission.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};
const PoolId kPool("returns");

FleetConfig config()
{
    FleetConfig result;
    ClientAccount duka{.id = ClientAccountId("duka")};
    ClientAccount chain{.id = ClientAccountId("chain")};
    chain.maxConcurrent = 2;
    ClientAccount metered{.id = ClientAccountId("metered")};
    metered.tokensPerMinute = 600;
    result.accounts = {duka, chain, metered};
    return result;
}

AdmissionRequest request(const std::string &id, const char *account, Rank rank)
{
    return AdmissionRequest{RequestId(id), ClientAccountId(account), kPool, rank, 100};
}

struct Fixture
{
    Admission<> admission{VmId("a"), Incarnation(1)};
    Instant now = kStart;

    Fixture() { admission.configure(config(), now); }

    Admission<>::Actions submit(const AdmissionRequest &request)
    {
        return admission.step(RequestArrived{request}, now);
    }
    Admission<>::Actions finish(const char *id, std::uint64_t tokens = 100)
    {
        return admission.step(RequestFinished{RequestId(id), tokens}, now);
    }
    void setSlots(std::uint32_t count) { admission.step(CapacityChanged{kPool, count}, now); }
};

// Id of the dispatched request; empty unless exactly one request was dispatched.
std::string dispatched(const Admission<>::Actions &actions)
{
    if (actions.size() != 1 || !std::holds_alternative<DispatchRequest>(actions[0]))
        return "";
    return std::get<DispatchRequest>(actions[0]).id.value();
}

std::optional<RefuseRequest> refused(const Admission<>::Actions &actions)
{
    if (actions.size() != 1 || !std::holds_alternative<RefuseRequest>(actions[0]))
        return std::nullopt;
    return std::get<RefuseRequest>(actions[0]);
}

bool isRefusedFor(const Admission<>::Actions &actions, RefusalReason reason)
{
    const std::optional<RefuseRequest> found = refused(actions);
    return found && found->reason == reason;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(a_free_slot_goes_to_the_most_urgent_rank, Fixture)
{
    setSlots(1);
    BOOST_TEST(dispatched(submit(request("1", "duka", Rank::Background))) == "1");
    BOOST_TEST(submit(request("2", "duka", Rank::Background)).empty());
    BOOST_TEST(submit(request("3", "duka", Rank::Normal)).empty());
    BOOST_TEST(submit(request("4", "duka", Rank::Urgent)).empty());
    BOOST_TEST(dispatched(finish("1")) == "4");
    BOOST_TEST(finish("1").empty());
    BOOST_TEST(dispatched(finish("4")) == "3");
}

BOOST_FIXTURE_TEST_CASE(cancelled_request_is_never_dispatched, Fixture)
{
    setSlots(1);
    submit(request("1", "duka", Rank::Normal));
    submit(request("2", "duka", Rank::Normal));
    admission.step(AdmissionCancelled{RequestId("2")}, now);
    admission.step(AdmissionCancelled{RequestId("1")}, now);
    BOOST_TEST(finish("1").empty());
    BOOST_TEST(!admission.nextDeadline().has_value());
    BOOST_TEST(admission.counters().waiting[1] == 0U);
}

BOOST_FIXTURE_TEST_CASE(waiting_request_is_refused_once_at_queue_timeout_or_deadline, Fixture)
{
    submit(request("1", "duka", Rank::Urgent));
    AdmissionRequest shortDeadline = request("2", "duka", Rank::Urgent);
    shortDeadline.deadline = now + 100ms;
    submit(shortDeadline);
    BOOST_TEST((admission.nextDeadline() == now + 100ms));
    now += 100ms;
    const auto deadlineRefusal = refused(admission.step(AdmissionTick{}, now));
    BOOST_TEST_REQUIRE(deadlineRefusal.has_value());
    BOOST_TEST((deadlineRefusal->error == CoreError::DeadlineExceeded));
    now = kStart + config().defaults.ranks[0].queueTimeout;
    const auto timeoutRefusal = refused(admission.step(AdmissionTick{}, now));
    BOOST_TEST_REQUIRE(timeoutRefusal.has_value());
    BOOST_TEST((timeoutRefusal->error == CoreError::Overloaded));
    BOOST_TEST((timeoutRefusal->retryAfter >= 1s));
    BOOST_TEST(admission.step(CapacityChanged{kPool, 10}, now).empty());
}

BOOST_FIXTURE_TEST_CASE(request_with_too_long_expected_wait_is_refused_on_arrival, Fixture)
{
    setSlots(1);
    submit(request("0", "duka", Rank::Urgent));
    now += 1s;
    finish("0"); // the service rate is now 100 tokens per second
    submit(request("1", "duka", Rank::Urgent));
    BOOST_TEST(submit(request("2", "duka", Rank::Urgent)).empty());
    BOOST_TEST(submit(request("3", "duka", Rank::Urgent)).empty());
    BOOST_TEST(submit(request("4", "duka", Rank::Urgent)).empty());
    BOOST_TEST(
            isRefusedFor(submit(request("5", "duka", Rank::Urgent)), RefusalReason::WaitTooLong));
    AdmissionRequest shortDeadline = request("6", "duka", Rank::Urgent);
    shortDeadline.deadline = now + 500ms;
    const auto deadlineRefusal = refused(submit(shortDeadline));
    BOOST_TEST_REQUIRE(deadlineRefusal.has_value());
    BOOST_TEST((deadlineRefusal->retryAfter >= 1s));
    // The other account has no queued requests and is served after one request of the first.
    BOOST_TEST(submit(request("7", "chain", Rank::Urgent)).empty());
}

BOOST_FIXTURE_TEST_CASE(concurrency_limit_of_one_account_does_not_block_others, Fixture)
{
    setSlots(10);
    BOOST_TEST(dispatched(submit(request("1", "chain", Rank::Normal))) == "1");
    BOOST_TEST(dispatched(submit(request("2", "chain", Rank::Normal))) == "2");
    BOOST_TEST(submit(request("3", "chain", Rank::Urgent)).empty());
    BOOST_TEST(dispatched(submit(request("4", "duka", Rank::Background))) == "4");
    BOOST_TEST(dispatched(finish("1")) == "3");
}

BOOST_FIXTURE_TEST_CASE(concurrency_limit_counts_requests_on_other_entries, Fixture)
{
    setSlots(10);
    UsageExchange other(VmId("b"), Incarnation(1));
    const UsageKey key{kPool, ClientAccountId("chain"), Rank::Normal};
    other.addRunning(key, 2);
    admission.step(UsageReported{other.report()}, now);
    BOOST_TEST(submit(request("1", "chain", Rank::Normal)).empty());
    other.addRunning(key, -1);
    BOOST_TEST(dispatched(admission.step(UsageReported{other.report()}, now)) == "1");
    BOOST_TEST(submit(request("2", "chain", Rank::Normal)).empty());
    now += 1min;
    BOOST_TEST(admission.step(AdmissionTick{}, now).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(token_rate_counts_actual_tokens_of_all_entries, Fixture)
{
    setSlots(10);
    BOOST_TEST(dispatched(submit(request("1", "metered", Rank::Normal))) == "1");
    finish("1", 550);
    const auto rateRefusal = refused(submit(request("2", "metered", Rank::Normal)));
    BOOST_TEST_REQUIRE(rateRefusal.has_value());
    BOOST_TEST((rateRefusal->reason == RefusalReason::TokenRate));
    BOOST_TEST((rateRefusal->retryAfter == 5s)); // 50 tokens are missing at 10 per second
    now += 5s;
    BOOST_TEST(dispatched(submit(request("3", "metered", Rank::Normal))) == "3");
    now += 10s;
    UsageExchange other(VmId("b"), Incarnation(1));
    other.addTokens(UsageKey{kPool, ClientAccountId("metered"), Rank::Urgent}, 1);
    admission.step(UsageReported{other.report()}, now);
    BOOST_TEST(
            isRefusedFor(submit(request("4", "metered", Rank::Normal)), RefusalReason::TokenRate));
}

BOOST_FIXTURE_TEST_CASE(one_account_cannot_fill_the_queue_of_a_rank, Fixture)
{
    const std::uint32_t limit = config().defaults.ranks[1].queueLimit;
    std::uint32_t queued = 0;
    while (submit(request(std::to_string(queued), "duka", Rank::Normal)).empty())
        ++queued;
    BOOST_TEST(queued < limit);
    BOOST_TEST(isRefusedFor(submit(request("x", "duka", Rank::Normal)),
                            RefusalReason::AccountQueueFull));
    BOOST_TEST(submit(request("y", "chain", Rank::Normal)).empty());
}

BOOST_FIXTURE_TEST_CASE(duplicates_and_unknown_accounts_are_refused, Fixture)
{
    submit(request("1", "duka", Rank::Normal));
    BOOST_TEST(isRefusedFor(submit(request("1", "duka", Rank::Normal)), RefusalReason::Duplicate));
    BOOST_TEST(isRefusedFor(submit(request("2", "nobody", Rank::Normal)),
                            RefusalReason::UnknownAccount));
}
