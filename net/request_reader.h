// Reads HTTP/1.1 requests from the bytes of one connection. Does no input or output.
//
//   RequestReader reader;
//   switch (reader.push(bytes, limits)) {
//   case ReadState::Complete: handle(reader.take()); break;
//   case ReadState::Rejected: reject(reader.rejectStatus()); break;
//   case ReadState::Incomplete: ...
//   }
//
// Everything that a caller can send without end is bounded: the head, the lines before chunks with
// their extensions and the trailers by the limit of the head, the body by its own limit. Bytes
// behind a complete request wait until it has been taken.

#ifndef FIREFLYROUTE_NET_REQUEST_READER_H
#define FIREFLYROUTE_NET_REQUEST_READER_H

#include "core/common/enum_names.h"
#include "net/http_message.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace fireflyroute::net {

struct RequestLimits
{
    std::uint32_t headerBytes = 16U << 10U;
    std::uint32_t bodyBytes = 4U << 20U;
};

enum class ReadState { Incomplete, Complete, Rejected };

} // namespace fireflyroute::net

namespace fireflyroute::core {

template<>
struct EnumNames<net::ReadState>
{
    static constexpr std::array table{
            EnumName{net::ReadState::Incomplete, "incomplete"},
            EnumName{net::ReadState::Complete, "complete"},
            EnumName{net::ReadState::Rejected, "rejected"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::net {

class RequestReader
{
public:
    RequestReader();
    ~RequestReader();
    RequestReader(const RequestReader &) = delete;
    RequestReader &operator=(const RequestReader &) = delete;

    // Adds received bytes and parses. Limits hold for a request until its head is complete.
    ReadState push(std::string_view bytes, const RequestLimits &limits);

    // Status of the rejection: 400, 413 or 431.
    [[nodiscard]] unsigned rejectStatus() const { return rejectStatus_; }

    // Whether any byte of a request has arrived that was not taken yet.
    [[nodiscard]] bool hasBegun() const { return hasBegun_ || !input_.empty(); }
    [[nodiscard]] bool hasInput() const { return !input_.empty(); }
    [[nodiscard]] bool isHeadComplete() const;
    [[nodiscard]] bool isComplete() const;

    // Whether the caller waits for "100 Continue". True once for each request.
    [[nodiscard]] bool takeExpectsContinue();

    // Bytes that the current request holds without those that are not parsed yet.
    [[nodiscard]] std::size_t parsedBytes() const;

    // Bytes that the request holds, and that it will hold when it is complete: for a body in
    // chunks, whose length is unknown, the longest one as soon as it exceeds `ordinaryBytes`.
    [[nodiscard]] std::size_t heldBytes() const;
    [[nodiscard]] std::size_t wantedBytes(std::size_t ordinaryBytes) const;

    // Reserves memory for the wanted bytes, so that the body is not copied while it grows.
    void reserveBody(std::size_t bytes);

    // Returns the complete request. Bytes that follow it stay.
    [[nodiscard]] HttpRequestMessage take();

    // Whether the caller of the request that was taken last wants to keep the connection.
    [[nodiscard]] bool keepsAlive() const { return keepsAlive_; }

    // Drops everything that has arrived.
    void clear();

private:
    struct Parser;

    std::unique_ptr<Parser> parser_; // of the current request
    std::string input_; // received bytes that are not parsed yet
    std::uint32_t bodyLimit_ = 0; // of the current request
    std::size_t headBytes_ = 0; // that the complete head of the current request takes in memory
    unsigned rejectStatus_ = 0;
    bool hasBegun_ = false; // bytes of the current request have been parsed
    bool continueTaken_ = false;
    bool keepsAlive_ = true;
};

} // namespace fireflyroute::net

#endif
