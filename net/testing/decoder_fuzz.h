// Common part of the fuzz targets of JSON decoders. Arbitrary bytes must not crash a decoder, and a
// value that a decoder accepts must be equal after encoding and decoding it again.

#ifndef FIREFLYROUTE_NET_TESTING_DECODER_FUZZ_H
#define FIREFLYROUTE_NET_TESTING_DECODER_FUZZ_H

#include "net/text_json.h"

#include <cstdint>
#include <cstdlib>
#include <string_view>

namespace fireflyroute::net {

template<typename Read>
int fuzzDecoder(const std::uint8_t *data, std::size_t size, Read read)
{
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const Result<Json::Value> json = parseJson(text);
    if (!json)
        return 0;
    const auto first = read(json.value(), "it");
    if (!first)
        return 0;
    const auto second = read(toJson(first.value()), "it");
    if (!second || !(second.value() == first.value()))
        std::abort();
    return 0;
}

} // namespace fireflyroute::net

#endif
