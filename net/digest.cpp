// Hashes and random bytes, based on OpenSSL.

#include "net/digest.h"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <cstdlib>
#include <iterator>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <vector>

namespace fireflyroute::net {

namespace {

std::string hex(const unsigned char *bytes, std::size_t count)
{
    std::string text;
    boost::algorithm::hex_lower(bytes, bytes + count, std::back_inserter(text));
    return text;
}

} // namespace

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        std::abort();
    return hex(digest.data(), size);
}

std::string randomHex(std::size_t bytes)
{
    std::vector<unsigned char> random(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1)
        std::abort();
    return hex(random.data(), bytes);
}

bool equalSecrets(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace fireflyroute::net
