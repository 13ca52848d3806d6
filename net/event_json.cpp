// Encoder and decoder of events. The encoder omits empty fields.

#include "net/event_json.h"

#include "net/config_json.h"
#include "net/json_fields.h"

namespace fireflyroute::net {

Json::Value toJson(const core::Event &event)
{
    Json::Value json;
    json["kind"] = std::string(core::nameOf(event.kind));
    json["at_ms"] = Json::Int64(event.at.wall.time_since_epoch().count());
    json["counter"] = Json::UInt(event.at.counter);
    json["vm"] = event.vm.value();
    json["incarnation"] = Json::UInt64(core::toNumber(event.incarnation));
    json["sequence"] = Json::UInt64(event.sequence);
    if (!event.request.empty())
        json["request"] = event.request.value();
    if (!event.version.model.empty())
        json["version"] = toJson(event.version);
    if (!event.endpoint.empty())
        json["endpoint"] = event.endpoint.value();
    if (!event.account.empty())
        json["account"] = event.account.value();
    if (core::toNumber(event.revision) != 0)
        json["revision"] = Json::UInt64(core::toNumber(event.revision));
    if (!event.detail.empty())
        json["detail"] = event.detail;
    return json;
}

Result<core::Event> readEvent(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::Event event;
    event.kind = reader.enumerator<core::EventKind>("kind");
    event.at.wall = reader.wallTime("at_ms");
    event.at.counter = reader.number<std::uint32_t>("counter", 0);
    event.vm = reader.identifier<core::VmId>("vm");
    event.incarnation = reader.numericId<core::Incarnation>("incarnation");
    event.sequence = reader.number<std::uint64_t>("sequence");
    event.request = core::RequestId(reader.text("request", ""));
    if (reader.has("version"))
        event.version =
                reader.nested(readModelVersion(reader.object("version"), reader.path("version")));
    event.endpoint = core::EndpointId(reader.text("endpoint", ""));
    event.account = core::ClientAccountId(reader.text("account", ""));
    event.revision = core::Revision(reader.number<std::uint64_t>("revision", 0));
    event.detail = reader.text("detail", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return event;
}

} // namespace fireflyroute::net
