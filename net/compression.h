// Compression of large texts in messages between processes of this system.
//
//   const std::string packed = compress(text);
//   const std::string same = decompress(packed);   // throws std::exception on invalid input
//
// The codecs of messages report exceptions as malformed messages.

#ifndef FIREFLYROUTE_NET_COMPRESSION_H
#define FIREFLYROUTE_NET_COMPRESSION_H

#include <cstddef>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Limit of a decompressed text, in bytes.
constexpr std::size_t kMaxDecompressedBytes = 64U << 20U;

[[nodiscard]] std::string compress(std::string_view text);
[[nodiscard]] std::string decompress(std::string_view packed);

} // namespace fireflyroute::net

#endif
