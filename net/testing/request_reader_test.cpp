// Tests the bounds of what one connection can make the reader of requests keep.

#define BOOST_TEST_MODULE request_reader
#include "net/request_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace fireflyroute::net;

BOOST_TEST_DONT_PRINT_LOG_VALUE(ReadState)

namespace {

constexpr RequestLimits kLimits{1000, 5000};
constexpr std::size_t kOrdinaryBytes = 500;
constexpr std::size_t kPieceBytes = 100;
constexpr int kPieces = 1000;

const std::string kChunkedHead = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

// Pushes the beginning and then the piece until the reader rejects the request. Returns its status,
// or 0 if it never does. The reader must never keep more than its limits and a piece.
unsigned statusOfEndless(const std::string &beginning, const std::string &piece)
{
    RequestReader reader;
    ReadState state = reader.push(beginning, kLimits);
    for (int i = 0; i < kPieces && state == ReadState::Incomplete; ++i) {
        state = reader.push(piece, kLimits);
        BOOST_REQUIRE(reader.heldBytes() <= kLimits.headerBytes + kLimits.bodyBytes + piece.size());
    }
    return state == ReadState::Rejected ? reader.rejectStatus() : 0;
}

} // namespace

// Guards against bytes without end that belong to no body: they ended entries for lack of memory.
BOOST_AUTO_TEST_CASE(bytes_without_end_are_rejected)
{
    const std::string filler(kPieceBytes, 'x');
    BOOST_TEST(statusOfEndless("GET / HTTP/1.1\r\n", "X: " + filler + "\r\n") == 431U);
    BOOST_TEST(statusOfEndless("GET / HTTP/1.1\r\nX: ", filler) == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead + "5;", filler) == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead + "5;a=\"", filler) == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead + "0;", filler) == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead + "1\r\nx\r\n0\r\nX: ", filler) == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead + "1\r\nx\r\n0\r\n", "X: " + filler + "\r\n") == 431U);
    BOOST_TEST(statusOfEndless(kChunkedHead, "64\r\n" + filler + "\r\n") == 413U);
}

BOOST_AUTO_TEST_CASE(body_over_the_limit_is_rejected_before_it_is_read)
{
    RequestReader reader;
    BOOST_TEST((reader.push("POST / HTTP/1.1\r\nContent-Length: 5001\r\n\r\n", kLimits)
                == ReadState::Rejected));
    BOOST_TEST(reader.rejectStatus() == 413U);
}

// Guards against a grant that is too small for a body to arrive in full.
BOOST_AUTO_TEST_CASE(wanted_bytes_cover_the_whole_body)
{
    RequestReader announced;
    BOOST_TEST((announced.push("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\nab", kLimits)
                == ReadState::Incomplete));
    BOOST_TEST(announced.wantedBytes(kOrdinaryBytes) == announced.heldBytes() - 2 + 4000U);
    RequestReader chunked;
    BOOST_TEST((chunked.push(kChunkedHead + "64\r\n" + std::string(kPieceBytes, 'x'), kLimits)
                == ReadState::Incomplete));
    const std::size_t headBytes = chunked.heldBytes() - kPieceBytes;
    BOOST_TEST(chunked.wantedBytes(kOrdinaryBytes) == headBytes + kPieceBytes);
    (void)chunked.push("\r\n258\r\n" + std::string(600, 'x'), kLimits);
    BOOST_TEST(chunked.wantedBytes(kOrdinaryBytes) == headBytes + kLimits.bodyBytes);
}

// Guards against heads that count with their bytes on the wire only.
BOOST_AUTO_TEST_CASE(fields_count_with_the_memory_that_they_take)
{
    std::string request = "GET / HTTP/1.1\r\n";
    for (int i = 0; i < 100; ++i)
        request += "a:b\r\n";
    RequestReader reader;
    BOOST_TEST((reader.push(request + "\r\n", kLimits) == ReadState::Complete));
    BOOST_TEST(reader.parsedBytes() >= 100 * sizeof(HttpHeader));
    (void)reader.take();
    BOOST_TEST(reader.heldBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(trailers_and_extensions_within_the_limits_are_accepted)
{
    RequestReader reader;
    const std::string rest = "GET /next HTTP/1.1\r\n";
    const ReadState state = reader.push(
            kChunkedHead + "2;a=b\r\nok\r\n0\r\nX: " + std::string(500, 'x') + "\r\n\r\n" + rest,
            kLimits);
    BOOST_TEST((state == ReadState::Complete));
    BOOST_TEST(reader.take().body == "ok");
    BOOST_TEST(reader.hasInput());
}
