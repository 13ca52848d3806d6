// Tests which relays the leader chooses for each entry, and which entries get new lists.

#define BOOST_TEST_MODULE relay_directory
#include "core/paths/relay_directory.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;
constexpr std::chrono::milliseconds kProbePeriod{400};
constexpr std::chrono::milliseconds kLifetime{1600};

const DataCentreId kA1("a1"); // region a
const DataCentreId kA2("a2");
const DataCentreId kB1("b1"); // region b
const DataCentreId kAlone("alone"); // without a region

VmId vm(const DataCentreId &dataCentre, int number)
{
    return VmId(fmt::format("{}-{}", dataCentre.value(), number));
}

// A directory whose connected entries probe each 400 ms.
class Site
{
public:
    void add(const DataCentreId &dataCentre, int count)
    {
        for (int number = 0; number < count; ++number) {
            directory.recordConnected(vm(dataCentre, number), dataCentre);
            isolated_[vm(dataCentre, number)] = false;
        }
    }

    void remove(const VmId &entry)
    {
        isolated_.erase(entry);
        directory.recordDisconnected(entry);
    }

    // The entry stays connected and doesn't probe any more.
    void silence(const VmId &entry) { isolated_.erase(entry); }

    void setIsolated(const VmId &entry, bool isolated)
    {
        isolated_[entry] = isolated;
        directory.recordProbe(entry, isolated, now);
    }

    // Advances by one probe period, in which each entry probes. Returns whose lists changed.
    std::vector<VmId> step()
    {
        now += kProbePeriod;
        for (const auto &[entry, isolated] : isolated_)
            directory.recordProbe(entry, isolated, now);
        directory.expire(now);
        return directory.update();
    }

    RelayDirectory directory{{{kA1, "a"}, {kA2, "a"}, {kB1, "b"}}, kLifetime};
    Instant now = kStart;

private:
    std::map<VmId, bool> isolated_;
};

// The number of the list's first entries that are in the data centre.
std::size_t leading(const std::vector<VmId> &relays, const DataCentreId &dataCentre)
{
    const auto isOther = [&](const VmId &relay) {
        return !relay.value().starts_with(dataCentre.value() + "-");
    };
    return std::find_if(relays.begin(), relays.end(), isOther) - relays.begin();
}

bool contains(const std::vector<VmId> &list, const VmId &entry)
{
    return std::find(list.begin(), list.end(), entry) != list.end();
}

} // namespace

// Guards against an entry that would connect to itself.
BOOST_AUTO_TEST_CASE(relays_are_distinct_and_never_the_entry_itself)
{
    Site site;
    site.add(kA1, 30);
    BOOST_TEST(site.step().size() == 30U);
    for (int number = 0; number < 30; ++number) {
        const std::vector<VmId> relays = site.directory.relaysOf(vm(kA1, number));
        BOOST_TEST(relays.size() == kMaxRelays);
        BOOST_TEST(std::set<VmId>(relays.begin(), relays.end()).size() == kMaxRelays);
        BOOST_TEST(!contains(relays, vm(kA1, number)));
    }
}

// Guards against traffic between data centres and regions while closer relays are left.
BOOST_AUTO_TEST_CASE(closer_relays_come_first)
{
    Site site;
    site.add(kB1, 20);
    site.add(kA2, 3);
    site.add(kA1, 3);
    (void)site.step();
    const std::vector<VmId> relays = site.directory.relaysOf(vm(kA1, 0));
    BOOST_REQUIRE(relays.size() == kMaxRelays);
    BOOST_TEST(leading(relays, kA1) == 2U);
    BOOST_TEST(leading({relays.begin() + 2, relays.end()}, kA2) == 3U);
    BOOST_TEST(leading({relays.begin() + 5, relays.end()}, kB1) == 3U);
}

// Guards against an entry without relays because its data centre has no region.
BOOST_AUTO_TEST_CASE(entries_of_an_unlisted_data_centre_get_relays)
{
    Site site;
    site.add(kAlone, 2);
    site.add(kB1, 2);
    (void)site.step();
    const std::vector<VmId> relays = site.directory.relaysOf(vm(kAlone, 0));
    BOOST_REQUIRE(relays.size() == 3U);
    BOOST_TEST(leading(relays, kAlone) == 1U);
}

// Guards against relays that have no path to the endpoints themselves: a whole data centre is cut.
BOOST_AUTO_TEST_CASE(isolated_entries_are_no_relays)
{
    Site site;
    site.add(kA1, 10);
    site.add(kA2, 10);
    (void)site.step();
    BOOST_TEST(leading(site.directory.relaysOf(vm(kA1, 0)), kA1) == kMaxRelays);
    for (int number = 0; number < 10; ++number)
        site.setIsolated(vm(kA1, number), true);
    BOOST_TEST(site.directory.isolatedCount() == 10U);
    // The lists of the other data centre have none of these.
    BOOST_TEST(site.step().size() == 10U);
    for (int number = 0; number < 10; ++number)
        BOOST_TEST(leading(site.directory.relaysOf(vm(kA1, number)), kA2) == kMaxRelays);
    for (int number = 0; number < 10; ++number)
        site.setIsolated(vm(kA1, number), false);
    BOOST_TEST(site.directory.isolatedCount() == 0U);
    BOOST_TEST(site.step().size() == 10U);
    BOOST_TEST(leading(site.directory.relaysOf(vm(kA1, 0)), kA1) == kMaxRelays);
}

// Guards against lists that are sent without need, and against connections that move to other
// relays while these still serve.
BOOST_AUTO_TEST_CASE(lists_change_only_with_their_relays)
{
    Site site;
    site.add(kA1, 40);
    (void)site.step();
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(site.step().empty());
    std::map<VmId, std::vector<VmId>> before;
    for (int number = 0; number < 40; ++number)
        before[vm(kA1, number)] = site.directory.relaysOf(vm(kA1, number));
    const VmId lost = vm(kA1, 7);
    site.setIsolated(lost, true);
    const std::vector<VmId> changed = site.step();
    BOOST_TEST(!changed.empty());
    for (const auto &[entry, relays] : before) {
        BOOST_TEST(contains(changed, entry) == contains(relays, lost));
        std::vector<VmId> remaining = relays;
        std::erase(remaining, lost);
        const std::vector<VmId> now = site.directory.relaysOf(entry);
        BOOST_TEST(std::equal(remaining.begin(), remaining.end(), now.begin()));
        BOOST_TEST(now.size() == kMaxRelays);
    }
    site.setIsolated(lost, false);
    (void)site.step();
    for (const auto &[entry, relays] : before)
        BOOST_TEST((site.directory.relaysOf(entry) == relays));
}

// Guards against one relay that carries the traffic of a whole isolated data centre.
BOOST_AUTO_TEST_CASE(isolated_entries_spread_over_the_relays)
{
    constexpr int kEntries = 280;
    Site site;
    site.add(kA1, kEntries);
    site.add(kA2, kEntries);
    (void)site.step();
    for (int number = 0; number < kEntries; ++number)
        site.setIsolated(vm(kA1, number), true);
    (void)site.step();
    std::map<VmId, int> firstChoices;
    std::map<VmId, int> choices;
    for (int number = 0; number < kEntries; ++number) {
        const std::vector<VmId> relays = site.directory.relaysOf(vm(kA1, number));
        ++firstChoices[relays.at(0)];
        for (const VmId &relay : relays)
            ++choices[relay];
    }
    const auto largest = [](const std::map<VmId, int> &counts) {
        return std::max_element(counts.begin(), counts.end(),
                                [](const auto &a, const auto &b) { return a.second < b.second; })
                ->second;
    };
    // With independent choices, a relay exceeds these bounds in less than one of 1,000 sites.
    BOOST_TEST(largest(firstChoices) <= 8);
    BOOST_TEST(largest(choices) <= 24);
    BOOST_TEST(choices.size() >= static_cast<std::size_t>(kEntries) * 95 / 100);
}

// Guards against relays that are partitioned or stopped: they don't report any more.
BOOST_AUTO_TEST_CASE(entries_without_a_recent_report_are_no_relays)
{
    Site site;
    site.add(kA1, 4);
    (void)site.step();
    const VmId silent = vm(kA1, 3);
    site.silence(silent);
    for (int i = 0; i < 4; ++i)
        (void)site.step();
    BOOST_TEST(contains(site.directory.relaysOf(vm(kA1, 0)), silent));
    BOOST_TEST(site.step().size() == 3U);
    BOOST_TEST(!contains(site.directory.relaysOf(vm(kA1, 0)), silent));
    BOOST_TEST((site.directory.pathOf(silent) == EntryPath::Unknown));
    site.setIsolated(silent, false);
    (void)site.step();
    BOOST_TEST(contains(site.directory.relaysOf(vm(kA1, 0)), silent));
}

// Guards against a count of isolated entries that falls without a line in the log.
BOOST_AUTO_TEST_CASE(expired_reports_of_isolation_are_told_once)
{
    Site site;
    site.add(kA1, 2);
    (void)site.step();
    site.setIsolated(vm(kA1, 0), true);
    site.silence(vm(kA1, 0));
    site.silence(vm(kA1, 1));
    std::vector<VmId> lost;
    for (int i = 0; i < 6; ++i) {
        BOOST_TEST(site.directory.isolatedCount() == (lost.empty() ? 1U : 0U));
        site.now += kProbePeriod;
        const std::vector<VmId> lostNow = site.directory.expire(site.now);
        lost.insert(lost.end(), lostNow.begin(), lostNow.end());
    }
    BOOST_TEST((lost == std::vector<VmId>{vm(kA1, 0)}));
}

// Guards against lists with entries that left, and against a count of isolated entries that keeps
// them.
BOOST_AUTO_TEST_CASE(disconnected_entries_are_forgotten)
{
    Site site;
    site.add(kA1, 4);
    (void)site.step();
    site.remove(vm(kA1, 1));
    const std::vector<VmId> changed = site.step();
    BOOST_TEST(changed.size() == 3U);
    BOOST_TEST(!contains(changed, vm(kA1, 1)));
    BOOST_TEST(!contains(site.directory.relaysOf(vm(kA1, 0)), vm(kA1, 1)));
    site.setIsolated(vm(kA1, 2), true);
    BOOST_TEST(site.directory.isolatedCount() == 1U);
    BOOST_TEST(site.directory.recordDisconnected(vm(kA1, 2)));
    BOOST_TEST(site.directory.isolatedCount() == 0U);
    BOOST_TEST(!site.directory.recordDisconnected(vm(kA1, 2)));
    // A probe that was read after the connection ended.
    BOOST_TEST(!site.directory.recordProbe(vm(kA1, 2), true, site.now));
    BOOST_TEST(site.directory.isolatedCount() == 0U);
}

// Guards against a leader that clears all lists after it was suspended, before it reads the probes
// that arrived meanwhile.
BOOST_AUTO_TEST_CASE(reports_survive_a_pause_of_the_leader)
{
    Site site;
    site.add(kA1, 4);
    (void)site.step();
    site.now += 10s;
    site.directory.expire(site.now);
    BOOST_TEST(site.directory.update().empty());
    BOOST_TEST(site.step().empty());
    // They expire if no probe follows.
    for (int i = 0; i < 8; ++i) {
        site.now += 200ms;
        site.directory.expire(site.now);
    }
    BOOST_TEST(site.directory.update().empty());
    site.now += 200ms;
    site.directory.expire(site.now);
    BOOST_TEST(site.directory.update().size() == 4U);
    BOOST_TEST(site.directory.relaysOf(vm(kA1, 0)).empty());
}

// Guards against an entry that missed a list while it was disconnected or had another leader.
BOOST_AUTO_TEST_CASE(reconnected_entries_and_those_of_a_new_leader_get_their_lists)
{
    Site site;
    site.add(kA1, 4);
    (void)site.step();
    site.directory.recordConnected(vm(kA1, 2), kA1);
    const std::vector<VmId> changed = site.step();
    BOOST_TEST(changed.size() == 1U);
    BOOST_TEST(contains(changed, vm(kA1, 2)));
    BOOST_TEST(site.step().empty());
    site.directory.forgetLists();
    BOOST_TEST(site.step().size() == 4U);
    BOOST_TEST(site.step().empty());
}

// Guards against a log line for each probe.
BOOST_AUTO_TEST_CASE(only_changes_of_isolation_are_told)
{
    Site site;
    site.add(kA1, 1);
    const VmId entry = vm(kA1, 0);
    BOOST_TEST(!site.directory.recordProbe(entry, false, site.now));
    BOOST_TEST(site.directory.recordProbe(entry, true, site.now));
    BOOST_TEST((site.directory.pathOf(entry) == EntryPath::Isolated));
    BOOST_TEST(!site.directory.recordProbe(entry, true, site.now));
    BOOST_TEST(site.directory.expire(site.now + 400ms).empty());
    BOOST_TEST(site.directory.recordProbe(entry, false, site.now));
    BOOST_TEST((site.directory.pathOf(entry) == EntryPath::Connected));
    BOOST_TEST(site.directory.isolatedCount() == 0U);
}
