// Tests which control VM sends the state to an entry.

#define BOOST_TEST_MODULE state_feed
#include "core/state_feed.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;

SiteData state(std::uint64_t revision, std::uint64_t version)
{
    SiteData data;
    data.revision = revision;
    data.document = {version, "document"};
    return data;
}

} // namespace

BOOST_AUTO_TEST_CASE(entry_in_same_region_receives_each_change_once)
{
    StateFeed feed(true);
    // The entry has not reported its state yet.
    BOOST_TEST(!feed.onChange(state(1, 7), kStart).has_value());
    feed.recordHeldState(0, 0);
    BOOST_TEST(feed.onProbe(state(1, 7), false, kStart, kStart).has_value());
    BOOST_TEST(!feed.onChange(state(1, 7), kStart + 1s).has_value());
    BOOST_TEST(feed.onChange(state(2, 8), kStart + 1s).has_value());
    // Changes in quick succession wait for the minimum interval, and the last one is sent.
    BOOST_TEST(!feed.onChange(state(3, 9), kStart + 1010ms).has_value());
    BOOST_TEST(feed.isDue(state(4, 10)));
    const auto update = feed.onChange(state(4, 10), kStart + 1100ms);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->data.revision == 4U);
}

BOOST_AUTO_TEST_CASE(leader_sends_change_to_lagging_entry_in_other_region)
{
    StateFeed feed(false);
    feed.recordHeldState(1, 7);
    BOOST_TEST(!feed.onChange(state(2, 8), kStart).has_value());
    BOOST_TEST(!feed.onProbe(state(2, 8), true, kStart, kStart + 300ms).has_value());
    BOOST_TEST(!feed.onProbe(state(2, 8), false, kStart, kStart + 700ms).has_value());
    BOOST_TEST(feed.onProbe(state(2, 8), true, kStart, kStart + 700ms).has_value());
    BOOST_TEST(!feed.onProbe(state(2, 8), true, kStart, kStart + 1100ms).has_value());
    // The previous update was lost with its connection.
    BOOST_TEST(feed.onProbe(state(2, 8), true, kStart, kStart + 1400ms).has_value());
    feed.recordHeldState(2, 8);
    BOOST_TEST(!feed.onProbe(state(2, 8), true, kStart, kStart + 5s).has_value());
}

BOOST_AUTO_TEST_CASE(document_held_by_entry_is_omitted)
{
    StateFeed feed(true);
    feed.recordHeldState(1, 7);
    const auto same = feed.onChange(state(2, 7), kStart);
    BOOST_REQUIRE(same.has_value());
    BOOST_TEST(same->documentOmitted);
    BOOST_TEST(same->data.document.bytes.empty());
    const auto other = feed.onChange(state(3, 8), kStart + 1s);
    BOOST_REQUIRE(other.has_value());
    BOOST_TEST(!other->documentOmitted);
    BOOST_TEST(other->data.document.bytes == "document");
}
