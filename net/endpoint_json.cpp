// Encoder and decoder of endpoint announcements.

#include "net/endpoint_json.h"

#include "net/config_json.h"
#include "net/json_fields.h"

namespace fireflyroute::net {

namespace {

Json::Value loadToJson(const core::EndpointLoad &load)
{
    Json::Value json;
    json["running"] = Json::UInt(load.running);
    json["queued"] = Json::UInt(load.queued);
    json["concurrency"] = Json::UInt(load.concurrency);
    json["tokens_per_second"] = load.tokensPerSecond;
    return json;
}

Result<core::EndpointLoad> readLoad(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::EndpointLoad load;
    load.running = reader.number<std::uint32_t>("running", 0);
    load.queued = reader.number<std::uint32_t>("queued", 0);
    load.concurrency = reader.number<std::uint32_t>("concurrency", 0);
    load.tokensPerSecond = reader.real("tokens_per_second", 0);
    BOOST_OUTCOME_TRYV(reader.finish());
    return load;
}

Result<core::ServiceName> readServiceName(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isString())
        return NetFailure{NetError::Malformed, jsonPath + ": must be a string"};
    return core::ServiceName(value.asString());
}

Result<std::uint64_t> readHash(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isUInt64())
        return NetFailure{NetError::Malformed, jsonPath + ": must be a whole number"};
    return value.asUInt64();
}

} // namespace

Json::Value toJson(const core::EndpointAnnouncement &announcement)
{
    Json::Value json;
    json["id"] = announcement.id.value();
    json["incarnation"] = Json::UInt64(core::toNumber(announcement.incarnation));
    json["sequence"] = Json::UInt64(announcement.sequence);
    json["address"] = announcement.address;
    json["data_centre"] = announcement.dataCentre.value();
    json["phase"] = std::string(core::nameOf(announcement.phase));
    json["versions"] = Json::Value(Json::arrayValue);
    for (const core::ModelVersion &version : announcement.versions)
        json["versions"].append(toJson(version));
    json["services"] = Json::Value(Json::arrayValue);
    for (const core::ServiceName &service : announcement.services)
        json["services"].append(service.value());
    json["checks_fencing"] = announcement.checksFencing;
    json["load"] = loadToJson(announcement.load);
    json["cached_prefixes"] = Json::Value(Json::arrayValue);
    for (const std::uint64_t hash : announcement.cachedPrefixes)
        json["cached_prefixes"].append(Json::UInt64(hash));
    return json;
}

Result<core::EndpointAnnouncement> readAnnouncement(const Json::Value &value,
                                                    const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::EndpointAnnouncement announcement;
    announcement.id = reader.identifier<core::EndpointId>("id");
    announcement.incarnation = reader.numericId<core::Incarnation>("incarnation");
    announcement.sequence = reader.number<std::uint64_t>("sequence");
    announcement.address = reader.text("address");
    announcement.dataCentre = core::DataCentreId(reader.text("data_centre", ""));
    announcement.phase = reader.enumerator<core::EndpointPhase>("phase");
    announcement.versions = reader.list<core::ModelVersion>("versions", readModelVersion);
    announcement.services = reader.list<core::ServiceName>("services", readServiceName);
    announcement.checksFencing = reader.boolean("checks_fencing", false);
    announcement.load = reader.nested(readLoad(reader.object("load"), reader.path("load")));
    announcement.cachedPrefixes = reader.list<std::uint64_t>("cached_prefixes", readHash);
    BOOST_OUTCOME_TRYV(reader.finish());
    return announcement;
}

} // namespace fireflyroute::net
