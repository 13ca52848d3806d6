// Encoders and decoders of ledger messages. A value is encoded as an object with one member, which
// is named after the kind of the value.

#include "net/ledger_json.h"

#include "net/config_json.h"
#include "net/json_fields.h"
#include "net/replication_json.h"

namespace fireflyroute::net {

namespace {

Json::Value encode(const core::PinValue &pin)
{
    return toJson(pin.version);
}

Json::Value encode(const core::ClaimValue &claim)
{
    Json::Value json;
    json["state"] = std::string(core::nameOf(claim.state));
    json["fingerprint"] = claim.fingerprint;
    json["attempt"] = claim.attempt.value();
    json["claimant"] = claim.claimant.value();
    json["claimant_incarnation"] = Json::UInt64(core::toNumber(claim.claimantIncarnation));
    json["answer_status"] = claim.answerStatus;
    json["answer_type"] = claim.answerType;
    json["answer_body"] = encodeBase64(claim.answerBody);
    json["reason"] = claim.reason;
    json["claimed_at_ms"] = Json::Int64(claim.claimedAt.time_since_epoch().count());
    return json;
}

Json::Value encode(const core::BillValue &bill)
{
    Json::Value json;
    json["account"] = bill.account.value();
    json["model"] = bill.version.model.value();
    json["version"] = bill.version.version.value();
    json["service"] = bill.service.value();
    json["prompt_tokens"] = Json::UInt64(bill.promptTokens);
    json["output_tokens"] = Json::UInt64(bill.outputTokens);
    json["cost"] = Json::Int64(bill.cost);
    json["complete"] = bill.complete;
    return json;
}

core::LedgerKind kindOf(const core::LedgerValue &value)
{
    return static_cast<core::LedgerKind>(value.index());
}

Result<core::ClaimValue> readClaim(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ClaimValue claim;
    claim.state = reader.enumerator<core::ClaimState>("state");
    claim.fingerprint = reader.text("fingerprint");
    claim.attempt = reader.identifier<core::RequestId>("attempt");
    claim.claimant = reader.identifier<core::VmId>("claimant");
    claim.claimantIncarnation = reader.numericId<core::Incarnation>("claimant_incarnation");
    claim.answerStatus = reader.number<int>("answer_status", 0);
    claim.answerType = reader.text("answer_type", "");
    claim.answerBody = reader.nested(decodeBase64(reader.text("answer_body", "")));
    claim.reason = reader.text("reason", "");
    claim.claimedAt = reader.wallTime("claimed_at_ms");
    BOOST_OUTCOME_TRYV(reader.finish());
    return claim;
}

Result<core::BillValue> readBill(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::BillValue bill;
    bill.account = reader.identifier<core::ClientAccountId>("account");
    bill.version.model = core::ModelName(reader.text("model", ""));
    bill.version.version = core::VersionName(reader.text("version", ""));
    bill.service = core::ServiceName(reader.text("service", ""));
    bill.promptTokens = reader.number<std::uint64_t>("prompt_tokens", 0);
    bill.outputTokens = reader.number<std::uint64_t>("output_tokens", 0);
    bill.cost = reader.number<core::MicroCost>("cost", 0);
    bill.complete = reader.boolean("complete", true);
    BOOST_OUTCOME_TRYV(reader.finish());
    return bill;
}

} // namespace

Json::Value toJson(const core::LedgerKey &key)
{
    Json::Value json;
    json["kind"] = std::string(core::nameOf(key.kind));
    json["name"] = key.name;
    return json;
}

Json::Value toJson(const core::LedgerValue &value)
{
    Json::Value json;
    const std::string kind(core::nameOf(kindOf(value)));
    json[kind] = std::visit([](const auto &alternative) { return encode(alternative); }, value);
    return json;
}

Json::Value toJson(const core::LedgerOperation &operation)
{
    Json::Value json;
    json["key"] = toJson(operation.key);
    json["value"] = toJson(operation.value);
    if (operation.expected)
        json["expected"] = toJson(*operation.expected);
    return json;
}

Json::Value toJson(const core::LedgerOutcome &outcome)
{
    Json::Value json;
    json["status"] = std::string(core::nameOf(outcome.status));
    if (outcome.current)
        json["present"] = toJson(*outcome.current);
    return json;
}

Result<core::LedgerKey> readLedgerKey(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerKey key;
    key.kind = reader.enumerator<core::LedgerKind>("kind");
    key.name = reader.text("name");
    BOOST_OUTCOME_TRYV(reader.finish());
    return key;
}

Result<core::LedgerValue> readLedgerValue(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    std::optional<core::LedgerValue> found;
    if (reader.has("pin")) {
        BOOST_OUTCOME_TRY(version, readModelVersion(value["pin"], reader.path("pin")));
        found = core::PinValue{version};
    } else if (reader.has("claim")) {
        BOOST_OUTCOME_TRY(claim, readClaim(value["claim"], reader.path("claim")));
        found = claim;
    } else if (reader.has("bill")) {
        BOOST_OUTCOME_TRY(bill, readBill(value["bill"], reader.path("bill")));
        found = bill;
    } else {
        reader.fail("", "must hold a pin, a claim or a bill");
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return *found;
}

Result<core::LedgerOperation> readLedgerOperation(const Json::Value &value,
                                                  const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerOperation operation;
    operation.key = reader.nested(readLedgerKey(reader.object("key"), reader.path("key")));
    operation.value = reader.nested(readLedgerValue(reader.object("value"), reader.path("value")));
    if (reader.has("expected")) {
        operation.expected =
                reader.nested(readLedgerValue(reader.object("expected"), reader.path("expected")));
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return operation;
}

Result<core::LedgerOutcome> readLedgerOutcome(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerOutcome outcome;
    outcome.status = reader.enumerator<core::LedgerStatus>("status");
    if (reader.has("present")) {
        outcome.current =
                reader.nested(readLedgerValue(reader.object("present"), reader.path("present")));
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return outcome;
}

} // namespace fireflyroute::net
