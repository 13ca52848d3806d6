// Fuzz target: decoder of the lines of a streamed response from an endpoint.

#include "net/chat_json.h"

#include <boost/algorithm/string.hpp>
#include <cstdlib>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace fireflyroute;
    const std::string text(reinterpret_cast<const char *>(data), size);
    std::vector<std::string> lines;
    boost::algorithm::split(lines, text, boost::algorithm::is_any_of("\n"));
    constexpr std::uint32_t kAttempt = 3;
    net::ChunkDecoder decoder(kAttempt, 0);
    std::uint64_t offset = 0;
    for (const std::string &line : lines) {
        const auto chunk = decoder.decode(line);
        if (!chunk || !chunk.value())
            continue;
        // Each chunk contains the number of its attempt, and offsets never decrease.
        const bool violated =
                chunk.value()->attempt != kAttempt || chunk.value()->endOffset < offset;
        if (violated)
            std::abort();
        offset = chunk.value()->endOffset;
    }
    return 0;
}
