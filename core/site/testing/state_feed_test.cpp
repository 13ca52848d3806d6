// Tests what a control VM announces to an entry, its answers to requests for the state, and which
// of them the entry takes.

#define BOOST_TEST_MODULE state_feed
#include "core/site/state_feed.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;
using namespace std::chrono_literals;

namespace {

const Instant kStart = Instant() + 100s;

SiteData state(std::uint64_t revision, std::uint64_t version)
{
    SiteData data;
    data.revision = revision;
    data.document = ConfigDocument{version, "document"};
    return data;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_change_is_announced_once)
{
    StateFeed feed(true);
    BOOST_TEST(!feed.onChange(state(0, 0), kStart).has_value());
    const auto first = feed.onChange(state(1, 7), kStart);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->revision == 1U);
    BOOST_TEST(first->sameRegion);
    BOOST_TEST(!feed.onChange(state(1, 7), kStart + 1s).has_value());
    BOOST_TEST(feed.onChange(state(2, 8), kStart + 1s).has_value());
    // Changes in quick succession wait for the minimum interval, and the last one is announced.
    BOOST_TEST(!feed.onChange(state(3, 9), kStart + 1010ms).has_value());
    BOOST_TEST(feed.isDue(state(4, 10)));
    const auto last = feed.onChange(state(4, 10), kStart + 1100ms);
    BOOST_REQUIRE(last.has_value());
    BOOST_TEST(last->revision == 4U);
    BOOST_TEST(!feed.isDue(state(4, 10)));
}

BOOST_AUTO_TEST_CASE(entries_of_other_regions_are_told_that_they_are)
{
    StateFeed feed(false);
    const auto announcement = feed.onChange(state(1, 7), kStart);
    BOOST_REQUIRE(announcement.has_value());
    BOOST_TEST(!announcement->sameRegion);
}

BOOST_AUTO_TEST_CASE(request_is_answered_only_with_a_newer_state)
{
    BOOST_TEST(!StateFeed::answer({2, 8}, state(2, 8)).has_value());
    BOOST_TEST(!StateFeed::answer({3, 8}, state(2, 8)).has_value());
    const auto update = StateFeed::answer({1, 7}, state(2, 8));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST((update->data == state(2, 8)));
    BOOST_TEST(!update->documentOmitted);
}

BOOST_AUTO_TEST_CASE(document_held_by_entry_is_omitted)
{
    const auto update = StateFeed::answer({1, 7}, state(2, 7));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(update->documentOmitted);
    BOOST_TEST(update->data.document.value().version == 7U);
    BOOST_TEST(update->data.document->bytes.empty());
}

// Guards against updates that leave a part of the state out, which entries then never receive.
BOOST_AUTO_TEST_CASE(answer_has_rollouts_and_evacuations)
{
    SiteData data = state(2, 7);
    data.rollouts[ServiceName("llm")].target = VersionName("v2");
    data.evacuations[DataCentreId("a")] = 1000;
    const auto update = StateFeed::answer({1, 6}, data);
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST((update->data == data));
}

// Guards against a first document with version 0 that an entry without any is thought to hold, as
// after a roll-out that was ordered before it (review/15).
BOOST_AUTO_TEST_CASE(document_with_version_zero_is_sent_to_an_entry_without_any)
{
    const auto update = StateFeed::answer({1, std::nullopt}, state(2, 0));
    BOOST_REQUIRE(update.has_value());
    BOOST_TEST(!update->documentOmitted);
    BOOST_TEST((update->data == state(2, 0)));
    BOOST_TEST(StateFeed::answer({1, 0}, state(2, 0)).value().documentOmitted);
}

// Guards against entries that go back to an older state, or lose the document that was omitted.
BOOST_AUTO_TEST_CASE(entry_takes_newer_states_only_and_keeps_an_omitted_document)
{
    SiteData data = state(3, 0);
    data.evacuations[DataCentreId("a")] = 1000;
    const SiteData held = state(2, 0);
    BOOST_TEST((StateFeed::merge(held, StateFeed::answer({2, 0}, data).value()) == data));
    BOOST_TEST((StateFeed::merge(SiteData{}, StateFeed::answer({0, std::nullopt}, data).value())
                == data));
    BOOST_TEST(!StateFeed::merge(data, StateUpdate{data, false}).has_value());
    BOOST_TEST(!StateFeed::merge(state(4, 0), StateUpdate{data, false}).has_value());
    // Neither side holds a document.
    SiteData empty;
    empty.revision = 1;
    BOOST_TEST((StateFeed::merge(SiteData{}, StateFeed::answer({0, std::nullopt}, empty).value())
                == empty));
}

// Guards against entries that take a version for held without its bytes.
BOOST_AUTO_TEST_CASE(update_without_a_document_that_the_entry_lacks_is_not_taken)
{
    const StateUpdate update = StateFeed::answer({1, 7}, state(2, 7)).value();
    BOOST_TEST(!StateFeed::merge(state(1, 6), update).has_value());
    BOOST_TEST(!StateFeed::merge(SiteData{}, update).has_value());
}
