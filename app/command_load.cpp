// The command that runs a load test against an entry and reports latency.

#include "app/command_groups.h"
#include "app/command_output.h"
#include "app/load_run.h"
#include "net/http_listener.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

constexpr std::size_t kLoadThreads = 8;

} // namespace

int runLoadCommand(const CommandSettings &settings)
{
    if (settings.file.empty())
        return reportUsage("load: --file is required");
    const Result<Json::Value> json = readJsonFile(settings.file);
    if (!json)
        return reportFailure(json.error());
    const Result<LoadSetup> setup = readLoadSetup(json.value());
    if (!setup)
        return reportFailure(setup.error());
    net::startTrafficThreads(kLoadThreads);
    const LoadReport report = runLoad(setup.value(), settings.server, settings.timeout);
    if (settings.svg)
        fmt::print("{}", report.svg());
    else if (settings.json)
        printJson(report.json());
    else
        fmt::print("seed {}\n{}", setup.value().profile.seed, report.text());
    return report.count(LoadOutcome::Unreachable) == 0 ? kExitOk : kExitUnreachable;
}

} // namespace fireflyroute::app
