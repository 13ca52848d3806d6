// Parsing of requests with Boost.Beast, and the bounds that its parser lacks.

#include "net/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <utility>

namespace fireflyroute::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusBodyTooLarge = 413;
constexpr unsigned kStatusHeaderTooLarge = 431;

unsigned statusOf(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return kStatusHeaderTooLarge;
    if (error == http::error::body_limit)
        return kStatusBodyTooLarge;
    return kStatusBadRequest;
}

// The memory that the fields of a request take until it is answered: parsed, and in the form in
// which they are forwarded. A short field takes many times its bytes on the wire.
template<typename Fields>
std::size_t memoryOf(const Fields &fields)
{
    std::size_t bytes = 0;
    for (const auto &field : fields)
        bytes += sizeof(HttpHeader) + 2 * (field.name_string().size() + field.value().size());
    return bytes;
}

} // namespace

struct RequestReader::Parser
{
    Parser() { parser.eager(true); }

    http::request_parser<http::string_body> parser;
};

RequestReader::RequestReader()
    : parser_(std::make_unique<Parser>())
{}

RequestReader::~RequestReader() = default;

ReadState RequestReader::push(std::string_view bytes, const RequestLimits &limits)
{
    input_.append(bytes);
    hasBegun_ = hasBegun_ || !input_.empty();
    auto &parser = parser_->parser;
    if (!parser.is_header_done()) {
        parser.header_limit(limits.headerBytes);
        parser.body_limit(limits.bodyBytes);
        bodyLimit_ = limits.bodyBytes;
    }
    const bool hadHead = parser.is_header_done();
    error_code error;
    input_.erase(0, parser.put(asio::buffer(input_), error));
    // Trailers are added to the fields of a complete request.
    if ((!hadHead && parser.is_header_done()) || parser.is_done())
        headBytes_ = memoryOf(parser.get());
    if (error && error != http::error::need_more) {
        rejectStatus_ = statusOf(error);
        return ReadState::Rejected;
    }
    if (parser.is_done())
        return ReadState::Complete;
    // The parser bounds heads and bodies, but neither the line before a chunk nor the trailers: it
    // parses them when they are complete.
    if (input_.size() > limits.headerBytes) {
        rejectStatus_ = kStatusHeaderTooLarge;
        return ReadState::Rejected;
    }
    return ReadState::Incomplete;
}

bool RequestReader::isHeadComplete() const
{
    return parser_->parser.is_header_done();
}

bool RequestReader::isComplete() const
{
    return parser_->parser.is_done();
}

bool RequestReader::takeExpectsContinue()
{
    const auto &parser = parser_->parser;
    if (!parser.is_header_done() || continueTaken_)
        return false;
    continueTaken_ = true;
    return equalFieldNames(std::string(parser.get()[http::field::expect]), "100-continue");
}

std::size_t RequestReader::parsedBytes() const
{
    return headBytes_ + parser_->parser.get().body().size();
}

std::size_t RequestReader::heldBytes() const
{
    return input_.size() + parsedBytes();
}

std::size_t RequestReader::wantedBytes(std::size_t ordinaryBytes) const
{
    const auto &parser = parser_->parser;
    const std::size_t held = heldBytes();
    if (!parser.is_header_done())
        return held;
    if (const auto length = parser.content_length())
        return std::max<std::size_t>(held, headBytes_ + *length);
    return held <= ordinaryBytes || parser.is_done()
                   ? held
                   : std::max<std::size_t>(held, headBytes_ + bodyLimit_);
}

void RequestReader::reserveBody(std::size_t bytes)
{
    parser_->parser.get().body().reserve(bytes);
}

HttpRequestMessage RequestReader::take()
{
    http::request<http::string_body> message = parser_->parser.release();
    keepsAlive_ = message.keep_alive();
    HttpRequestMessage request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields.reserve(16);
    for (const auto &field : message)
        request.fields.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    parser_ = std::make_unique<Parser>();
    headBytes_ = 0;
    hasBegun_ = false;
    continueTaken_ = false;
    if (input_.empty())
        input_.shrink_to_fit();
    return request;
}

void RequestReader::clear()
{
    input_ = std::string();
    parser_ = std::make_unique<Parser>();
    headBytes_ = 0;
    hasBegun_ = false;
}

} // namespace fireflyroute::net
