// Tests splitting of event streams and joining of several attempts of one request.

#define BOOST_TEST_MODULE event_stream
#include "core/requests/event_stream.h"

#include <boost/test/unit_test.hpp>

using namespace fireflyroute::core;

namespace {

StreamEvent event(std::uint64_t id)
{
    return {"id: " + std::to_string(id) + "\ndata: x\n\n", id};
}

} // namespace

BOOST_AUTO_TEST_CASE(splitter_reassembles_events_at_any_split_position)
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t splitPosition = 0; splitPosition <= text.size(); ++splitPosition) {
        EventSplitter splitter;
        std::vector<StreamEvent> events = splitter.push(text.substr(0, splitPosition));
        for (StreamEvent &streamEvent : splitter.push(text.substr(splitPosition)))
            events.push_back(std::move(streamEvent));
        BOOST_REQUIRE(events.size() == 3U);
        BOOST_TEST(events[0].id.value() == 1U);
        BOOST_TEST(events[1].id.value() == 2U);
        BOOST_TEST(events[0].bytes + events[1].bytes + events[2].bytes == text);
        BOOST_TEST(!splitter.hasIncompleteEvent());
    }
}

// Guards against a peer whose bytes never end: the incomplete event was kept without a limit and
// searched again from its start with each read.
BOOST_AUTO_TEST_CASE(event_without_end_becomes_oversized)
{
    EventSplitter splitter;
    const std::string piece(16U << 10U, 'x');
    std::size_t received = 0;
    while (!splitter.isOversized()) {
        BOOST_REQUIRE(received <= EventSplitter::kMaxEventBytes);
        BOOST_TEST(splitter.push(piece).empty());
        received += piece.size();
    }
    BOOST_TEST(splitter.push("\n\n").size() == 1U);
    BOOST_TEST(!splitter.isOversized());
}

BOOST_AUTO_TEST_CASE(splitter_finds_events_that_arrive_byte_by_byte)
{
    const std::string text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    EventSplitter splitter;
    std::string joined;
    std::size_t count = 0;
    for (const char byte : text) {
        for (const StreamEvent &streamEvent : splitter.push(std::string_view(&byte, 1))) {
            joined += streamEvent.bytes;
            ++count;
        }
    }
    BOOST_TEST(count == 3U);
    BOOST_TEST(joined == text);
}

BOOST_AUTO_TEST_CASE(incomplete_event_is_buffered)
{
    EventSplitter splitter;
    BOOST_TEST(splitter.push("id: 1\ndata: a").empty());
    BOOST_TEST(splitter.hasIncompleteEvent());
}

BOOST_AUTO_TEST_CASE(splice_joins_attempts_without_gap_or_duplicate)
{
    StreamSplice splice;
    BOOST_TEST((splice.accept(event(1)) == SpliceDecision::Relay));
    BOOST_TEST((splice.accept(event(2)) == SpliceDecision::Relay));
    BOOST_TEST((splice.accept(event(2)) == SpliceDecision::Repeated));
    BOOST_TEST((splice.accept(event(4)) == SpliceDecision::Gap));
    BOOST_TEST((splice.accept(event(3)) == SpliceDecision::Relay));
    BOOST_TEST(splice.lastEvent().value() == 3U);
}

// Guards against an error text or a message head in the middle of a caller's stream, also if it
// continues a line of an incomplete event.
BOOST_AUTO_TEST_CASE(splice_rejects_what_is_no_event_of_a_stream)
{
    const auto decisionOn = [](const std::string &text) {
        EventSplitter splitter;
        StreamSplice splice(4);
        const std::vector<StreamEvent> events = splitter.push(text);
        BOOST_REQUIRE(events.size() == 1U);
        return splice.accept(events.front());
    };
    const std::string head = "HTTP/1.1 500 Internal\r\nContent-Length: 4\r\n\r\n";
    for (const std::string &text :
         {std::string("upstream failed\n\n"), std::string("{\"error\": 5}\n\n"),
          std::string("event: error\ndata: failed\n\n"), std::string("data: failed\n\n"),
          std::string("id: five\ndata: x\n\n"), head, "id: 5" + head, "id: 5\n" + head,
          "id: 5\ndata: tok" + head, "id: 5\nda" + head})
        BOOST_TEST_CONTEXT(text)
    BOOST_TEST((decisionOn(text) == SpliceDecision::Foreign));
    for (const std::string &text :
         {std::string("id: 5\ndata: HTTP/1.1 500: x\n\n"),
          std::string("weight-versions: 3\nid: 5\ndata: x\n\n"),
          std::string("id:5\r\nevent: token\r\ndata:\r\n\r\n"), std::string(": comment\n\n")})
        BOOST_TEST_CONTEXT(text)
    BOOST_TEST((decisionOn(text) == SpliceDecision::Relay));
}

BOOST_AUTO_TEST_CASE(splice_resumes_after_last_event_of_caller)
{
    StreamSplice splice(12);
    BOOST_TEST((splice.accept(event(12)) == SpliceDecision::Repeated));
    BOOST_TEST((splice.accept(event(13)) == SpliceDecision::Relay));
}
