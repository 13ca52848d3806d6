// Fuzz target: JSON decoder of the fleet configuration.

#include "net/config_json.h"
#include "net/testing/decoder_fuzz.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace fireflyroute::net;
    return fuzzDecoder(data, size, readFleetConfig);
}
