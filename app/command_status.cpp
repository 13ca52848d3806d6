// Commands that show the current state of the fleet: status and endpoints.

#include "app/command_groups.h"
#include "app/command_output.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

Json::Value noParameters()
{
    return Json::Value(Json::objectValue);
}

// Prints revision, leader and entries of the state.
void printState(const Json::Value &state)
{
    fmt::print("revision {}, in force on every entry: {}\n", state["revision"].asUInt64(),
               state["in_force"].asUInt64());
    fmt::print("leader: {}\n", state.get("leader", "not reported").asString());
    for (const Json::Value &entry : state["entries"])
        fmt::print("entry {} {}\n", entry["id"].asString(), entry["address"].asString());
}

void printEndpoints(const Json::Value &endpoints)
{
    fmt::print("endpoints: {}\n", endpoints.size());
    for (const Json::Value &endpoint : endpoints) {
        fmt::print("  {:<20} {:<10} {:<10} running {}, queued {}\n", endpoint["id"].asString(),
                   endpoint["data_centre"].asString(), endpoint["phase"].asString(),
                   endpoint["load"]["running"].asUInt(), endpoint["load"]["queued"].asUInt());
    }
}

} // namespace

int showStatus(const CommandSettings &settings)
{
    const OperatorClient client(settings);
    const Result<Json::Value> state = client.call("state", noParameters());
    if (!state)
        return reportFailure(state.error());
    const Result<Json::Value> endpoints = client.call("endpoints", noParameters());
    if (!endpoints)
        return reportFailure(endpoints.error());
    if (settings.json) {
        Json::Value json = state.value();
        json.removeMember("config");
        json["endpoints"] = endpoints.value()["endpoints"];
        printJson(json);
        return kExitOk;
    }
    printState(state.value());
    printEndpoints(endpoints.value()["endpoints"]);
    return kExitOk;
}

int listEndpoints(const CommandSettings &settings)
{
    const Result<Json::Value> reply = OperatorClient(settings).call("endpoints", noParameters());
    if (!reply)
        return reportFailure(reply.error());
    printJson(reply.value());
    return kExitOk;
}

} // namespace fireflyroute::app
