// The command that prints the merged event timeline of all processes.

#include "app/command_groups.h"
#include "app/command_output.h"
#include "core/timeline/timeline_text.h"
#include "net/event_json.h"
#include "net/text_json.h"

#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

Result<core::EventFilter> filterOf(const CommandSettings &settings)
{
    core::EventFilter filter;
    if (settings.model.empty() != settings.version.empty())
        return AppFailure{AppError::InvalidSetting,
                          "--model and --model_version must be given together"};
    if (!settings.model.empty())
        filter.version = core::ModelVersion{core::ModelName(settings.model),
                                            core::VersionName(settings.version)};
    if (!settings.request.empty())
        filter.request = core::RequestId(settings.request);
    if (!settings.endpoint.empty())
        filter.endpoint = core::EndpointId(settings.endpoint);
    filter.from = settings.from;
    filter.until = settings.until;
    return filter;
}

Result<std::vector<core::Event>> readEvents(const Json::Value &array)
{
    std::vector<core::Event> events;
    for (const Json::Value &json : array) {
        net::Result<core::Event> event = net::readEvent(json, "event");
        if (!event)
            return fromNet(event.error());
        events.push_back(std::move(event.value()));
    }
    return events;
}

void printEvents(const CommandSettings &settings, const std::vector<core::Event> &events)
{
    if (settings.html) {
        fmt::print("{}", core::timelineHtml(events, "Time line"));
        return;
    }
    for (const core::Event &event : events) {
        fmt::print("{}\n",
                   settings.json ? net::writeJson(net::toJson(event)) : core::timelineLine(event));
    }
}

} // namespace

int showTimeline(const CommandSettings &settings)
{
    const Result<core::EventFilter> filter = filterOf(settings);
    if (!filter)
        return reportFailure(filter.error());
    const Result<Json::Value> reply =
            OperatorClient(settings).call("timeline", Json::Value(Json::objectValue));
    if (!reply)
        return reportFailure(reply.error());
    const Result<std::vector<core::Event>> events = readEvents(reply.value()["events"]);
    if (!events)
        return reportFailure(events.error());
    printEvents(settings, core::selectEvents(events.value(), filter.value()));
    for (const Json::Value &address : reply.value()["unreachable"])
        fmt::print(stderr, "fireflyroute: {} did not respond\n", address.asString());
    return kExitOk;
}

} // namespace fireflyroute::app
