// Encoders and decoders of control messages. A variant is encoded as an object with one member,
// which is named after the alternative.

#include "net/control_json.h"

#include "net/claim_json.h"
#include "net/config_json.h"
#include "net/json_fields.h"
#include "net/ledger_json.h"

namespace fireflyroute::net {

namespace {

std::string enumText(std::string_view view)
{
    return std::string(view);
}

Json::Value tagged(const char *tag, Json::Value body)
{
    Json::Value json;
    json[tag] = std::move(body);
    return json;
}

Json::Value encodeChange(const core::SetFleet &change)
{
    return tagged("set_fleet", toJson(change.config));
}

Json::Value encodeChange(const core::AddException &change)
{
    return tagged("add_exception", toJson(change.exception));
}

Json::Value encodeChange(const core::RemoveException &change)
{
    Json::Value json;
    json["id"] = change.id.value();
    json["reason"] = change.reason;
    return tagged("remove_exception", json);
}

Json::Value encodeChange(const core::StartRollout &change)
{
    Json::Value json;
    json["model"] = change.model.value();
    json["to"] = change.to.value();
    json["stages_permille"] = Json::Value(Json::arrayValue);
    for (const std::uint32_t stage : change.stagesPermille)
        json["stages_permille"].append(Json::UInt(stage));
    json["gates"] = toJson(change.gates);
    json["reason"] = change.reason;
    return tagged("start_rollout", json);
}

Json::Value encodeChange(const core::StepRollout &change)
{
    Json::Value json;
    json["model"] = change.model.value();
    json["step"] = enumText(core::nameOf(change.step));
    json["reason"] = change.reason;
    return tagged("step_rollout", json);
}

Json::Value encodeChange(const core::WithdrawVersion &change)
{
    Json::Value json;
    json["target"] = toJson(change.target);
    json["reason"] = change.reason;
    return tagged("withdraw_version", json);
}

Json::Value encodeChange(const core::HoldVersion &change)
{
    Json::Value json;
    json["target"] = toJson(change.target);
    json["hold"] = change.hold;
    json["reason"] = change.reason;
    return tagged("hold_version", json);
}

Result<core::ConfigChange> readRemoveException(const Json::Value &value,
                                               const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::RemoveException change;
    change.id = reader.identifier<core::ExceptionId>("id");
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ConfigChange(change);
}

Result<std::uint32_t> readStage(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isUInt())
        return NetFailure{NetError::Malformed, jsonPath + ": must be a whole number"};
    return value.asUInt();
}

Result<core::ConfigChange> readStartRollout(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::StartRollout change;
    change.model = reader.identifier<core::ModelName>("model");
    change.to = reader.identifier<core::VersionName>("to");
    change.stagesPermille = reader.list<std::uint32_t>("stages_permille", readStage);
    change.gates = reader.list<core::RolloutGate>("gates", readRolloutGate);
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ConfigChange(change);
}

Result<core::ConfigChange> readStepRollout(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::StepRollout change;
    change.model = reader.identifier<core::ModelName>("model");
    change.step = reader.enumerator<core::RolloutStep>("step");
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ConfigChange(change);
}

Result<core::ConfigChange> readWithdraw(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::WithdrawVersion change;
    change.target = reader.nested(readModelVersion(reader.object("target"), reader.path("target")));
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ConfigChange(change);
}

Result<core::ConfigChange> readHold(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::HoldVersion change;
    change.target = reader.nested(readModelVersion(reader.object("target"), reader.path("target")));
    change.hold = reader.boolean("hold", true);
    change.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ConfigChange(change);
}

Result<core::ConfigChange> readChange(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isObject() || value.size() != 1)
        return NetFailure{NetError::Malformed, jsonPath + ": must hold exactly one change"};
    const std::string tag = value.getMemberNames().front();
    const Json::Value &body = value[tag];
    const std::string path = jsonPath + "." + tag;
    if (tag == "set_fleet") {
        BOOST_OUTCOME_TRY(config, readFleetConfig(body, path));
        return core::ConfigChange(core::SetFleet{config});
    }
    if (tag == "add_exception") {
        BOOST_OUTCOME_TRY(exception, readException(body, path));
        return core::ConfigChange(core::AddException{exception});
    }
    if (tag == "remove_exception")
        return readRemoveException(body, path);
    if (tag == "start_rollout")
        return readStartRollout(body, path);
    if (tag == "step_rollout")
        return readStepRollout(body, path);
    if (tag == "withdraw_version")
        return readWithdraw(body, path);
    if (tag == "hold_version")
        return readHold(body, path);
    return NetFailure{NetError::Malformed, path + ": unknown change"};
}

Json::Value encodeCommand(const core::ConfigCommand &command)
{
    Json::Value json;
    json["id"] = command.id.value();
    json["author"] = command.author.value();
    json["at_ms"] = Json::Int64(command.at.time_since_epoch().count());
    json["expected"] = Json::UInt64(core::toNumber(command.expected));
    json["change"] =
            std::visit([](const auto &change) { return encodeChange(change); }, command.change);
    return tagged("config", json);
}

Json::Value encodeCommand(const core::LedgerCommand &command)
{
    Json::Value json;
    json["id"] = command.id.value();
    json["operations"] = Json::Value(Json::arrayValue);
    for (const core::LedgerOperation &operation : command.operations)
        json["operations"].append(toJson(operation));
    return tagged("ledger", json);
}

Json::Value encodeCommand(const core::ClaimCommand &command)
{
    return tagged("claim", toJson(command));
}

Result<core::ControlCommand> readConfigCommand(const Json::Value &value,
                                               const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ConfigCommand command;
    command.id = reader.identifier<core::CommandId>("id");
    command.author = reader.identifier<core::OperatorName>("author");
    command.at = reader.wallTime("at_ms");
    command.expected = reader.numericId<core::Revision>("expected");
    command.change = reader.nested(readChange(reader.object("change"), reader.path("change")));
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ControlCommand(command);
}

Result<core::ControlCommand> readLedgerCommand(const Json::Value &value,
                                               const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerCommand command;
    command.id = reader.identifier<core::CommandId>("id");
    command.operations = reader.list<core::LedgerOperation>("operations", readLedgerOperation);
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ControlCommand(command);
}

Json::Value encodeReply(const core::ConfigReply &reply)
{
    Json::Value json;
    json["accepted"] = reply.accepted;
    json["revision"] = Json::UInt64(core::toNumber(reply.revision));
    json["error"] = enumText(core::nameOf(reply.error));
    json["detail"] = reply.detail;
    return tagged("config", json);
}

Json::Value encodeReply(const core::LedgerReply &reply)
{
    Json::Value json;
    json["outcomes"] = Json::Value(Json::arrayValue);
    for (const core::LedgerOutcome &outcome : reply.outcomes)
        json["outcomes"].append(toJson(outcome));
    return tagged("ledger", json);
}

Json::Value encodeReply(const core::ClaimReply &reply)
{
    return tagged("claim", toJson(reply));
}

Result<core::ControlReply> readConfigReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ConfigReply reply;
    reply.accepted = reader.boolean("accepted", false);
    reply.revision = reader.numericId<core::Revision>("revision");
    reply.error = reader.enumerator<core::CoreError>("error", reply.error);
    reply.detail = reader.text("detail", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ControlReply(reply);
}

Result<core::ControlReply> readLedgerReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::LedgerReply reply;
    reply.outcomes = reader.list<core::LedgerOutcome>("outcomes", readLedgerOutcome);
    BOOST_OUTCOME_TRYV(reader.finish());
    return core::ControlReply(reply);
}

Json::Value vmToJson(const core::VmAddress &vm)
{
    Json::Value json;
    json["id"] = vm.id.value();
    json["incarnation"] = Json::UInt64(core::toNumber(vm.incarnation));
    json["address"] = vm.address;
    json["data_centre"] = vm.dataCentre.value();
    return json;
}

Result<core::VmAddress> readVm(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::VmAddress vm;
    vm.id = reader.identifier<core::VmId>("id");
    vm.incarnation = reader.numericId<core::Incarnation>("incarnation");
    vm.address = reader.text("address");
    vm.dataCentre = core::DataCentreId(reader.text("data_centre", ""));
    BOOST_OUTCOME_TRYV(reader.finish());
    return vm;
}

} // namespace

Json::Value toJson(const core::ControlCommand &command)
{
    return std::visit([](const auto &alternative) { return encodeCommand(alternative); }, command);
}

Result<core::ControlCommand> readControlCommand(const Json::Value &value,
                                                const std::string &jsonPath)
{
    if (value.isObject() && value.isMember("config"))
        return readConfigCommand(value["config"], jsonPath + ".config");
    if (value.isObject() && value.isMember("ledger"))
        return readLedgerCommand(value["ledger"], jsonPath + ".ledger");
    if (value.isObject() && value.isMember("claim")) {
        BOOST_OUTCOME_TRY(command, readClaimCommand(value["claim"], jsonPath + ".claim"));
        return core::ControlCommand(command);
    }
    return NetFailure{NetError::Malformed, jsonPath + ": unknown command"};
}

Json::Value toJson(const core::ControlReply &reply)
{
    return std::visit([](const auto &alternative) { return encodeReply(alternative); }, reply);
}

Result<core::ControlReply> readControlReply(const Json::Value &value, const std::string &jsonPath)
{
    if (value.isObject() && value.isMember("config"))
        return readConfigReply(value["config"], jsonPath + ".config");
    if (value.isObject() && value.isMember("ledger"))
        return readLedgerReply(value["ledger"], jsonPath + ".ledger");
    if (value.isObject() && value.isMember("claim")) {
        BOOST_OUTCOME_TRY(reply, readClaimReply(value["claim"], jsonPath + ".claim"));
        return core::ControlReply(reply);
    }
    return NetFailure{NetError::Malformed, jsonPath + ": unknown reply"};
}

Json::Value toJson(const core::LedgerRecord &record)
{
    Json::Value json = toJson(record.second);
    json["name"] = record.first.name;
    return json;
}

Json::Value toJson(const core::ConfigHistoryEntry &entry)
{
    Json::Value json;
    json["revision"] = Json::UInt64(core::toNumber(entry.revision));
    json["author"] = entry.author.value();
    json["at_ms"] = Json::Int64(entry.at.time_since_epoch().count());
    json["summary"] = entry.summary;
    json["reason"] = entry.reason;
    return json;
}

Json::Value toJson(const core::FollowRequest &request)
{
    Json::Value json;
    json["group"] = Json::UInt(core::toNumber(request.group));
    json["entry"] = vmToJson(request.entry);
    json["number"] = Json::UInt64(request.number);
    json["confirmed"] = Json::UInt64(core::toNumber(request.confirmed));
    json["leaving"] = request.leaving;
    return json;
}

Result<core::FollowRequest> readFollowRequest(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::FollowRequest request;
    request.group = reader.numericId<core::GroupId>("group");
    request.entry = reader.nested(readVm(reader.object("entry"), reader.path("entry")));
    request.number = reader.number<std::uint64_t>("number", 0);
    request.confirmed = reader.numericId<core::Revision>("confirmed");
    request.leaving = reader.boolean("leaving", false);
    BOOST_OUTCOME_TRYV(reader.finish());
    return request;
}

Json::Value toJson(const core::FollowReply &reply)
{
    Json::Value json;
    json["group"] = Json::UInt(core::toNumber(reply.group));
    json["granted"] = reply.granted;
    json["leader_address"] = reply.leaderAddress;
    json["number"] = Json::UInt64(reply.number);
    json["term"] = Json::UInt64(reply.term);
    json["lease_ms"] = Json::Int64(reply.lease.count());
    json["revision"] = Json::UInt64(core::toNumber(reply.revision));
    if (reply.config)
        json["config"] = toJson(*reply.config);
    json["entries"] = Json::Value(Json::arrayValue);
    for (const core::VmAddress &entry : reply.entries)
        json["entries"].append(vmToJson(entry));
    return json;
}

Result<core::FollowReply> readFollowReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::FollowReply reply;
    reply.group = reader.numericId<core::GroupId>("group");
    reply.granted = reader.boolean("granted", false);
    reply.leaderAddress = reader.text("leader_address", "");
    reply.number = reader.number<std::uint64_t>("number", 0);
    reply.term = reader.number<std::uint64_t>("term", 0);
    reply.lease = reader.milliseconds("lease_ms", reply.lease);
    reply.revision = reader.numericId<core::Revision>("revision");
    if (reader.has("config"))
        reply.config =
                reader.nested(readFleetConfig(reader.object("config"), reader.path("config")));
    reply.entries = reader.list<core::VmAddress>("entries", readVm);
    BOOST_OUTCOME_TRYV(reader.finish());
    return reply;
}

Json::Value toJson(const core::SubmitRequest &request)
{
    Json::Value json;
    json["group"] = Json::UInt(core::toNumber(request.group));
    json["command"] = toJson(request.command);
    return json;
}

Result<core::SubmitRequest> readSubmitRequest(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::SubmitRequest request;
    request.group = reader.numericId<core::GroupId>("group");
    request.command =
            reader.nested(readControlCommand(reader.object("command"), reader.path("command")));
    BOOST_OUTCOME_TRYV(reader.finish());
    return request;
}

Json::Value toJson(const core::SubmitReply &reply)
{
    Json::Value json;
    json["group"] = Json::UInt(core::toNumber(reply.group));
    if (reply.reply)
        json["reply"] = toJson(*reply.reply);
    json["leader_address"] = reply.leaderAddress;
    json["problem"] = reply.problem;
    return json;
}

Result<core::SubmitReply> readSubmitReply(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::SubmitReply reply;
    reply.group = reader.numericId<core::GroupId>("group");
    if (reader.has("reply"))
        reply.reply = reader.nested(readControlReply(reader.object("reply"), reader.path("reply")));
    reply.leaderAddress = reader.text("leader_address", "");
    reply.problem = reader.text("problem", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return reply;
}

} // namespace fireflyroute::net
