// Fuzz target: arbitrary bytes as frames between processes of a site.

#include "net/site_codec.h"

#include <cstdint>
#include <string_view>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    (void)fireflyroute::net::decodeMessage(bytes);
    (void)fireflyroute::net::decodeCommand(bytes);
    (void)fireflyroute::net::decodeSiteData(bytes);
    return 0;
}
