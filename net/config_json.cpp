// One encoder and one decoder for each part of the fleet configuration.

#include "net/config_json.h"

#include "net/json_fields.h"

#include <string>

namespace fireflyroute::net {

namespace {

using core::nameOf;

std::string enumText(std::string_view view)
{
    return std::string(view);
}

template<typename Item, typename Encode>
Json::Value arrayOf(const std::vector<Item> &items, Encode encode)
{
    Json::Value array(Json::arrayValue);
    for (const Item &item : items)
        array.append(encode(item));
    return array;
}

Json::Value versionSpecToJson(const core::VersionSpec &version)
{
    Json::Value json;
    json["name"] = version.name.value();
    json["state"] = enumText(nameOf(version.state));
    if (!version.stateReason.empty())
        json["state_reason"] = version.stateReason;
    json["input_cost_per_kilo_token"] = Json::Int64(version.inputCostPerKiloToken);
    json["output_cost_per_kilo_token"] = Json::Int64(version.outputCostPerKiloToken);
    json["expected_quality"] = version.expectedQuality;
    return json;
}

Result<core::VersionSpec> readVersionSpec(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::VersionSpec version;
    version.name = reader.identifier<core::VersionName>("name");
    version.state = reader.enumerator<core::VersionState>("state", version.state);
    version.stateReason = reader.text("state_reason", "");
    version.inputCostPerKiloToken = reader.number<core::MicroCost>("input_cost_per_kilo_token", 0);
    version.outputCostPerKiloToken =
            reader.number<core::MicroCost>("output_cost_per_kilo_token", 0);
    version.expectedQuality = reader.real("expected_quality", version.expectedQuality);
    BOOST_OUTCOME_TRYV(reader.finish());
    return version;
}

Json::Value permilleList(const std::vector<std::uint32_t> &stages)
{
    return arrayOf(stages, [](std::uint32_t stage) { return Json::Value(Json::UInt(stage)); });
}

Result<std::uint32_t> readPermille(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isUInt() || value.asUInt() > 1000)
        return NetFailure{NetError::Malformed, jsonPath + ": must be 0 to 1000"};
    return value.asUInt();
}

Json::Value rolloutToJson(const core::Rollout &rollout)
{
    Json::Value json;
    json["from"] = rollout.from.value();
    json["to"] = rollout.to.value();
    json["phase"] = enumText(nameOf(rollout.phase));
    json["stages_permille"] = permilleList(rollout.stagesPermille);
    json["stage"] = Json::UInt(rollout.stage);
    json["gates"] = toJson(rollout.gates);
    json["stage_since_ms"] = Json::Int64(rollout.stageSince.time_since_epoch().count());
    json["reason"] = rollout.reason;
    return json;
}

Result<core::Rollout> readRollout(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::Rollout rollout;
    rollout.from = reader.identifier<core::VersionName>("from");
    rollout.to = reader.identifier<core::VersionName>("to");
    rollout.phase = reader.enumerator<core::RolloutPhase>("phase", rollout.phase);
    rollout.stagesPermille = reader.list<std::uint32_t>("stages_permille", readPermille);
    rollout.stage = reader.number<std::uint32_t>("stage", 0);
    rollout.gates = reader.list<core::RolloutGate>("gates", readRolloutGate);
    if (reader.has("stage_since_ms"))
        rollout.stageSince = reader.wallTime("stage_since_ms");
    rollout.reason = reader.text("reason", "");
    BOOST_OUTCOME_TRYV(reader.finish());
    return rollout;
}

Json::Value modelToJson(const core::ModelSpec &model)
{
    Json::Value json;
    json["name"] = model.name.value();
    json["stable"] = model.stable.value();
    json["versions"] = arrayOf(model.versions, versionSpecToJson);
    if (model.rollout)
        json["rollout"] = rolloutToJson(*model.rollout);
    return json;
}

Result<core::ModelSpec> readModel(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ModelSpec model;
    model.name = reader.identifier<core::ModelName>("name");
    model.stable = reader.identifier<core::VersionName>("stable");
    model.versions = reader.list<core::VersionSpec>("versions", readVersionSpec);
    if (reader.has("rollout"))
        model.rollout =
                reader.nested(readRollout(reader.object("rollout"), reader.path("rollout")));
    BOOST_OUTCOME_TRYV(reader.finish());
    return model;
}

Json::Value permissionToJson(const core::ModelPermission &permission)
{
    Json::Value json;
    json["model"] = permission.model.value();
    if (permission.version)
        json["version"] = permission.version->value();
    return json;
}

Result<core::ModelPermission> readPermission(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ModelPermission permission;
    permission.model = reader.identifier<core::ModelName>("model");
    permission.version = reader.optionalIdentifier<core::VersionName>("version");
    BOOST_OUTCOME_TRYV(reader.finish());
    return permission;
}

Json::Value accountToJson(const core::ClientAccount &account)
{
    Json::Value json;
    json["id"] = account.id.value();
    json["key_salt"] = account.keySalt;
    json["key_hash"] = account.keyHash;
    json["weight"] = Json::UInt(account.weight);
    json["tokens_per_minute"] = Json::UInt64(account.tokensPerMinute);
    json["max_concurrent"] = Json::UInt(account.maxConcurrent);
    json["max_rank"] = enumText(nameOf(account.maxRank));
    json["allowed"] = arrayOf(account.allowed, permissionToJson);
    return json;
}

Result<core::ClientAccount> readAccount(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ClientAccount account;
    account.id = reader.identifier<core::ClientAccountId>("id");
    account.keySalt = reader.text("key_salt", "");
    account.keyHash = reader.text("key_hash", "");
    account.weight = reader.number<std::uint32_t>("weight", account.weight);
    account.tokensPerMinute = reader.number<std::uint64_t>("tokens_per_minute", 0);
    account.maxConcurrent = reader.number<std::uint32_t>("max_concurrent", 0);
    account.maxRank = reader.enumerator<core::Rank>("max_rank", account.maxRank);
    account.allowed = reader.list<core::ModelPermission>("allowed", readPermission);
    BOOST_OUTCOME_TRYV(reader.finish());
    return account;
}

Json::Value callToJson(const core::NonRepeatableCall &call)
{
    Json::Value json;
    json["method"] = call.method;
    json["path_prefix"] = call.pathPrefix;
    return json;
}

Result<core::NonRepeatableCall> readCall(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::NonRepeatableCall call;
    call.method = reader.text("method");
    call.pathPrefix = reader.text("path_prefix");
    BOOST_OUTCOME_TRYV(reader.finish());
    return call;
}

Result<core::ClientAccountId> readAccountId(const Json::Value &value, const std::string &jsonPath)
{
    if (!value.isString())
        return NetFailure{NetError::Malformed, jsonPath + ": must be a string"};
    return core::ClientAccountId(value.asString());
}

Json::Value serviceToJson(const core::ServiceSpec &service)
{
    Json::Value json;
    json["name"] = service.name.value();
    json["non_repeatable"] = arrayOf(service.nonRepeatable, callToJson);
    json["allowed_accounts"] = arrayOf(service.allowedAccounts, [](const auto &account) {
        return Json::Value(account.value());
    });
    return json;
}

Result<core::ServiceSpec> readService(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ServiceSpec service;
    service.name = reader.identifier<core::ServiceName>("name");
    service.nonRepeatable = reader.list<core::NonRepeatableCall>("non_repeatable", readCall);
    service.allowedAccounts = reader.list<core::ClientAccountId>("allowed_accounts", readAccountId);
    BOOST_OUTCOME_TRYV(reader.finish());
    return service;
}

Json::Value rankToJson(const core::RankPolicy &policy)
{
    Json::Value json;
    json["rank"] = enumText(nameOf(policy.rank));
    json["first_token_target_ms"] = Json::Int64(policy.firstTokenTarget.count());
    json["queue_timeout_ms"] = Json::Int64(policy.queueTimeout.count());
    json["guaranteed_share_permille"] = Json::UInt(policy.guaranteedSharePermille);
    json["queue_limit"] = Json::UInt(policy.queueLimit);
    return json;
}

Result<core::RankPolicy> readRank(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::RankPolicy policy;
    policy.rank = reader.enumerator<core::Rank>("rank");
    policy.firstTokenTarget = reader.milliseconds("first_token_target_ms", policy.firstTokenTarget);
    policy.queueTimeout = reader.milliseconds("queue_timeout_ms", policy.queueTimeout);
    policy.guaranteedSharePermille = reader.number<std::uint32_t>("guaranteed_share_permille", 0);
    policy.queueLimit = reader.number<std::uint32_t>("queue_limit", policy.queueLimit);
    BOOST_OUTCOME_TRYV(reader.finish());
    return policy;
}

Json::Value taskToJson(const core::TaskPolicy &task)
{
    Json::Value json;
    json["task"] = task.task.value();
    json["quality_target"] = task.qualityTarget;
    return json;
}

Result<core::TaskPolicy> readTask(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::TaskPolicy task;
    task.task = reader.identifier<core::TaskName>("task");
    task.qualityTarget = reader.real("quality_target", task.qualityTarget);
    BOOST_OUTCOME_TRYV(reader.finish());
    return task;
}

Json::Value defaultsToJson(const core::Defaults &defaults)
{
    Json::Value json;
    json["ranks"] = Json::Value(Json::arrayValue);
    for (const core::RankPolicy &policy : defaults.ranks)
        json["ranks"].append(rankToJson(policy));
    json["tasks"] = arrayOf(defaults.tasks, taskToJson);
    json["quality_target"] = defaults.qualityTarget;
    json["rating_sample_permille"] = Json::UInt(defaults.ratingSamplePermille);
    json["retry_budget_permille"] = Json::UInt(defaults.retryBudgetPermille);
    json["rollout_exposure_max_permille"] = Json::UInt(defaults.rolloutExposureMaxPermille);
    json["endpoint_concurrency"] = Json::UInt(defaults.endpointConcurrency);
    json["first_byte_timeout_ms"] = Json::Int64(defaults.firstByteTimeout.count());
    json["inter_token_timeout_ms"] = Json::Int64(defaults.interTokenTimeout.count());
    json["weight_loads_per_minute"] = Json::UInt(defaults.weightLoadsPerMinute);
    return json;
}

// Ranks that are missing in the document keep their built-in policy.
void applyRankPolicies(core::Defaults &defaults, const std::vector<core::RankPolicy> &policies)
{
    for (const core::RankPolicy &policy : policies)
        defaults.ranks[static_cast<std::size_t>(policy.rank)] = policy;
}

Result<core::Defaults> readDefaults(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::Defaults defaults;
    applyRankPolicies(defaults, reader.list<core::RankPolicy>("ranks", readRank));
    defaults.tasks = reader.list<core::TaskPolicy>("tasks", readTask);
    defaults.qualityTarget = reader.real("quality_target", defaults.qualityTarget);
    defaults.ratingSamplePermille =
            reader.number("rating_sample_permille", defaults.ratingSamplePermille);
    defaults.retryBudgetPermille =
            reader.number("retry_budget_permille", defaults.retryBudgetPermille);
    defaults.rolloutExposureMaxPermille =
            reader.number("rollout_exposure_max_permille", defaults.rolloutExposureMaxPermille);
    defaults.endpointConcurrency =
            reader.number("endpoint_concurrency", defaults.endpointConcurrency);
    defaults.firstByteTimeout =
            reader.milliseconds("first_byte_timeout_ms", defaults.firstByteTimeout);
    defaults.interTokenTimeout =
            reader.milliseconds("inter_token_timeout_ms", defaults.interTokenTimeout);
    defaults.weightLoadsPerMinute =
            reader.number("weight_loads_per_minute", defaults.weightLoadsPerMinute);
    BOOST_OUTCOME_TRYV(reader.finish());
    return defaults;
}

} // namespace

Json::Value toJson(const std::vector<core::RolloutGate> &gates)
{
    return arrayOf(gates, [](const core::RolloutGate &gate) {
        Json::Value json;
        json["duration_s"] = Json::Int64(gate.duration.count());
        json["min_ratings"] = Json::UInt(gate.minRatings);
        return json;
    });
}

Result<core::RolloutGate> readRolloutGate(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::RolloutGate gate;
    gate.duration =
            std::chrono::seconds(reader.number<std::int64_t>("duration_s", gate.duration.count()));
    gate.minRatings = reader.number<std::uint32_t>("min_ratings", gate.minRatings);
    BOOST_OUTCOME_TRYV(reader.finish());
    return gate;
}

Json::Value toJson(const core::ModelVersion &version)
{
    Json::Value json;
    json["model"] = version.model.value();
    json["version"] = version.version.value();
    return json;
}

Result<core::ModelVersion> readModelVersion(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ModelVersion version;
    version.model = reader.identifier<core::ModelName>("model");
    version.version = reader.identifier<core::VersionName>("version");
    BOOST_OUTCOME_TRYV(reader.finish());
    return version;
}

Json::Value toJson(const core::ConfigException &exception)
{
    Json::Value json;
    json["id"] = exception.id.value();
    if (exception.account)
        json["account"] = exception.account->value();
    if (exception.task)
        json["task"] = exception.task->value();
    if (exception.rank)
        json["rank"] = enumText(nameOf(*exception.rank));
    if (exception.model)
        json["model"] = exception.model->value();
    if (exception.version)
        json["version"] = exception.version->value();
    json["effect"] = enumText(nameOf(exception.effect));
    json["value"] = exception.value;
    json["reason"] = exception.reason;
    json["author"] = exception.author.value();
    json["created_at_ms"] = Json::Int64(exception.createdAt.time_since_epoch().count());
    if (exception.expiresAt)
        json["expires_at_ms"] = Json::Int64(exception.expiresAt->time_since_epoch().count());
    return json;
}

Result<core::ConfigException> readException(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::ConfigException exception;
    exception.id = reader.identifier<core::ExceptionId>("id");
    exception.account = reader.optionalIdentifier<core::ClientAccountId>("account");
    exception.task = reader.optionalIdentifier<core::TaskName>("task");
    if (reader.has("rank"))
        exception.rank = reader.enumerator<core::Rank>("rank");
    exception.model = reader.optionalIdentifier<core::ModelName>("model");
    exception.version = reader.optionalIdentifier<core::VersionName>("version");
    exception.effect = reader.enumerator<core::ExceptionEffect>("effect");
    exception.value = reader.real("value", 0);
    exception.reason = reader.text("reason", "");
    exception.author = core::OperatorName(reader.text("author", ""));
    if (reader.has("created_at_ms"))
        exception.createdAt = reader.wallTime("created_at_ms");
    if (reader.has("expires_at_ms"))
        exception.expiresAt = reader.wallTime("expires_at_ms");
    BOOST_OUTCOME_TRYV(reader.finish());
    return exception;
}

Json::Value toJson(const core::FleetConfig &config)
{
    Json::Value json;
    json["revision"] = Json::UInt64(core::toNumber(config.revision));
    json["defaults"] = defaultsToJson(config.defaults);
    json["models"] = arrayOf(config.models, modelToJson);
    json["accounts"] = arrayOf(config.accounts, accountToJson);
    json["services"] = arrayOf(config.services, serviceToJson);
    json["exceptions"] =
            arrayOf(config.exceptions, [](const auto &exception) { return toJson(exception); });
    return json;
}

Result<core::FleetConfig> readFleetConfig(const Json::Value &value, const std::string &jsonPath)
{
    FieldReader reader(value, jsonPath);
    core::FleetConfig config;
    config.revision = core::Revision(reader.number<std::uint64_t>("revision", 0));
    config.defaults =
            reader.nested(readDefaults(reader.object("defaults"), reader.path("defaults")));
    config.models = reader.list<core::ModelSpec>("models", readModel);
    config.accounts = reader.list<core::ClientAccount>("accounts", readAccount);
    config.services = reader.list<core::ServiceSpec>("services", readService);
    config.exceptions = reader.list<core::ConfigException>("exceptions", readException);
    BOOST_OUTCOME_TRYV(reader.finish());
    return config;
}

} // namespace fireflyroute::net
