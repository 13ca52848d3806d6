// zlib streams by Boost.Iostreams.

#include "net/compression.h"

#include <boost/iostreams/filter/zlib.hpp>
#include <boost/iostreams/filtering_stream.hpp>
#include <iterator>
#include <stdexcept>

namespace fireflyroute::net {

namespace io = boost::iostreams;

std::string compress(std::string_view text)
{
    std::string packed;
    io::filtering_ostream out;
    out.push(io::zlib_compressor(io::zlib::best_speed));
    out.push(std::back_inserter(packed));
    out.write(text.data(), static_cast<std::streamsize>(text.size()));
    out.reset();
    return packed;
}

std::string decompress(std::string_view packed)
{
    constexpr std::size_t kBlockBytes = 16U << 10U;
    std::string text;
    io::filtering_ostream out;
    out.push(io::zlib_decompressor());
    out.push(std::back_inserter(text));
    // Invalid input is reported by an exception instead of a short text. Without a sink a stream is
    // bad, so this has to follow.
    out.exceptions(std::ios::badbit);
    while (!packed.empty()) {
        const std::string_view block = packed.substr(0, kBlockBytes);
        out.write(block.data(), static_cast<std::streamsize>(block.size()));
        if (text.size() > kMaxDecompressedBytes)
            throw std::length_error("the decompressed text is too large");
        packed.remove_prefix(block.size());
    }
    out.reset();
    return text;
}

} // namespace fireflyroute::net
