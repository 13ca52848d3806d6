// Encoder and decoder of usage reports.

#include "net/usage_json.h"

#include "net/json_fields.h"

namespace fireflyroute::net {

namespace {

Json::Value lineToJson(const core::UsageLine &line)
{
    Json::Value json;
    json["pool"] = line.key.pool.value();
    json["account"] = line.key.account.value();
    json["rank"] = std::string(core::nameOf(line.key.rank));
    json["tokens"] = Json::Int64(line.totalTokens);
    json["running"] = Json::UInt(line.running);
    return json;
}

Result<core::UsageLine> readLine(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::UsageLine line;
    line.key.pool = reader.identifier<core::PoolId>("pool");
    line.key.account = reader.identifier<core::ClientAccountId>("account");
    line.key.rank = reader.enumerator<core::Rank>("rank");
    line.totalTokens = reader.number<std::int64_t>("tokens");
    line.running = reader.number<std::uint32_t>("running");
    BOOST_OUTCOME_TRYV(reader.finish());
    return line;
}

} // namespace

Json::Value toJson(const core::UsageReport &report)
{
    Json::Value json;
    json["entry"] = report.entry.value();
    json["incarnation"] = Json::UInt64(core::toNumber(report.incarnation));
    json["sequence"] = Json::UInt64(report.sequence);
    json["lines"] = Json::Value(Json::arrayValue);
    for (const core::UsageLine &line : report.lines)
        json["lines"].append(lineToJson(line));
    return json;
}

Result<core::UsageReport> readUsageReport(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::UsageReport report;
    report.entry = reader.identifier<core::VmId>("entry");
    report.incarnation = reader.numericId<core::Incarnation>("incarnation");
    report.sequence = reader.number<std::uint64_t>("sequence");
    report.lines = reader.list<core::UsageLine>("lines", readLine);
    BOOST_OUTCOME_TRYV(reader.finish());
    return report;
}

} // namespace fireflyroute::net
