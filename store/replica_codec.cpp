// Field-by-field encoding. Every decoder rejects truncated input and trailing bytes.

#include "store/replica_codec.h"

#include "store/bytes.h"

#include <boost/crc.hpp>
#include <fmt/format.h>

namespace fireflyroute::store {

namespace {

constexpr std::uint32_t kSnapshotMagic = 0x53524646; // "FFRS"
constexpr std::uint32_t kSnapshotVersion = 1;

void writeId(ByteWriter &writer, const core::ReplicaId &id)
{
    writer.text(id.vm.value());
    writer.u64(static_cast<std::uint64_t>(id.incarnation));
}

core::ReplicaId readId(ByteReader &reader)
{
    core::ReplicaId id;
    id.vm = core::VmId(std::string(reader.text()));
    id.incarnation = core::Incarnation{reader.u64()};
    return id;
}

void writeMembership(ByteWriter &writer, const core::Membership &membership)
{
    writer.u32(static_cast<std::uint32_t>(membership.members.size()));
    for (const core::Member &member : membership.members) {
        writeId(writer, member.id);
        writer.u8(static_cast<std::uint8_t>(member.role));
    }
}

core::Membership readMembership(ByteReader &reader)
{
    core::Membership membership;
    const std::uint32_t count = reader.u32();
    for (std::uint32_t i = 0; i < count && reader.isValid(); ++i) {
        core::Member member;
        member.id = readId(reader);
        member.role = static_cast<core::MemberRole>(reader.u8());
        membership.members.push_back(std::move(member));
    }
    return membership;
}

// Returns a reader positioned after the group number.
ByteReader recordBody(const JournalRecord &record)
{
    ByteReader reader(record.payload);
    reader.u32();
    return reader;
}

template<typename Value>
std::optional<Value> completeValue(const ByteReader &reader, Value value)
{
    if (!reader.isValid() || !reader.isAtEnd())
        return std::nullopt;
    return value;
}

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

} // namespace

JournalRecord encodeHardState(core::GroupId group, const core::HardState &state)
{
    ByteWriter writer;
    writer.u32(static_cast<std::uint32_t>(group));
    writer.u64(state.term);
    writer.u8(state.votedFor ? 1 : 0);
    if (state.votedFor)
        writeId(writer, *state.votedFor);
    return JournalRecord{RecordType::HardState, writer.release()};
}

JournalRecord encodeEntry(core::GroupId group, const core::LogEntry &entry)
{
    ByteWriter writer;
    writer.u32(static_cast<std::uint32_t>(group));
    writer.u64(entry.index);
    writer.u64(entry.term);
    writer.u8(static_cast<std::uint8_t>(entry.kind));
    writer.text(entry.payload.value());
    writeMembership(writer, entry.membership);
    return JournalRecord{RecordType::Entry, writer.release()};
}

JournalRecord encodeReset(core::GroupId group, const LogReset &reset)
{
    ByteWriter writer;
    writer.u32(static_cast<std::uint32_t>(group));
    writer.u64(reset.index);
    return JournalRecord{RecordType::LogReset, writer.release()};
}

std::optional<core::GroupId> decodeGroup(const JournalRecord &record)
{
    ByteReader reader(record.payload);
    const core::GroupId group{reader.u32()};
    return reader.isValid() ? std::optional(group) : std::nullopt;
}

std::optional<core::HardState> decodeHardState(const JournalRecord &record)
{
    ByteReader reader = recordBody(record);
    core::HardState state;
    state.term = reader.u64();
    if (reader.u8() != 0)
        state.votedFor = readId(reader);
    return completeValue(reader, std::move(state));
}

std::optional<core::LogEntry> decodeEntry(const JournalRecord &record)
{
    ByteReader reader = recordBody(record);
    core::LogEntry entry;
    entry.index = reader.u64();
    entry.term = reader.u64();
    entry.kind = static_cast<core::EntryKind>(reader.u8());
    entry.payload = std::string(reader.text());
    entry.membership = readMembership(reader);
    return completeValue(reader, std::move(entry));
}

std::optional<LogReset> decodeReset(const JournalRecord &record)
{
    ByteReader reader = recordBody(record);
    const LogReset reset{reader.u64()};
    return completeValue(reader, reset);
}

std::string encodeSnapshot(const core::Snapshot &snapshot)
{
    ByteWriter body;
    body.u64(snapshot.meta.index);
    body.u64(snapshot.meta.term);
    writeMembership(body, snapshot.meta.membership);
    body.text(snapshot.data);
    const std::string bytes = body.release();
    ByteWriter header;
    header.u32(kSnapshotMagic);
    header.u32(kSnapshotVersion);
    header.u32(checksum(bytes));
    return header.release() + bytes;
}

Result<core::Snapshot> decodeSnapshot(std::string_view bytes, const std::string &name)
{
    constexpr std::size_t kHeaderBytes = 12;
    ByteReader reader(bytes);
    const std::uint32_t magic = reader.u32();
    const std::uint32_t version = reader.u32();
    const std::uint32_t crc = reader.u32();
    if (!reader.isValid() || checksum(bytes.substr(kHeaderBytes)) != crc)
        return StoreFailure{StoreError::Corrupt, name + ": damaged snapshot"};
    if (magic != kSnapshotMagic || version != kSnapshotVersion)
        return StoreFailure{
                StoreError::WrongFormat,
                fmt::format("{}: unsupported snapshot format (version {})", name, version)};
    core::Snapshot snapshot;
    snapshot.meta.index = reader.u64();
    snapshot.meta.term = reader.u64();
    snapshot.meta.membership = readMembership(reader);
    snapshot.data = std::string(reader.text());
    if (!reader.isValid() || !reader.isAtEnd())
        return StoreFailure{StoreError::Corrupt, name + ": damaged snapshot"};
    return snapshot;
}

} // namespace fireflyroute::store
