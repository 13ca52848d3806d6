// Commands on exceptions, and their text form.

#include "app/command_exception_text.h"
#include "app/command_groups.h"
#include "app/command_output.h"
#include "app/system_clock.h"
#include "net/config_json.h"

#include <algorithm>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

std::string ageText(std::chrono::milliseconds age)
{
    using std::chrono::duration_cast;
    if (age >= std::chrono::days(1))
        return fmt::format("{} days", duration_cast<std::chrono::days>(age).count());
    if (age >= std::chrono::hours(1))
        return fmt::format("{} hours", duration_cast<std::chrono::hours>(age).count());
    return fmt::format("{} minutes", duration_cast<std::chrono::minutes>(age).count());
}

template<typename Id>
std::string scopeText(const char *name, const std::optional<Id> &id)
{
    return id ? fmt::format(" {}={}", name, id->value()) : "";
}

bool hasValue(core::ExceptionEffect effect)
{
    return effect == core::ExceptionEffect::QualityTarget
           || effect == core::ExceptionEffect::Weight;
}

std::string expiryText(const core::ConfigException &exception, core::WallTime now)
{
    if (!exception.expiresAt)
        return "no expiry";
    if (*exception.expiresAt <= now)
        return "expired";
    return "expires in " + ageText(*exception.expiresAt - now);
}

} // namespace

std::string exceptionText(const core::ConfigException &exception, core::WallTime now)
{
    std::string text = fmt::format("{}: {}", exception.id.value(), core::nameOf(exception.effect));
    if (hasValue(exception.effect))
        text += fmt::format(" {}", exception.value);
    text += scopeText("account", exception.account);
    text += scopeText("task", exception.task);
    if (exception.rank)
        text += fmt::format(" rank={}", core::nameOf(*exception.rank));
    text += scopeText("model", exception.model);
    text += scopeText("version", exception.version);
    text += fmt::format("\n    reason: {}\n    by {}, {} old, {}\n", exception.reason,
                        exception.author.value(), ageText(now - exception.createdAt),
                        expiryText(exception, now));
    return text;
}

int addException(const CommandSettings &settings)
{
    if (settings.file.empty())
        return reportUsage("exception add: --file is required");
    Result<Json::Value> json = readJsonFile(settings.file);
    if (!json)
        return reportFailure(json.error());
    if (!json.value().isObject())
        return reportUsage("--file: must hold one exception as a JSON object");
    if (!settings.reason.empty())
        json.value()["reason"] = settings.reason;
    const net::Result<core::ConfigException> exception = net::readException(json.value(), "");
    if (!exception)
        return reportUsage(exception.error().detail);
    if (isBlank(exception.value().reason))
        return reportUsage("exception add: a written --reason is required");
    return submitChange(settings, core::AddException{exception.value()});
}

int removeException(const CommandSettings &settings)
{
    if (settings.id.empty())
        return reportUsage("exception remove: --id is required");
    if (isBlank(settings.reason))
        return reportUsage("exception remove: a written --reason is required");
    const OperatorClient client(settings);
    const Result<core::FleetConfig> config = client.config();
    if (!config)
        return reportFailure(config.error());
    const auto &exceptions = config.value().exceptions;
    const auto found =
            std::find_if(exceptions.begin(), exceptions.end(), [&](const auto &exception) {
                return exception.id.value() == settings.id;
            });
    if (found == exceptions.end()) {
        return reportFailure(
                AppFailure{AppError::Refused, "exception " + settings.id + ": not found"});
    }
    const std::string effect = "remove exception " + exceptionText(*found, SystemClock().wallNow());
    if (!confirmChange(settings, effect))
        return kExitUsage;
    const Result<core::ConfigReply> reply =
            client.submit(config.value().revision,
                          core::RemoveException{core::ExceptionId(settings.id), settings.reason});
    if (!reply)
        return reportFailure(reply.error());
    return finishChange(settings, client, reply.value());
}

int listExceptions(const CommandSettings &settings)
{
    const Result<core::FleetConfig> config = OperatorClient(settings).config();
    if (!config)
        return reportFailure(config.error());
    const core::WallTime now = SystemClock().wallNow();
    Json::Value json(Json::arrayValue);
    for (const core::ConfigException &exception : config.value().exceptions) {
        json.append(net::toJson(exception));
        if (!settings.json)
            fmt::print("{}", exceptionText(exception, now));
    }
    if (settings.json)
        printJson(json);
    return kExitOk;
}

} // namespace fireflyroute::app
