// Format of a journal file: a header, then one frame for each sync. A frame contains all records
// that were appended since the previous sync, protected by one checksum. A frame is written only
// after the previous one was synced. A damaged frame that is followed by an intact one is therefore
// damage to synced data, and a damaged last frame is an incomplete write that was never
// acknowledged.
//
//   header: magic, format version, salt, CRC-32
//   frame:  magic, sequence, length, CRC-32 over salt, sequence and body; body
//   body:   records of type, length, payload
//
// The salt is random for each file, so that the bytes of a payload can't be mistaken for a frame.

#ifndef FIREFLYROUTE_STORE_JOURNAL_FORMAT_H
#define FIREFLYROUTE_STORE_JOURNAL_FORMAT_H

#include "store/errors.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace fireflyroute::store {

enum class RecordType : std::uint8_t { Command = 1, HardState = 2, Entry = 3, LogReset = 4 };

struct JournalRecord
{
    RecordType type = RecordType::Command;
    std::string payload;

    bool operator==(const JournalRecord &) const = default;
};

using RecordHandler = std::function<void(JournalRecord)>;

constexpr std::size_t kJournalHeaderBytes = 20;
constexpr std::size_t kFrameHeaderBytes = 20;
constexpr std::size_t kRecordHeaderBytes = 5;
constexpr std::size_t kMaxFrameBodyBytes = 512U << 20U;

[[nodiscard]] std::string encodeJournalHeader(std::uint64_t salt);
[[nodiscard]] std::string encodeRecord(const JournalRecord &record);
[[nodiscard]] std::string encodeFrame(std::uint64_t salt, std::uint64_t sequence,
                                      std::string_view body);

// Result of the scan of a complete file.
struct JournalScan
{
    std::uint64_t salt = 0;
    std::uint64_t nextSequence = 1;
    std::size_t intactBytes = 0; // header and frames before the first damage; 0 without a header
};

// Passes every intact record to `onRecord` in order. Fails with WrongFormat if the file is not a
// journal or has another format version, and with Corrupt if synced data is damaged.
[[nodiscard]] Result<JournalScan> scanJournal(std::string_view bytes, const std::string &name,
                                              const RecordHandler &onRecord);

} // namespace fireflyroute::store

#endif
