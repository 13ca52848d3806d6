// Look-ups and validation of the fleet configuration.

#include "core/config/fleet_config.h"

#include <algorithm>
#include <fmt/format.h>
#include <set>

namespace fireflyroute::core {

namespace {

constexpr std::uint32_t kPermille = 1000;

template<typename Item, typename Key>
const Item *findBy(const std::vector<Item> &items, const Key &key, Key Item::*field)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.*field == key; });
    return found == items.end() ? nullptr : &*found;
}

CoreFailure invalid(std::string detail)
{
    return CoreFailure{CoreError::InvalidArgument, std::move(detail)};
}

bool covers(const ModelPermission &permission, const ModelVersion &target)
{
    if (permission.model != target.model)
        return false;
    return !permission.version || *permission.version == target.version;
}

template<typename Field>
bool matches(const std::optional<Field> &expected, const Field &actual)
{
    return !expected || *expected == actual;
}

bool isInForce(const ConfigException &exception, WallTime now)
{
    return !exception.expiresAt || now < *exception.expiresAt;
}

Result<void> validateRollout(const ModelSpec &model)
{
    if (!model.rollout)
        return outcome::success();
    const Rollout &rollout = *model.rollout;
    const std::string fieldPath = fmt::format("models[{}].rollout", model.name.value());
    if (!findVersion(model, rollout.from) || !findVersion(model, rollout.to))
        return invalid(fieldPath + ": names a version that the model does not have");
    if (rollout.stagesPermille.empty() || rollout.stage >= rollout.stagesPermille.size())
        return invalid(fieldPath + ".stage: out of range");
    if (!std::is_sorted(rollout.stagesPermille.begin(), rollout.stagesPermille.end()))
        return invalid(fieldPath + ".stages_permille: must increase");
    if (rollout.stagesPermille.back() > kPermille)
        return invalid(fieldPath + ".stages_permille: above 1000");
    return outcome::success();
}

Result<void> validateModel(const ModelSpec &model)
{
    const std::string fieldPath = fmt::format("models[{}]", model.name.value());
    if (model.name.empty())
        return invalid("models[].name: empty");
    if (model.name.value().find('@') != std::string::npos)
        return invalid(fieldPath + ".name: contains '@'");
    std::set<VersionName> seen;
    for (const VersionSpec &version : model.versions) {
        if (version.name.empty() || !seen.insert(version.name).second)
            return invalid(fieldPath + ".versions: empty or repeated name");
        if (version.inputCostPerKiloToken < 0 || version.outputCostPerKiloToken < 0)
            return invalid(fieldPath + ".versions: negative cost");
        if (version.expectedQuality < 0 || version.expectedQuality > 1)
            return invalid(fieldPath + ".versions: expected_quality outside 0 to 1");
    }
    if (!findVersion(model, model.stable))
        return invalid(fieldPath + ".stable: names no version of the model");
    return validateRollout(model);
}

Result<void> validateAccount(const FleetConfig &config, const ClientAccount &account)
{
    const std::string fieldPath = fmt::format("accounts[{}]", account.id.value());
    if (account.id.empty())
        return invalid("accounts[].id: empty");
    if (account.weight == 0)
        return invalid(fieldPath + ".weight: zero");
    for (const ModelPermission &permission : account.allowed) {
        const ModelSpec *model = findModel(config, permission.model);
        if (!model)
            return invalid(fieldPath + ".allowed: unknown model " + permission.model.value());
        if (permission.version && !findVersion(*model, *permission.version))
            return invalid(fieldPath + ".allowed: unknown version " + permission.version->value());
    }
    return outcome::success();
}

Result<void> validateException(const ConfigException &exception)
{
    if (exception.id.empty())
        return invalid("exceptions[].id: empty");
    if (exception.reason.find_first_not_of(" \t\r\n") == std::string::npos) {
        return CoreFailure{CoreError::ReasonMissing,
                           fmt::format("exceptions[{}].reason: a written reason is required",
                                       exception.id.value())};
    }
    const bool needsVersion = exception.effect == ExceptionEffect::ForceVersion;
    if (needsVersion && (!exception.model || !exception.version)) {
        return invalid(fmt::format("exceptions[{}]: force_version needs model and version",
                                   exception.id.value()));
    }
    return outcome::success();
}

Result<void> validateDefaults(const Defaults &defaults)
{
    std::uint32_t guaranteed = 0;
    for (const RankPolicy &policy : defaults.ranks)
        guaranteed += policy.guaranteedSharePermille;
    if (guaranteed > kPermille)
        return invalid("defaults.ranks: guaranteed shares add up to more than 1000 permille");
    if (defaults.qualityTarget < 0 || defaults.qualityTarget > 1)
        return invalid("defaults.quality_target: outside 0 to 1");
    if (defaults.endpointConcurrency == 0)
        return invalid("defaults.endpoint_concurrency: zero");
    return outcome::success();
}

template<typename Item, typename Key>
Result<void> requireUnique(const std::vector<Item> &items, Key Item::*field, const char *fieldPath)
{
    std::set<Key> seen;
    for (const Item &item : items) {
        if (!seen.insert(item.*field).second)
            return invalid(fmt::format("{}: '{}' occurs twice", fieldPath, (item.*field).value()));
    }
    return outcome::success();
}

} // namespace

const ModelSpec *findModel(const FleetConfig &config, const ModelName &name)
{
    return findBy(config.models, name, &ModelSpec::name);
}

const VersionSpec *findVersion(const ModelSpec &model, const VersionName &name)
{
    return findBy(model.versions, name, &VersionSpec::name);
}

const VersionSpec *findVersion(const FleetConfig &config, const ModelVersion &id)
{
    const ModelSpec *model = findModel(config, id.model);
    return model ? findVersion(*model, id.version) : nullptr;
}

const ClientAccount *findAccount(const FleetConfig &config, const ClientAccountId &id)
{
    return findBy(config.accounts, id, &ClientAccount::id);
}

const ServiceSpec *findService(const FleetConfig &config, const ServiceName &name)
{
    return findBy(config.services, name, &ServiceSpec::name);
}

bool appliesTo(const ConfigException &exception, const ClientAccountId &account,
               const TaskName &task, Rank rank, const ModelVersion &target, WallTime now)
{
    return matches(exception.account, account) && matches(exception.task, task)
           && matches(exception.rank, rank) && matches(exception.model, target.model)
           && matches(exception.version, target.version) && isInForce(exception, now);
}

bool isAllowed(const FleetConfig &config, const ClientAccount &account, const TaskName &task,
               Rank rank, const ModelVersion &target, WallTime now)
{
    bool allowed = std::any_of(
            account.allowed.begin(), account.allowed.end(),
            [&](const ModelPermission &permission) { return covers(permission, target); });
    for (const ConfigException &exception : config.exceptions) {
        if (!appliesTo(exception, account.id, task, rank, target, now))
            continue;
        if (exception.effect == ExceptionEffect::Deny)
            return false;
        if (exception.effect == ExceptionEffect::Allow)
            allowed = true;
    }
    return allowed;
}

bool admits(const ServiceSpec &service, const ClientAccountId &account)
{
    const std::vector<ClientAccountId> &allowed = service.allowedAccounts;
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), account) != allowed.end();
}

bool isNonRepeatable(const ServiceSpec &service, std::string_view method, std::string_view path)
{
    return std::any_of(service.nonRepeatable.begin(), service.nonRepeatable.end(),
                       [&](const NonRepeatableCall &call) {
                           return call.method == method && path.starts_with(call.pathPrefix);
                       });
}

Result<void> validate(const FleetConfig &config)
{
    BOOST_OUTCOME_TRYV(validateDefaults(config.defaults));
    BOOST_OUTCOME_TRYV(requireUnique(config.models, &ModelSpec::name, "models"));
    BOOST_OUTCOME_TRYV(requireUnique(config.accounts, &ClientAccount::id, "accounts"));
    BOOST_OUTCOME_TRYV(requireUnique(config.services, &ServiceSpec::name, "services"));
    BOOST_OUTCOME_TRYV(requireUnique(config.exceptions, &ConfigException::id, "exceptions"));
    for (const ModelSpec &model : config.models) {
        BOOST_OUTCOME_TRYV(validateModel(model));
    }
    for (const ClientAccount &account : config.accounts) {
        BOOST_OUTCOME_TRYV(validateAccount(config, account));
    }
    for (const ConfigException &exception : config.exceptions) {
        BOOST_OUTCOME_TRYV(validateException(exception));
    }
    return outcome::success();
}

} // namespace fireflyroute::core
