// Encoding of journal frames, and the scan that distinguishes an incomplete last frame from damage.

#include "store/journal_format.h"

#include "store/bytes.h"

#include <boost/crc.hpp>
#include <fmt/format.h>
#include <optional>

namespace fireflyroute::store {

namespace {

constexpr std::uint32_t kHeaderMagic = 0x4a524646; // "FFRJ"
constexpr std::uint32_t kFrameMagic = 0x464a4646; // "FFJF"
constexpr std::uint32_t kFormatVersion = 1;

struct Frame
{
    std::uint64_t sequence = 0;
    std::string_view body;
};

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::uint32_t frameChecksum(std::uint64_t salt, std::uint64_t sequence, std::string_view body)
{
    ByteWriter prefixWriter;
    prefixWriter.u64(salt);
    prefixWriter.u64(sequence);
    const std::string prefix = prefixWriter.release();
    boost::crc_32_type crc;
    crc.process_bytes(prefix.data(), prefix.size());
    crc.process_bytes(body.data(), body.size());
    return crc.checksum();
}

std::string headerFields(std::uint64_t salt)
{
    ByteWriter writer;
    writer.u32(kHeaderMagic);
    writer.u32(kFormatVersion);
    writer.u64(salt);
    return writer.release();
}

// Returns the intact frame at the beginning of `bytes`, or nothing.
std::optional<Frame> decodeFrame(std::string_view bytes, std::uint64_t salt)
{
    ByteReader reader(bytes);
    const std::uint32_t magic = reader.u32();
    const std::uint64_t sequence = reader.u64();
    const std::uint32_t length = reader.u32();
    const std::uint32_t crc = reader.u32();
    const bool isComplete =
            reader.isValid() && magic == kFrameMagic && length <= bytes.size() - kFrameHeaderBytes;
    if (!isComplete)
        return std::nullopt;
    const std::string_view body = bytes.substr(kFrameHeaderBytes, length);
    if (frameChecksum(salt, sequence, body) != crc)
        return std::nullopt;
    return Frame{sequence, body};
}

bool hasIntactFrame(std::string_view bytes, std::uint64_t salt)
{
    ByteWriter writer;
    writer.u32(kFrameMagic);
    const std::string magic = writer.release();
    for (std::size_t position = bytes.find(magic); position != std::string_view::npos;
         position = bytes.find(magic, position + 1)) {
        if (decodeFrame(bytes.substr(position), salt))
            return true;
    }
    return false;
}

bool replayBody(std::string_view body, const RecordHandler &onRecord)
{
    ByteReader reader(body);
    while (!reader.isAtEnd()) {
        const auto type = static_cast<RecordType>(reader.u8());
        const std::string_view payload = reader.text();
        if (!reader.isValid())
            return false;
        onRecord(JournalRecord{type, std::string(payload)});
    }
    return true;
}

StoreFailure corrupt(const std::string &name, std::size_t offset, const char *problem)
{
    return StoreFailure{StoreError::Corrupt,
                        fmt::format("{}: {} at byte {}", name, problem, offset)};
}

// Returns the salt, or nothing if the header is incomplete because a crash interrupted the creation
// of the file.
Result<std::optional<std::uint64_t>> scanHeader(std::string_view bytes, const std::string &name)
{
    ByteReader reader(bytes);
    const std::uint32_t magic = reader.u32();
    const std::uint32_t version = reader.u32();
    const std::uint64_t salt = reader.u64();
    const std::uint32_t crc = reader.u32();
    const bool isIntact = reader.isValid() && checksum(headerFields(salt)) == crc;
    if (isIntact && magic == kHeaderMagic && version == kFormatVersion)
        return std::optional(salt);
    if (!isIntact && bytes.size() <= kJournalHeaderBytes)
        return std::optional<std::uint64_t>();
    if (magic != kHeaderMagic)
        return StoreFailure{StoreError::WrongFormat, name + ": not a journal"};
    if (version != kFormatVersion)
        return StoreFailure{StoreError::WrongFormat,
                            fmt::format("{}: unsupported format version {}", name, version)};
    return corrupt(name, 0, "damaged header followed by data");
}

} // namespace

std::string encodeJournalHeader(std::uint64_t salt)
{
    const std::string fields = headerFields(salt);
    ByteWriter crc;
    crc.u32(checksum(fields));
    return fields + crc.release();
}

std::string encodeRecord(const JournalRecord &record)
{
    ByteWriter writer;
    writer.u8(static_cast<std::uint8_t>(record.type));
    writer.text(record.payload);
    return writer.release();
}

std::string encodeFrame(std::uint64_t salt, std::uint64_t sequence, std::string_view body)
{
    ByteWriter writer;
    writer.u32(kFrameMagic);
    writer.u64(sequence);
    writer.u32(static_cast<std::uint32_t>(body.size()));
    writer.u32(frameChecksum(salt, sequence, body));
    std::string frame = writer.release();
    frame += body;
    return frame;
}

Result<JournalScan> scanJournal(std::string_view bytes, const std::string &name,
                                const RecordHandler &onRecord)
{
    BOOST_OUTCOME_TRY(salt, scanHeader(bytes, name));
    JournalScan scan;
    if (!salt)
        return scan;
    scan.salt = *salt;
    scan.intactBytes = kJournalHeaderBytes;
    while (scan.intactBytes < bytes.size()) {
        const std::string_view remaining = bytes.substr(scan.intactBytes);
        const std::optional<Frame> frame = decodeFrame(remaining, scan.salt);
        if (!frame) {
            if (hasIntactFrame(remaining.substr(1), scan.salt))
                return corrupt(name, scan.intactBytes, "damaged frame followed by an intact frame");
            return scan;
        }
        if (frame->sequence != scan.nextSequence || !replayBody(frame->body, onRecord))
            return corrupt(name, scan.intactBytes,
                           "frame out of sequence or with a malformed record");
        ++scan.nextSequence;
        scan.intactBytes += kFrameHeaderBytes + frame->body.size();
    }
    return scan;
}

} // namespace fireflyroute::store
