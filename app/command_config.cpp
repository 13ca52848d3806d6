// Commands that show and replace the fleet configuration.

#include "app/command_exception_text.h"
#include "app/command_groups.h"
#include "app/command_output.h"
#include "app/system_clock.h"
#include "net/config_json.h"

#include <boost/algorithm/string/join.hpp>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

void printDefaults(const core::Defaults &defaults)
{
    fmt::print("defaults\n  quality target {}, ratings {} permille, retries {} permille, "
               "roll-out exposure at most {} permille\n  first byte {} ms, between tokens {} ms\n",
               defaults.qualityTarget, defaults.ratingSamplePermille, defaults.retryBudgetPermille,
               defaults.rolloutExposureMaxPermille, defaults.firstByteTimeout.count(),
               defaults.interTokenTimeout.count());
    for (const core::RankPolicy &rank : defaults.ranks) {
        fmt::print("  rank {:<12} first token {} ms, queue {} ms and {} requests, guaranteed {} "
                   "permille\n",
                   core::nameOf(rank.rank), rank.firstTokenTarget.count(),
                   rank.queueTimeout.count(), rank.queueLimit, rank.guaranteedSharePermille);
    }
    for (const core::TaskPolicy &task : defaults.tasks)
        fmt::print("  task {:<24} quality target {}\n", task.task.value(), task.qualityTarget);
}

void printModels(const core::FleetConfig &config)
{
    for (const core::ModelSpec &model : config.models) {
        fmt::print("model {}, new sessions on {}\n", model.name.value(), model.stable.value());
        for (const core::VersionSpec &version : model.versions) {
            fmt::print("  version {:<12} {:<10} {}\n", version.name.value(),
                       core::nameOf(version.state), version.stateReason);
        }
        if (model.rollout) {
            const core::Rollout &rollout = *model.rollout;
            fmt::print("  roll-out {} to {}: {}, stage {} of {}, {}\n", rollout.from.value(),
                       rollout.to.value(), core::nameOf(rollout.phase), rollout.stage + 1,
                       rollout.stagesPermille.size(), rollout.reason);
        }
    }
}

// Objects that a new configuration removes; the operator has to confirm the removal.
std::vector<std::string> removedItems(const core::FleetConfig &current,
                                      const core::FleetConfig &next)
{
    std::vector<std::string> removed;
    for (const core::ModelSpec &model : current.models) {
        if (!core::findModel(next, model.name)) {
            removed.push_back("model " + model.name.value());
            continue;
        }
        for (const core::VersionSpec &version : model.versions) {
            const core::ModelVersion id{model.name, version.name};
            if (!core::findVersion(next, id))
                removed.push_back("version " + core::toString(id));
        }
    }
    for (const core::ClientAccount &account : current.accounts) {
        if (!core::findAccount(next, account.id))
            removed.push_back("client account " + account.id.value());
    }
    for (const core::ServiceSpec &service : current.services) {
        const core::ServiceSpec *changed = core::findService(next, service.name);
        if (!changed)
            removed.push_back("service " + service.name.value());
        else if (!service.allowedAccounts.empty() && changed->allowedAccounts.empty())
            removed.push_back("the restriction of service " + service.name.value()
                              + " to accounts");
    }
    return removed;
}

} // namespace

int showConfig(const CommandSettings &settings)
{
    const OperatorClient client(settings);
    if (settings.json) {
        const Result<Json::Value> state = client.call("state", Json::Value(Json::objectValue));
        if (!state)
            return reportFailure(state.error());
        printJson(state.value());
        return kExitOk;
    }
    const Result<core::FleetConfig> config = client.config();
    if (!config)
        return reportFailure(config.error());
    fmt::print("revision {}\n", core::toNumber(config.value().revision));
    printDefaults(config.value().defaults);
    fmt::print("exceptions: {}\n", config.value().exceptions.size());
    const core::WallTime now = SystemClock().wallNow();
    for (const core::ConfigException &exception : config.value().exceptions)
        fmt::print("  {}", exceptionText(exception, now));
    printModels(config.value());
    fmt::print("client accounts: {}, services: {}\n", config.value().accounts.size(),
               config.value().services.size());
    return kExitOk;
}

// The file may contain the revision that it is based on; otherwise the current revision is used.
int setConfig(const CommandSettings &settings)
{
    if (settings.file.empty())
        return reportUsage("config set: --file is required");
    const Result<Json::Value> json = readJsonFile(settings.file);
    if (!json)
        return reportFailure(json.error());
    const net::Result<core::FleetConfig> requested = net::readFleetConfig(json.value(), "");
    if (!requested)
        return reportUsage(requested.error().detail);
    const OperatorClient client(settings);
    const Result<core::FleetConfig> current = client.config();
    if (!current)
        return reportFailure(current.error());
    const std::vector<std::string> removed = removedItems(current.value(), requested.value());
    if (!removed.empty()
        && !confirmChange(settings, "remove " + boost::algorithm::join(removed, ", ")))
        return kExitUsage;
    const core::Revision baseRevision = json.value().isMember("revision")
                                                ? requested.value().revision
                                                : current.value().revision;
    const Result<core::ConfigReply> reply =
            client.submit(baseRevision, core::SetFleet{requested.value()});
    if (!reply)
        return reportFailure(reply.error());
    return finishChange(settings, client, reply.value());
}

int listConfigHistory(const CommandSettings &settings)
{
    Json::Value parameters;
    parameters["after"] = 0;
    const Result<Json::Value> reply = OperatorClient(settings).call("history", parameters);
    if (!reply)
        return reportFailure(reply.error());
    if (settings.json) {
        printJson(reply.value());
        return kExitOk;
    }
    for (const Json::Value &entry : reply.value()["history"]) {
        fmt::print("{:>6}  {:<16} {:<40} {}\n", entry["revision"].asUInt64(),
                   entry["author"].asString(), entry["summary"].asString(),
                   entry["reason"].asString());
    }
    return kExitOk;
}

} // namespace fireflyroute::app
