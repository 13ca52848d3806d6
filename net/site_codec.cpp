// Fields of each message, in the order in which cereal encodes them.

#include "net/site_codec.h"

#include "net/compression.h"
#include "net/frame_archive.h"

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <limits>
#include <sstream>

// cereal finds these functions in the namespace of its archives.
namespace cereal {

using namespace fireflyroute::core;

template<class Archive, typename Tag>
// NOLINTNEXTLINE(readability-identifier-naming): the library's name
std::string save_minimal(const Archive & /*archive*/, const Identifier<Tag> &id)
{
    return id.value();
}

template<class Archive, typename Tag>
// NOLINTNEXTLINE(readability-identifier-naming): the library's name
void load_minimal(const Archive & /*archive*/, Identifier<Tag> &id, const std::string &value)
{
    id = Identifier<Tag>(value);
}

// Encoded like a string.
template<class Archive>
void save(Archive &archive, const SharedBytes &bytes)
{
    archive(bytes.value());
}

template<class Archive>
void load(Archive &archive, SharedBytes &bytes)
{
    std::string value;
    archive(value);
    bytes = SharedBytes(std::move(value));
}

template<class Archive>
void serialize(Archive &archive, ReplicaId &id)
{
    archive(id.vm, id.incarnation);
}

template<class Archive>
void serialize(Archive &archive, Member &member)
{
    archive(member.id, member.role);
}

template<class Archive>
void serialize(Archive &archive, Membership &membership)
{
    archive(membership.members);
}

template<class Archive>
void serialize(Archive &archive, LogEntry &entry)
{
    archive(entry.index, entry.term, entry.kind, entry.payload, entry.membership);
}

template<class Archive>
void serialize(Archive &archive, SnapshotMeta &meta)
{
    archive(meta.index, meta.term, meta.membership);
}

template<class Archive>
void serialize(Archive &archive, PreVoteRequest &body)
{
    archive(body.lastIndex, body.lastTerm);
}

template<class Archive>
void serialize(Archive &archive, VoteRequest &body)
{
    archive(body.lastIndex, body.lastTerm, body.transfer);
}

template<class Archive>
void serialize(Archive &archive, VoteReply &body)
{
    archive(body.preVote, body.granted);
}

template<class Archive>
void serialize(Archive &archive, AppendRequest &body)
{
    archive(body.previousIndex, body.previousTerm, body.entries, body.commit, body.round);
}

template<class Archive>
void serialize(Archive &archive, AppendReply &body)
{
    archive(body.success, body.match, body.rejected, body.hint, body.round);
}

template<class Archive>
void serialize(Archive &archive, SnapshotChunk &body)
{
    archive(body.meta, body.totalBytes, body.offset, body.data, body.round);
}

template<class Archive>
void serialize(Archive &archive, SnapshotReply &body)
{
    archive(body.index, body.nextOffset, body.round);
}

template<class Archive>
void serialize(Archive & /*archive*/, TimeoutNow & /*body*/)
{}

template<class Archive>
void serialize(Archive &archive, JoinRequest &body)
{
    archive(body.role);
}

template<class Archive>
void serialize(Archive &archive, ReplicaMessage &message)
{
    archive(message.group, message.from, message.to, message.term, message.body);
}

// Stands in a log entry or snapshot between the version 0 of a document and its bytes, where others
// have the length of the bytes. Builds that take version 0 for no document reject the length: as a
// control VM they would lose an acknowledged document.
constexpr std::uint64_t kVersionZeroMark = std::numeric_limits<std::uint64_t>::max() - 1;

template<class Archive>
void save(Archive &archive, const ConfigDocument &document)
{
    archive(document.version);
    if (document.version == 0)
        archive(kVersionZeroMark);
    archive(document.bytes);
}

template<class Archive>
void load(Archive &archive, ConfigDocument &document)
{
    archive(document.version);
    if (document.version == 0)
        archive.skipNumber(kVersionZeroMark);
    archive(document.bytes);
}

template<class Archive>
void serialize(Archive &archive, SiteRollout &rollout)
{
    archive(rollout.service, rollout.target, rollout.number, rollout.durationMs,
            rollout.orderedAtMs, rollout.stage);
}

template<class Archive>
void serialize(Archive &archive, PutDocument &command)
{
    archive(command.document);
}

template<class Archive>
void serialize(Archive &archive, StartSiteRollout &command)
{
    archive(command.rollout);
}

template<class Archive>
void serialize(Archive &archive, SetRolloutStage &command)
{
    archive(command.service, command.number, command.stage);
}

template<class Archive>
void serialize(Archive &archive, SetEvacuation &command)
{
    archive(command.dataCentre, command.isEvacuated, command.orderedAtMs);
}

// Stands in a snapshot with evacuations where one without has the length of the document. A build
// that knows no evacuations rejects the length: as a control VM it would lose acknowledged orders.
constexpr std::uint64_t kEvacuationsMark = std::numeric_limits<std::uint64_t>::max();

template<class Archive>
void save(Archive &archive, const SiteData &data)
{
    const bool hasEvacuations = !data.evacuations.empty();
    const ConfigDocument document = data.document.value_or(ConfigDocument{});
    archive(data.revision, document.version);
    if (hasEvacuations)
        archive(kEvacuationsMark);
    if (data.documentVersion() == 0U)
        archive(kVersionZeroMark);
    archive(document.bytes, data.rollouts);
    if (hasEvacuations)
        archive(data.evacuations);
}

template<class Archive>
void load(Archive &archive, SiteData &data)
{
    ConfigDocument document;
    archive(data.revision, document.version);
    const bool hasEvacuations = archive.skipNumber(kEvacuationsMark);
    const bool isVersionZero = document.version == 0 && archive.skipNumber(kVersionZeroMark);
    archive(document.bytes, data.rollouts);
    if (document.version != 0 || isVersionZero)
        data.document = std::move(document);
    if (hasEvacuations)
        archive(data.evacuations);
}

template<class Archive>
void serialize(Archive &archive, EndpointRecord &record)
{
    archive(record.id, record.service, record.address, record.dataCentre, record.version,
            record.slots, record.state, record.startedAtMs, record.sequence, record.warmupMs,
            record.unresponsive);
}

// Earlier builds ignore what follows at the end of a handshake and of a request of the state.
template<class Archive>
void save(Archive &archive, const Handshake &message)
{
    archive(message.vm, message.isEntry, message.dataCentre);
    if (message.holdsVersionZero)
        archive(true);
}

template<class Archive>
void load(Archive &archive, Handshake &message)
{
    archive(message.vm, message.isEntry, message.dataCentre);
    if (!archive.isAtEnd())
        archive(message.holdsVersionZero);
}

template<class Archive>
void serialize(Archive &archive, FreshnessProbe &message)
{
    archive(message.nonce, message.isolated);
}

template<class Archive>
void serialize(Archive &archive, FreshnessReply &message)
{
    archive(message.nonce, message.latestRevision, message.authoritative, message.controlVms);
}

template<class Archive>
void serialize(Archive &archive, StateAnnouncement &message)
{
    archive(message.revision, message.sameRegion);
}

// Version 0 without anything behind it means that the entry holds no document.
template<class Archive>
void save(Archive &archive, const StateRequest &message)
{
    archive(message.revision, message.documentVersion.value_or(0));
    if (message.documentVersion == 0U)
        archive(true);
}

template<class Archive>
void load(Archive &archive, StateRequest &message)
{
    std::uint64_t version = 0;
    bool holdsVersionZero = false;
    archive(message.revision, version);
    if (!archive.isAtEnd())
        archive(holdsVersionZero);
    if (version != 0 || holdsVersionZero)
        message.documentVersion = version;
}

// The document is compressed: it is by far the largest part of all messages to entries. Evacuations
// follow at the end, if there are any. An entry of a build that knows none ignores them and goes on
// serving, since decoders ignore what follows a message.
template<class Archive>
void save(Archive &archive, const StateUpdate &message)
{
    const SiteData &data = message.data;
    const ConfigDocument document = data.document.value_or(ConfigDocument{});
    archive(data.revision, document.version, fireflyroute::net::compress(document.bytes.value()),
            data.rollouts, message.documentOmitted);
    if (!data.evacuations.empty())
        archive(data.evacuations);
}

template<class Archive>
void load(Archive &archive, StateUpdate &message)
{
    SiteData &data = message.data;
    ConfigDocument document;
    std::string packed;
    archive(data.revision, document.version, packed, data.rollouts, message.documentOmitted);
    document.bytes = fireflyroute::net::decompress(packed);
    if (document.version != 0 || !document.bytes.empty())
        data.document = std::move(document);
    if (!archive.isAtEnd())
        archive(data.evacuations);
}

template<class Archive>
void serialize(Archive &archive, EndpointUpdate &message)
{
    archive(message.records);
}

template<class Archive>
void serialize(Archive &archive, OutcomeCount &count)
{
    archive(count.service, count.version, count.route, count.succeeded, count.failed, count.slow,
            count.outstanding);
}

template<class Archive>
void serialize(Archive &archive, OutcomeReport &message)
{
    archive(message.counts);
}

template<class Archive>
void serialize(Archive &archive, EndpointWork &record)
{
    archive(record.id, record.running, record.pendingPrefillTokens);
}

template<class Archive>
void serialize(Archive &archive, WorkReport &message)
{
    archive(message.work);
}

template<class Archive>
void serialize(Archive &archive, SessionUpdate &record)
{
    archive(record.session, record.version, record.ended);
}

template<class Archive>
void serialize(Archive &archive, PromptPrefixUpdate &record)
{
    archive(record.endpoint, record.prefixes);
}

template<class Archive>
void serialize(Archive &archive, EntryUpdate &message)
{
    archive(message.sessions, message.prompts, message.refusingEndpoints);
}

template<class Archive>
void serialize(Archive &archive, EndpointCrash &record)
{
    archive(record.endpoint, record.startedAtMs, record.service, record.traits);
}

template<class Archive>
void serialize(Archive &archive, ServiceAnswers &record)
{
    archive(record.service, record.count);
}

template<class Archive>
void serialize(Archive &archive, QuarantinedTrait &record)
{
    archive(record.trait, record.remaining);
}

// Builds that know no trials of quarantined traits ignore what follows at the end of these two.
template<class Archive>
void save(Archive &archive, const CrashReport &message)
{
    archive(message.crashes, message.answered, message.answers, message.quarantined);
    if (!message.refused.empty())
        archive(message.refused);
}

template<class Archive>
void load(Archive &archive, CrashReport &message)
{
    archive(message.crashes, message.answered, message.answers, message.quarantined);
    if (!archive.isAtEnd())
        archive(message.refused);
}

template<class Archive>
void save(Archive &archive, const QuarantineState &message)
{
    archive(message.watched, message.quarantined);
    if (!message.lifted.empty() || !message.trials.empty())
        archive(message.lifted, message.trials);
}

template<class Archive>
void load(Archive &archive, QuarantineState &message)
{
    archive(message.watched, message.quarantined);
    if (!archive.isAtEnd())
        archive(message.lifted, message.trials);
}

template<class Archive>
void serialize(Archive &archive, RelayList &message)
{
    archive(message.relays);
}

template<class Archive>
void serialize(Archive &archive, ColdGrant &record)
{
    archive(record.endpoint, record.parts);
}

template<class Archive>
void serialize(Archive &archive, ColdGrants &message)
{
    archive(message.nonce, message.grants);
}

} // namespace cereal

namespace fireflyroute::net {

namespace {

template<typename T>
std::string encode(const T &value)
{
    std::ostringstream out;
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
    return std::move(out).str();
}

template<typename T>
Result<T> decode(std::string_view bytes)
{
    T value;
    // cereal reports truncated input and invalid lengths by exceptions.
    try {
        FrameInputArchive archive(bytes);
        archive(value);
    } catch (const std::exception &problem) {
        return NetFailure{NetError::Malformed, problem.what()};
    }
    return value;
}

} // namespace

std::string encodeMessage(const core::SiteMessage &message)
{
    return encode(message);
}

Result<core::SiteMessage> decodeMessage(std::string_view bytes)
{
    return decode<core::SiteMessage>(bytes);
}

std::string encodeCommand(const core::SiteCommand &command)
{
    return encode(command);
}

Result<core::SiteCommand> decodeCommand(std::string_view bytes)
{
    return decode<core::SiteCommand>(bytes);
}

std::string encodeSiteData(const core::SiteData &data)
{
    return encode(data);
}

Result<core::SiteData> decodeSiteData(std::string_view bytes)
{
    return decode<core::SiteData>(bytes);
}

} // namespace fireflyroute::net
