// Encoder and decoder of snapshots.

#include "net/snapshot_json.h"

#include "net/config_json.h"
#include "net/control_json.h"
#include "net/json_fields.h"
#include "net/ledger_json.h"
#include "net/text_json.h"

namespace fireflyroute::net {

namespace {

using RecordedReply = std::pair<core::CommandId, core::ConfigReply>;

Json::Value replyToJson(const RecordedReply &recorded)
{
    Json::Value json;
    json["id"] = recorded.first.value();
    json["reply"] = toJson(core::ControlReply(recorded.second));
    return json;
}

Result<RecordedReply> readReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    const auto id = reader.identifier<core::CommandId>("id");
    const core::ControlReply reply =
            reader.nested(readControlReply(reader.object("reply"), reader.path("reply")));
    BOOST_OUTCOME_TRYV(reader.finish());
    const auto *config = std::get_if<core::ConfigReply>(&reply);
    if (!config)
        return NetFailure{NetError::Malformed,
                          jsonPath + ".reply: must be the reply to a config command"};
    return RecordedReply(id, *config);
}

Result<core::ConfigHistoryEntry> readHistoryEntry(const Json::Value &value,
                                                  const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ConfigHistoryEntry entry;
    entry.revision = reader.numericId<core::Revision>("revision");
    entry.author = reader.identifier<core::OperatorName>("author");
    entry.at = reader.wallTime("at_ms");
    entry.summary = reader.text("summary");
    entry.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return entry;
}

Json::Value recordToJson(const core::LedgerRecord &record)
{
    Json::Value json;
    json["key"] = toJson(record.first);
    json["value"] = toJson(record.second);
    return json;
}

Result<core::LedgerRecord> readRecord(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerRecord record;
    record.first = reader.nested(readLedgerKey(reader.object("key"), reader.path("key")));
    record.second = reader.nested(readLedgerValue(reader.object("value"), reader.path("value")));
    BOOST_OUTCOME_TRYV(reader.finish());
    return record;
}

Result<std::string> readName(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isString())
        return NetFailure{NetError::Malformed, jsonPath + ": must be a string"};
    return value.asString();
}

} // namespace

std::string encodeSnapshot(const core::ControlStateData &data)
{
    Json::Value json;
    json["config"] = toJson(data.config.config);
    json["history"] = Json::Value(Json::arrayValue);
    for (const core::ConfigHistoryEntry &entry : data.config.history)
        json["history"].append(toJson(entry));
    json["replies"] = Json::Value(Json::arrayValue);
    for (const RecordedReply &recorded : data.config.replies)
        json["replies"].append(replyToJson(recorded));
    json["ledger"] = Json::Value(Json::arrayValue);
    for (const core::LedgerRecord &record : data.ledger)
        json["ledger"].append(recordToJson(record));
    json["bill_order"] = Json::Value(Json::arrayValue);
    for (const std::string &name : data.ledgerMeta.billOrder)
        json["bill_order"].append(name);
    json["sealed_before_ms"] = Json::Int64(data.ledgerMeta.sealedBefore.time_since_epoch().count());
    return writeJson(json);
}

Result<core::ControlStateData> readSnapshot(const std::string &text)
{
    BOOST_OUTCOME_TRY(json, parseJson(text));
    FieldReader reader(json, "");
    core::ControlStateData data;
    data.config.config = reader.nested(readFleetConfig(reader.object("config"), "config"));
    data.config.history = reader.list<core::ConfigHistoryEntry>("history", readHistoryEntry);
    data.config.replies = reader.list<RecordedReply>("replies", readReply);
    data.ledger = reader.list<core::LedgerRecord>("ledger", readRecord);
    data.ledgerMeta.billOrder = reader.list<std::string>("bill_order", readName);
    data.ledgerMeta.sealedBefore = reader.wallTime("sealed_before_ms");
    BOOST_OUTCOME_TRYV(reader.finish());
    return data;
}

} // namespace fireflyroute::net
