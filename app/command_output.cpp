// Output, failures and changes of operator commands.

#include "app/command_output.h"

#include "net/text_json.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>
#include <json/writer.h>

namespace fireflyroute::app {

int reportFailure(const AppFailure &failure)
{
    fmt::print(stderr, "fireflyroute: {}\n", failure.detail);
    if (failure.code == AppError::InvalidSetting)
        return kExitUsage;
    return failure.code == AppError::NetworkFailed ? kExitUnreachable : kExitFailure;
}

int reportUsage(const std::string &problem)
{
    fmt::print(stderr, "fireflyroute: {}\n", problem);
    return kExitUsage;
}

void printJson(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    fmt::print("{}\n", Json::writeString(builder, json));
}

Result<Json::Value> readJsonFile(const std::string &path)
{
    std::ifstream file;
    if (path != "-") {
        file.open(path);
        if (!file)
            return AppFailure{AppError::InvalidSetting, "--file: cannot read " + path};
    }
    std::istream &in = path == "-" ? std::cin : file;
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const net::Result<Json::Value> json = net::parseJson(text);
    if (!json)
        return AppFailure{AppError::InvalidSetting, "--file: " + json.error().detail};
    return json.value();
}

bool isBlank(const std::string &text)
{
    return text.find_first_not_of(" \t\r\n") == std::string::npos;
}

int finishChange(const CommandSettings &settings, const OperatorClient &client,
                 const core::ConfigReply &reply)
{
    if (!reply.accepted) {
        fmt::print(stderr, "fireflyroute: {}: {}\n", core::nameOf(reply.error), reply.detail);
        return reply.error == core::CoreError::RevisionConflict ? kExitConflict : kExitFailure;
    }
    const std::uint64_t revision = core::toNumber(reply.revision);
    if (!settings.json)
        fmt::print("accepted: revision {}\n", revision);
    const Result<bool> inForce = client.waitInForce(reply.revision);
    const bool isInForce = inForce.has_value() && inForce.value();
    if (settings.json) {
        Json::Value json;
        json["revision"] = Json::UInt64(revision);
        json["accepted"] = true;
        json["in_force"] = isInForce;
        printJson(json);
    } else if (isInForce) {
        fmt::print("in force: revision {}\n", revision);
    }
    if (!isInForce) {
        fmt::print(stderr, "fireflyroute: not confirmed to be in force on every entry\n");
        return kExitFailure;
    }
    return kExitOk;
}

int submitChange(const CommandSettings &settings, const core::ConfigChange &change)
{
    const OperatorClient client(settings);
    const Result<core::FleetConfig> current = client.config();
    if (!current)
        return reportFailure(current.error());
    const Result<core::ConfigReply> reply = client.submit(current.value().revision, change);
    if (!reply)
        return reportFailure(reply.error());
    return finishChange(settings, client, reply.value());
}

bool confirmChange(const CommandSettings &settings, const std::string &effect)
{
    if (settings.yes)
        return true;
    fmt::print(stderr, "fireflyroute: would {}; nothing was changed, use --yes to confirm\n",
               effect);
    return false;
}

} // namespace fireflyroute::app
