// Cutting a stream into events, and joining the runs of one request.

#define BOOST_TEST_MODULE event_stream
#include "core/event_stream.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

StreamEvent event(std::uint64_t id)
{
    return {"id: " + std::to_string(id) + "\ndata: x\n\n", id};
}

} // namespace

BOOST_AUTO_TEST_CASE(events_come_out_whole_wherever_the_bytes_are_cut)
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        EventSplitter splitter;
        std::vector<StreamEvent> events = splitter.push(text.substr(0, cut));
        for (StreamEvent &one : splitter.push(text.substr(cut)))
            events.push_back(std::move(one));
        BOOST_REQUIRE(events.size() == 3U);
        BOOST_TEST(events[0].id.value() == 1U);
        BOOST_TEST(events[1].id.value() == 2U);
        BOOST_TEST(events[0].bytes + events[1].bytes + events[2].bytes == text);
        BOOST_TEST(!splitter.isMidEvent());
    }
}

BOOST_AUTO_TEST_CASE(an_unfinished_event_is_kept_back)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.push("id: 1\ndata: a").empty());
    BOOST_TEST(splitter.isMidEvent());
}

BOOST_AUTO_TEST_CASE(a_second_run_goes_on_without_gap_or_repetition)
{
    StreamSplice splice;
    BOOST_TEST((splice.accept(event(1)) == SpliceVerdict::Relay));
    BOOST_TEST((splice.accept(event(2)) == SpliceVerdict::Relay));
    BOOST_TEST((splice.accept(event(2)) == SpliceVerdict::Repeated));
    BOOST_TEST((splice.accept(event(4)) == SpliceVerdict::Gap));
    BOOST_TEST((splice.accept(event(3)) == SpliceVerdict::Relay));
    BOOST_TEST(splice.lastEvent().value() == 3U);
}

BOOST_AUTO_TEST_CASE(a_caller_may_have_events_already)
{
    StreamSplice splice(12);
    BOOST_TEST((splice.accept(event(12)) == SpliceVerdict::Repeated));
    BOOST_TEST((splice.accept(event(13)) == SpliceVerdict::Relay));
}
