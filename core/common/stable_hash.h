// Hashes that are equal on all machines, for decisions that several processes have to make alike.
//
//   mixBits(hashText(entry) ^ hashText(relay))

#ifndef FIREFLYROUTE_CORE_COMMON_STABLE_HASH_H
#define FIREFLYROUTE_CORE_COMMON_STABLE_HASH_H

#include <cstdint>
#include <string_view>

namespace fireflyroute::core {

constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

constexpr std::uint64_t hashText(std::string_view text)
{
    std::uint64_t hash = 0;
    for (const char c : text)
        hash = mixBits(hash ^ static_cast<unsigned char>(c));
    return hash;
}

} // namespace fireflyroute::core

#endif
