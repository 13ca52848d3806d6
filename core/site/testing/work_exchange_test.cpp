// Sums of outstanding work over entries and control VMs.

#define BOOST_TEST_MODULE work_exchange
#include "core/site/work_exchange.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart{1h};

EndpointWork work(const std::string &id, std::uint32_t running, std::uint32_t tokens = 0)
{
    return {EndpointId(id), running, tokens};
}

std::uint32_t runningAt(const WorkReport &report, const std::string &id)
{
    std::uint32_t sum = 0;
    for (const EndpointWork &item : report.work)
        sum += item.id == EndpointId(id) ? item.running : 0;
    return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(entry_receives_the_work_of_all_others_but_its_own)
{
    WorkExchange exchange(1s);
    exchange.receive(VmId("a"), {{work("e", 3), work("f", 1)}}, kStart);
    exchange.receive(VmId("b"), {{work("e", 2)}}, kStart);
    exchange.receiveFromControlVm(VmId("c1"), {{work("e", 40), work("g", 7)}}, kStart);
    const WorkReport others = exchange.workOfOthers(VmId("a"), kStart);
    BOOST_TEST(runningAt(others, "e") == 42U);
    BOOST_TEST(runningAt(others, "f") == 0U);
    BOOST_TEST(runningAt(others, "g") == 7U);
}

// Guards against work that circulates between control VMs and is counted again with each round.
BOOST_AUTO_TEST_CASE(control_vms_receive_the_work_of_entries_only)
{
    WorkExchange exchange(1s);
    exchange.receive(VmId("a"), {{work("e", 3)}}, kStart);
    exchange.receiveFromControlVm(VmId("c1"), {{work("e", 40)}}, kStart);
    BOOST_TEST(runningAt(exchange.workOfEntries(kStart), "e") == 3U);
}

// Guards against the work of an entry that crashed or moved to another home counting for ever.
BOOST_AUTO_TEST_CASE(outdated_reports_stop_counting)
{
    WorkExchange exchange(1s);
    exchange.receive(VmId("a"), {{work("e", 3)}}, kStart);
    exchange.receiveFromControlVm(VmId("c1"), {{work("e", 5)}}, kStart);
    exchange.receive(VmId("b"), {{work("e", 2)}}, kStart + 900ms);
    BOOST_TEST(runningAt(exchange.workOfOthers(VmId("x"), kStart + 1s), "e") == 10U);
    BOOST_TEST(runningAt(exchange.workOfOthers(VmId("x"), kStart + 1100ms), "e") == 2U);
    BOOST_TEST(!exchange.isReporting(VmId("a")));
    BOOST_TEST(exchange.isReporting(VmId("b")));
}

// Guards against running sums that drift from the reports they stand for: repeated endpoints, empty
// work and endpoints that occur in one report only.
BOOST_AUTO_TEST_CASE(sums_equal_those_over_the_newest_reports)
{
    std::mt19937 random(3);
    const auto draw = [&](std::uint32_t limit) {
        return static_cast<std::uint32_t>(random() % limit);
    };
    WorkExchange exchange(1h);
    std::map<VmId, WorkReport> newest;
    for (int round = 0; round < 2000; ++round) {
        const VmId entry("v" + std::to_string(draw(12)));
        WorkReport report;
        for (std::uint32_t i = draw(6); i > 0; --i)
            report.work.push_back(work("e" + std::to_string(draw(9)), draw(4), draw(100)));
        exchange.receive(entry, report, kStart);
        newest[entry] = report;
        const WorkReport others = exchange.workOfOthers(entry, kStart);
        for (std::uint32_t endpoint = 0; endpoint < 9; ++endpoint) {
            const std::string id = "e" + std::to_string(endpoint);
            std::uint32_t expected = 0;
            for (const auto &[vm, item] : newest)
                expected += vm == entry ? 0 : runningAt(item, id);
            BOOST_REQUIRE(runningAt(others, id) == expected);
        }
    }
}
