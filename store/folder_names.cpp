// File names contain segment numbers and snapshot indexes as decimal digits of fixed width.

#include "store/folder_names.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace fireflyroute::store {

namespace {

constexpr std::string_view kSegmentPrefix = "journal-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kIdentityPrefix = "incarnation ";

std::optional<std::uint64_t> parseNumber(std::string_view digits)
{
    std::uint64_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto [stop, problem] = std::from_chars(digits.data(), end, number);
    if (digits.empty() || problem != std::errc() || stop != end)
        return std::nullopt;
    return number;
}

} // namespace

std::string segmentName(std::uint64_t number)
{
    return fmt::format("{}{:012}", kSegmentPrefix, number);
}

std::string snapshotName(const SnapshotName &name)
{
    return fmt::format("{}{}-{:020}", kSnapshotPrefix, static_cast<std::uint32_t>(name.group),
                       name.index);
}

std::optional<SnapshotName> parseSnapshotName(std::string_view name)
{
    if (!name.starts_with(kSnapshotPrefix))
        return std::nullopt;
    name.remove_prefix(kSnapshotPrefix.size());
    const std::size_t separator = name.find('-');
    if (separator == std::string_view::npos)
        return std::nullopt;
    const std::optional<std::uint64_t> group = parseNumber(name.substr(0, separator));
    const std::optional<std::uint64_t> index = parseNumber(name.substr(separator + 1));
    if (!group || !index)
        return std::nullopt;
    return SnapshotName{core::GroupId{static_cast<std::uint32_t>(*group)}, *index};
}

Result<std::vector<std::uint64_t>> segmentNumbers(const std::vector<std::string> &names)
{
    std::vector<std::uint64_t> numbers;
    for (const std::string &name : names) {
        if (!name.starts_with(kSegmentPrefix))
            continue;
        if (const auto number = parseNumber(std::string_view(name).substr(kSegmentPrefix.size())))
            numbers.push_back(*number);
    }
    std::sort(numbers.begin(), numbers.end());
    for (std::size_t i = 1; i < numbers.size(); ++i) {
        if (numbers[i] != numbers[i - 1] + 1)
            return StoreFailure{StoreError::Corrupt,
                                segmentName(numbers[i - 1] + 1) + " is missing"};
    }
    return numbers;
}

std::string encodeIdentity(core::Incarnation incarnation)
{
    return fmt::format("{}{}\n", kIdentityPrefix, static_cast<std::uint64_t>(incarnation));
}

Result<core::Incarnation> decodeIdentity(std::string_view bytes)
{
    const bool isFramed = bytes.starts_with(kIdentityPrefix) && bytes.ends_with('\n');
    std::optional<std::uint64_t> number;
    if (isFramed) {
        bytes.remove_prefix(kIdentityPrefix.size());
        bytes.remove_suffix(1);
        number = parseNumber(bytes);
    }
    if (!number)
        return StoreFailure{StoreError::Corrupt, "identity: malformed"};
    return core::Incarnation{*number};
}

} // namespace fireflyroute::store
