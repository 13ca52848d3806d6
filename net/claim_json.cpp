// Encoders and decoders of commands on claims. A change is encoded as an object with one member,
// which is named after the type of the change.

#include "net/claim_json.h"

#include "net/json_fields.h"

namespace fireflyroute::net {

namespace {

Json::Value encode(const core::ResolveClaim &change)
{
    Json::Value json;
    json["resolve"]["claim"] = change.claim;
    json["resolve"]["resolution"] = std::string(core::nameOf(change.resolution));
    json["resolve"]["reason"] = change.reason;
    return json;
}

Json::Value encode(const core::AbandonClaims &change)
{
    Json::Value json;
    json["abandon"]["claimant"] = change.claimant.value();
    json["abandon"]["incarnation"] = Json::UInt64(core::toNumber(change.incarnation));
    return json;
}

Json::Value encode(const core::SealClaims &change)
{
    Json::Value json;
    json["seal"]["before_ms"] = Json::Int64(change.before.time_since_epoch().count());
    return json;
}

Result<core::ClaimChange> readResolve(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ResolveClaim change;
    change.claim = reader.text("claim");
    change.resolution = reader.enumerator<core::ClaimResolution>("resolution");
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ClaimChange(change);
}

Result<core::ClaimChange> readAbandon(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::AbandonClaims change;
    change.claimant = reader.identifier<core::VmId>("claimant");
    change.incarnation = reader.numericId<core::Incarnation>("incarnation");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ClaimChange(change);
}

Result<core::ClaimChange> readSeal(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::SealClaims change;
    change.before = reader.wallTime("before_ms");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ClaimChange(change);
}

Result<core::ClaimChange> readChange(const Json::Value &value, const std::string &jsonPath)
{
    if (value.isMember("resolve"))
        return readResolve(value["resolve"], jsonPath + ".resolve");
    if (value.isMember("abandon"))
        return readAbandon(value["abandon"], jsonPath + ".abandon");
    if (value.isMember("seal"))
        return readSeal(value["seal"], jsonPath + ".seal");
    return NetFailure{NetError::Malformed, jsonPath + ": unknown change"};
}

} // namespace

Json::Value toJson(const core::ClaimCommand &command)
{
    Json::Value json;
    json["id"] = command.id.value();
    json["author"] = command.author.value();
    json["at_ms"] = Json::Int64(command.at.time_since_epoch().count());
    json["change"] = std::visit([](const auto &change) { return encode(change); }, command.change);
    return json;
}

Result<core::ClaimCommand> readClaimCommand(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ClaimCommand command;
    command.id = reader.identifier<core::CommandId>("id");
    command.author = reader.identifier<core::OperatorName>("author");
    command.at = reader.wallTime("at_ms");
    command.change = reader.nested(readChange(reader.object("change"), reader.path("change")));
    BOOST_OUTCOME_TRYV(reader.finish());
    return command;
}

Json::Value toJson(const core::ClaimReply &reply)
{
    Json::Value json;
    json["accepted"] = reply.accepted;
    json["changed"] = Json::UInt64(reply.changed);
    json["error"] = std::string(core::nameOf(reply.error));
    json["detail"] = reply.detail;
    return json;
}

Result<core::ClaimReply> readClaimReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ClaimReply reply;
    reply.accepted = reader.boolean("accepted", false);
    reply.changed = reader.number<std::uint64_t>("changed", 0);
    reply.error = reader.enumerator<core::CoreError>("error", reply.error);
    reply.detail = reader.text("detail", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return reply;
}

} // namespace fireflyroute::net
