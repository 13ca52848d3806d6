// Fuzz target: the reader of callers' requests. Whatever arrives, and in whatever pieces, it keeps
// no more than its limits allow.

#include "net/request_reader.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace fireflyroute::net;
    constexpr RequestLimits kLimits{256, 1024};
    // A field of four bytes takes the memory of a HttpHeader.
    constexpr std::size_t kMaxHeadBytes = kLimits.headerBytes * (sizeof(HttpHeader) / 4 + 2);
    if (size == 0)
        return 0;
    // The first byte is the size of the pieces in which the others arrive.
    const std::size_t pieceBytes = std::size_t(data[0]) + 1;
    std::string_view bytes(reinterpret_cast<const char *>(data) + 1, size - 1);
    RequestReader reader;
    while (!bytes.empty()) {
        const std::size_t count = std::min(pieceBytes, bytes.size());
        ReadState state = reader.push(bytes.substr(0, count), kLimits);
        bytes.remove_prefix(count);
        while (state == ReadState::Complete) {
            if (reader.take().body.size() > kLimits.bodyBytes)
                std::abort();
            state = reader.hasInput() ? reader.push({}, kLimits) : ReadState::Incomplete;
        }
        if (state == ReadState::Rejected)
            return 0;
        if (reader.heldBytes() > kMaxHeadBytes + kLimits.headerBytes + kLimits.bodyBytes)
            std::abort();
    }
    return 0;
}
