// JSON-RPC methods of the control role: each decodes its parameters, calls the control thread and
// encodes the result.

#include "app/control_rpc.h"

#include "net/config_json.h"
#include "net/control_json.h"
#include "net/json_fields.h"
#include "net/replication_json.h"

#include <stdexcept>

namespace fireflyroute::app {

namespace {

constexpr std::size_t kRecordsPageSize = 1000;

// Converts a decoder failure into the exception that the JSON-RPC library reports.
template<typename T>
T orThrow(net::Result<T> result)
{
    if (!result)
        throw std::runtime_error(result.error().detail);
    return std::move(result.value());
}

void orThrow(net::Result<void> result)
{
    if (!result)
        throw std::runtime_error(result.error().detail);
}

Json::Value revisionJson(core::Revision revision)
{
    return Json::UInt64(core::toNumber(revision));
}

// Must run on the leader: only the leader receives the confirmations that show which revision is in
// force, and the state of other replicas may be older.
Json::Value stateJson(ControlVm &control)
{
    const core::InForceReport report = control.inForce();
    Json::Value json;
    json["config"] = net::toJson(*control.state().config().config());
    json["revision"] = revisionJson(report.revision);
    json["in_force"] = revisionJson(report.inForce);
    json["leader"] = control.self().vm.value();
    json["members"] = Json::Value(Json::arrayValue);
    for (const core::Member &member : control.membership().members) {
        Json::Value memberJson;
        memberJson["vm"] = member.id.vm.value();
        memberJson["incarnation"] = Json::UInt64(core::toNumber(member.id.incarnation));
        memberJson["role"] = std::string(core::nameOf(member.role));
        json["members"].append(memberJson);
    }
    return json;
}

Json::Value historyJson(const ControlVm &control, core::Revision after)
{
    Json::Value json;
    json["history"] = Json::Value(Json::arrayValue);
    for (const core::ConfigHistoryEntry &entry : control.state().config().historyAfter(after))
        json["history"].append(net::toJson(entry));
    return json;
}

Json::Value recordsJson(const ControlVm &control, core::LedgerKind kind, const std::string &after)
{
    Json::Value json;
    json["records"] = Json::Value(Json::arrayValue);
    for (const core::LedgerRecord &record :
         control.state().ledger().list(kind, after, kRecordsPageSize))
        json["records"].append(net::toJson(record));
    return json;
}

// Runs `describe` on the control thread if this VM is the leader. Otherwise throws, and the caller
// tries another control VM.
Json::Value readFromLeader(ControlLoop &loop, ControlVm &control,
                           const std::function<Json::Value(ControlVm &)> &describe)
{
    const Json::Value reply = callOnControlThread<Json::Value>(
            loop, [&control, describe](const std::function<void(Json::Value)> &respond) {
                respond(control.isLeader() ? describe(control) : Json::Value());
            });
    if (reply.isNull())
        throw std::runtime_error("not the leader");
    return reply;
}

} // namespace

void addControlMethods(RpcService &service, ControlLoop &loop, ControlVm &control)
{
    service.add("follow", [&](const Json::Value &parameters) {
        const auto request = orThrow(net::readFollowRequest(parameters, "follow"));
        return net::toJson(callOnControlThread<core::FollowReply>(
                loop,
                [&control, request](const auto &respond) { respond(control.follow(request)); }));
    });
    service.add("submit", [&](const Json::Value &parameters) {
        const auto request = orThrow(net::readSubmitRequest(parameters, "submit"));
        return net::toJson(callOnControlThread<core::SubmitReply>(
                loop,
                [&control, request](const auto &respond) { control.submit(request, respond); }));
    });
    service.add("replica", [&](const Json::Value &parameters) {
        const auto message = orThrow(net::readReplicaMessage(parameters));
        loop.post([&control, message] { control.receive(message); });
        return Json::Value(Json::objectValue);
    });
    service.add("state",
                [&](const Json::Value &) { return readFromLeader(loop, control, stateJson); });
    service.add("history", [&](const Json::Value &parameters) {
        net::FieldReader reader(parameters, "history");
        const auto after = reader.numericId<core::Revision>("after");
        orThrow(reader.finish());
        return readFromLeader(loop, control,
                              [after](ControlVm &leader) { return historyJson(leader, after); });
    });
    service.add("records", [&](const Json::Value &parameters) {
        net::FieldReader reader(parameters, "records");
        const auto kind = reader.enumerator<core::LedgerKind>("kind");
        const std::string after = reader.text("after", "");
        orThrow(reader.finish());
        return readFromLeader(loop, control, [kind, after](ControlVm &leader) {
            return recordsJson(leader, kind, after);
        });
    });
}

} // namespace fireflyroute::app
