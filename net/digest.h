// Hashes and random values: keys of client accounts, fingerprints of requests, random identifiers.

#ifndef FIREFLYROUTE_NET_DIGEST_H
#define FIREFLYROUTE_NET_DIGEST_H

#include <cstddef>
#include <string>
#include <string_view>

namespace fireflyroute::net {

// Returns the SHA-256 digest in lower-case hexadecimal.
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

// Returns cryptographically secure random bytes in hexadecimal, two digits per byte.
[[nodiscard]] std::string randomHex(std::size_t bytes);

// Whether two texts are equal. For texts of equal length the time does not depend on where they
// differ.
[[nodiscard]] bool equalSecrets(std::string_view left, std::string_view right);

} // namespace fireflyroute::net

#endif
