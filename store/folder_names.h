// Names of the files in the data folder, and the format of the identity file.

#ifndef FIREFLYROUTE_STORE_FOLDER_NAMES_H
#define FIREFLYROUTE_STORE_FOLDER_NAMES_H

#include "core/group/replication_types.h"
#include "store/errors.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflyroute::store {

constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kTemporarySuffix = ".tmp";

struct SnapshotName
{
    core::GroupId group{0};
    core::LogIndex index = 0;
};

[[nodiscard]] std::string segmentName(std::uint64_t number);
[[nodiscard]] std::string snapshotName(const SnapshotName &name);
[[nodiscard]] std::optional<SnapshotName> parseSnapshotName(std::string_view name);

// Returns the segment numbers among the names in ascending order. Fails with Corrupt if a segment
// between the first and the last one is missing.
[[nodiscard]] Result<std::vector<std::uint64_t>>
segmentNumbers(const std::vector<std::string> &names);

[[nodiscard]] std::string encodeIdentity(core::Incarnation incarnation);
[[nodiscard]] Result<core::Incarnation> decodeIdentity(std::string_view bytes);

} // namespace fireflyroute::store

#endif
