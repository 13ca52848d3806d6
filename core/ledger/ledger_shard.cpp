// Hashes ledger keys and decodes the time in version 7 UUIDs.

#include "core/ledger/ledger_shard.h"

#include <boost/crc.hpp>
#include <charconv>

namespace fireflyroute::core {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kTimeDigits = 12; // 48 bits of milliseconds

bool isUuidVersion7(std::string_view text)
{
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool isDash = index == 8 || index == 13 || index == 18 || index == 23;
        const bool isHexDigit = std::string_view("0123456789abcdefABCDEF").find(text[index])
                                != std::string_view::npos;
        if (isDash ? text[index] != '-' : !isHexDigit)
            return false;
    }
    return text.size() == kUuidLength && text[kVersionPosition] == '7';
}

} // namespace

GroupId groupOf(const LedgerKey &key, std::uint32_t groupCount)
{
    boost::crc_32_type crc;
    crc.process_byte(static_cast<unsigned char>(key.kind));
    crc.process_bytes(key.name.data(), key.name.size());
    return GroupId(crc.checksum() % groupCount);
}

std::optional<WallTime> claimKeyTime(const std::string &name)
{
    const std::string_view key = std::string_view(name).substr(name.rfind('/') + 1);
    if (!isUuidVersion7(key))
        return std::nullopt;
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    std::uint64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + kTimeDigits, milliseconds, 16);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace fireflyroute::core
