// One writer and one reader for each message. Field names are short to keep heartbeats small.

#include "net/replication_json.h"

#include <fmt/format.h>
#include <limits>
#include <openssl/evp.h>

namespace fireflyroute::net {

namespace {

// Name of each message body, in the order of core::MessageBody.
constexpr std::array<std::string_view, std::variant_size_v<core::MessageBody>> kBodyNames{
        "pre_vote_request", "vote_request",   "vote_reply",  "append_request", "append_reply",
        "snapshot_chunk",   "snapshot_reply", "timeout_now", "join_request"};

NetFailure malformed(const std::string &field)
{
    return NetFailure{NetError::Malformed, "replica message: " + field};
}

// Reads the fields of one JSON object and records the first invalid one as the problem.
class MessageFieldReader
{
public:
    explicit MessageFieldReader(const Json::Value &object)
        : object_(object)
    {
        if (!object.isObject())
            problem_ = "not an object";
    }

    std::uint64_t number(const char *name)
    {
        const Json::Value &value = field(name);
        return require(value.isUInt64(), name) ? value.asUInt64() : 0;
    }

    std::string text(const char *name)
    {
        const Json::Value &value = field(name);
        return require(value.isString(), name) ? value.asString() : std::string();
    }

    bool boolean(const char *name)
    {
        const Json::Value &value = field(name);
        return require(value.isBool(), name) && value.asBool();
    }

    std::string bytes(const char *name)
    {
        const Result<std::string> decoded = decodeBase64(text(name));
        return require(decoded.has_value(), name) ? decoded.value() : std::string();
    }

    template<core::NamedEnum Enum>
    Enum enumerator(const char *name)
    {
        const std::optional<Enum> value = core::parseEnum<Enum>(text(name));
        return require(value.has_value(), name) ? *value : Enum{};
    }

    // Reads each element of an array with `read`, which returns a Result.
    template<typename Value, typename Read>
    std::vector<Value> list(const char *name, const Read &read)
    {
        std::vector<Value> values;
        const Json::Value &array = field(name);
        if (!require(array.isArray(), name))
            return values;
        for (const Json::Value &item : array) {
            Result<Value> value = read(item);
            if (!require(value.has_value(), name))
                return values;
            values.push_back(std::move(value).value());
        }
        return values;
    }

    [[nodiscard]] const Json::Value &field(const char *name) const
    {
        return object_.isObject() ? object_[name] : Json::Value::nullSingleton();
    }

    bool require(bool valid, const char *name)
    {
        if (!valid && problem_.empty())
            problem_ = name;
        return valid;
    }

    // Returns the value, or the first problem.
    template<typename Value>
    Result<Value> finish(Value value) const
    {
        if (!problem_.empty())
            return malformed(problem_);
        return value;
    }

private:
    const Json::Value &object_;
    std::string problem_; // empty until a problem is found
};

Json::Value jsonNumber(std::uint64_t value)
{
    return Json::Value(static_cast<Json::UInt64>(value));
}

Json::Value jsonString(std::string_view value)
{
    return Json::Value(value.data(), value.data() + value.size());
}

Json::Value idToJson(const core::ReplicaId &id)
{
    Json::Value value(Json::objectValue);
    value["vm"] = id.vm.value();
    value["inc"] = jsonNumber(static_cast<std::uint64_t>(id.incarnation));
    return value;
}

Result<core::ReplicaId> idFromJson(const Json::Value &value)
{
    MessageFieldReader reader(value);
    core::ReplicaId id{core::VmId(reader.text("vm")), core::Incarnation{reader.number("inc")}};
    return reader.finish(std::move(id));
}

Json::Value membershipToJson(const core::Membership &membership)
{
    Json::Value members(Json::arrayValue);
    for (const core::Member &member : membership.members) {
        Json::Value value = idToJson(member.id);
        value["role"] = jsonString(nameOf(member.role));
        members.append(std::move(value));
    }
    return members;
}

Result<core::Member> memberFromJson(const Json::Value &value)
{
    MessageFieldReader reader(value);
    const Result<core::ReplicaId> id = idFromJson(value);
    if (!reader.require(id.has_value(), "id"))
        return reader.finish(core::Member{});
    return reader.finish(core::Member{id.value(), reader.enumerator<core::MemberRole>("role")});
}

Json::Value entryToJson(const core::LogEntry &entry)
{
    Json::Value value(Json::objectValue);
    value["i"] = jsonNumber(entry.index);
    value["t"] = jsonNumber(entry.term);
    value["kind"] = jsonString(nameOf(entry.kind));
    if (entry.kind == core::EntryKind::Command)
        value["data"] = encodeBase64(entry.payload.value());
    if (entry.kind == core::EntryKind::Membership)
        value["members"] = membershipToJson(entry.membership);
    return value;
}

Result<core::LogEntry> entryFromJson(const Json::Value &value)
{
    MessageFieldReader reader(value);
    core::LogEntry entry;
    entry.index = reader.number("i");
    entry.term = reader.number("t");
    entry.kind = reader.enumerator<core::EntryKind>("kind");
    if (entry.kind == core::EntryKind::Command)
        entry.payload = reader.bytes("data");
    if (entry.kind == core::EntryKind::Membership)
        entry.membership.members = reader.list<core::Member>("members", memberFromJson);
    return reader.finish(std::move(entry));
}

// Message bodies.

void write(Json::Value &out, const core::PreVoteRequest &body)
{
    out["last"] = jsonNumber(body.lastIndex);
    out["last_term"] = jsonNumber(body.lastTerm);
}

void write(Json::Value &out, const core::VoteRequest &body)
{
    out["last"] = jsonNumber(body.lastIndex);
    out["last_term"] = jsonNumber(body.lastTerm);
    out["transfer"] = body.transfer;
}

void write(Json::Value &out, const core::VoteReply &body)
{
    out["pre"] = body.preVote;
    out["granted"] = body.granted;
}

void write(Json::Value &out, const core::AppendRequest &body)
{
    out["prev"] = jsonNumber(body.previousIndex);
    out["prev_term"] = jsonNumber(body.previousTerm);
    out["commit"] = jsonNumber(body.commit);
    out["round"] = jsonNumber(body.round);
    Json::Value entries(Json::arrayValue);
    for (const core::LogEntry &entry : body.entries)
        entries.append(entryToJson(entry));
    out["entries"] = std::move(entries);
}

void write(Json::Value &out, const core::AppendReply &body)
{
    out["ok"] = body.success;
    out["match"] = jsonNumber(body.match);
    out["rejected"] = jsonNumber(body.rejected);
    out["hint"] = jsonNumber(body.hint);
    out["round"] = jsonNumber(body.round);
}

void write(Json::Value &out, const core::SnapshotChunk &body)
{
    out["i"] = jsonNumber(body.meta.index);
    out["t"] = jsonNumber(body.meta.term);
    out["members"] = membershipToJson(body.meta.membership);
    out["total"] = jsonNumber(body.totalBytes);
    out["offset"] = jsonNumber(body.offset);
    out["data"] = encodeBase64(body.data);
    out["round"] = jsonNumber(body.round);
}

void write(Json::Value &out, const core::SnapshotReply &body)
{
    out["i"] = jsonNumber(body.index);
    out["next"] = jsonNumber(body.nextOffset);
    out["round"] = jsonNumber(body.round);
}

void write(Json::Value & /*out*/, const core::TimeoutNow & /*body*/) {}

void write(Json::Value &out, const core::JoinRequest &body)
{
    out["role"] = jsonString(nameOf(body.role));
}

void read(MessageFieldReader &in, core::PreVoteRequest &body)
{
    body.lastIndex = in.number("last");
    body.lastTerm = in.number("last_term");
}

void read(MessageFieldReader &in, core::VoteRequest &body)
{
    body.lastIndex = in.number("last");
    body.lastTerm = in.number("last_term");
    body.transfer = in.boolean("transfer");
}

void read(MessageFieldReader &in, core::VoteReply &body)
{
    body.preVote = in.boolean("pre");
    body.granted = in.boolean("granted");
}

void read(MessageFieldReader &in, core::AppendRequest &body)
{
    body.previousIndex = in.number("prev");
    body.previousTerm = in.number("prev_term");
    body.commit = in.number("commit");
    body.round = in.number("round");
    body.entries = in.list<core::LogEntry>("entries", entryFromJson);
}

void read(MessageFieldReader &in, core::AppendReply &body)
{
    body.success = in.boolean("ok");
    body.match = in.number("match");
    body.rejected = in.number("rejected");
    body.hint = in.number("hint");
    body.round = in.number("round");
}

void read(MessageFieldReader &in, core::SnapshotChunk &body)
{
    body.meta.index = in.number("i");
    body.meta.term = in.number("t");
    body.meta.membership.members = in.list<core::Member>("members", memberFromJson);
    body.totalBytes = in.number("total");
    body.offset = in.number("offset");
    body.data = in.bytes("data");
    body.round = in.number("round");
}

void read(MessageFieldReader &in, core::SnapshotReply &body)
{
    body.index = in.number("i");
    body.nextOffset = in.number("next");
    body.round = in.number("round");
}

void read(MessageFieldReader & /*in*/, core::TimeoutNow & /*body*/) {}

void read(MessageFieldReader &in, core::JoinRequest &body)
{
    body.role = in.enumerator<core::MemberRole>("role");
}

// Reads the body with the given name, searching kBodyNames from position `I`.
template<std::size_t I = 0>
bool readBody(MessageFieldReader &in, std::string_view name, core::MessageBody &body)
{
    if constexpr (I < std::variant_size_v<core::MessageBody>) {
        if (name != kBodyNames[I])
            return readBody<I + 1>(in, name, body);
        read(in, body.emplace<I>());
        return true;
    } else {
        return false;
    }
}

} // namespace

Json::Value toJson(const core::ReplicaMessage &message)
{
    Json::Value value(Json::objectValue);
    value["group"] = jsonNumber(static_cast<std::uint32_t>(message.group));
    value["from"] = idToJson(message.from);
    value["to"] = idToJson(message.to);
    value["term"] = jsonNumber(message.term);
    value["type"] = jsonString(kBodyNames[message.body.index()]);
    std::visit([&](const auto &body) { write(value, body); }, message.body);
    return value;
}

Result<core::ReplicaMessage> readReplicaMessage(const Json::Value &value)
{
    MessageFieldReader reader(value);
    core::ReplicaMessage message;
    const std::uint64_t group = reader.number("group");
    reader.require(group <= std::numeric_limits<std::uint32_t>::max(), "group");
    message.group = core::GroupId{static_cast<std::uint32_t>(group)};
    message.term = reader.number("term");
    const Result<core::ReplicaId> from = idFromJson(reader.field("from"));
    const Result<core::ReplicaId> to = idFromJson(reader.field("to"));
    if (reader.require(from.has_value(), "from"))
        message.from = from.value();
    if (reader.require(to.has_value(), "to"))
        message.to = to.value();
    reader.require(readBody(reader, reader.text("type"), message.body), "type");
    return reader.finish(std::move(message));
}

std::string encodeBase64(const std::string &bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0'); // EVP_EncodeBlock appends a NUL
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

Result<std::string> decodeBase64(const std::string &text)
{
    // EVP_DecodeBlock ignores surrounding white space. Only canonical text, which encodes back to
    // itself, is accepted.
    std::string out(text.size(), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(out.data()),
                                     reinterpret_cast<const unsigned char *>(text.data()),
                                     static_cast<int>(text.size()));
    if (size < 0)
        return NetFailure{NetError::Malformed, "not base64"};
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(static_cast<std::size_t>(size) - std::min<std::size_t>(padding, size));
    if (encodeBase64(out) != text)
        return NetFailure{NetError::Malformed, "not canonical base64"};
    return out;
}

} // namespace fireflyroute::net
