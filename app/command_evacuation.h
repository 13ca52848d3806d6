// The commands `evacuation start|finish|list`, which call a control VM of a site directly.
//
//   if (isEvacuationCommand(words))
//       return runEvacuationCommand<Dialect>(words);
//
// `Dialect` encodes the calls; see platform/dialect.h.

#ifndef FIREFLYROUTE_APP_COMMAND_EVACUATION_H
#define FIREFLYROUTE_APP_COMMAND_EVACUATION_H

#include "app/command_output.h"
#include "app/settings.h"
#include "core/calls/site_calls.h"
#include "net/http_message.h"

#include <algorithm>
#include <string>
#include <vector>

namespace fireflyroute::app {

[[nodiscard]] bool isEvacuationCommand(const std::vector<std::string> &words);

// Sends a call to the control VM in the settings, follows redirects, and repeats the call while no
// leader can answer, at most for the timeout in the settings. Returns the body of the response.
[[nodiscard]] Result<std::string> callControlVm(const CommandSettings &settings,
                                                const net::HttpRequestMessage &call);

void printEvacuations(const CommandSettings &settings, const core::Evacuations &evacuations);

// `words`: "evacuation" and its subcommand.
template<typename Dialect>
int runEvacuationCommand(const std::vector<std::string> &words)
{
    const Result<CommandSettings> read = commandSettings();
    if (!read)
        return reportFailure(read.error());
    const CommandSettings &settings = read.value();
    if (words[1] != "list") {
        // The name is a part of a path.
        const bool isName = !settings.id.empty()
                            && std::none_of(settings.id.begin(), settings.id.end(), [](char c) {
                                   return c <= ' ' || c == '?' || c == '#' || c == '%';
                               });
        if (!isName)
            return reportUsage("--id must name a data centre");
        const core::SetEvacuationCall order{core::DataCentreId(settings.id), words[1] == "start"};
        const Result<std::string> answer =
                callControlVm(settings, Dialect::encodeControlCall(order));
        if (!answer)
            return reportFailure(answer.error());
    }
    const Result<std::string> body =
            callControlVm(settings, Dialect::encodeControlCall(core::ReadEvacuationsCall{}));
    if (!body)
        return reportFailure(body.error());
    const auto evacuations = Dialect::decodeEvacuations(body.value());
    if (!evacuations)
        return reportFailure({AppError::Internal, evacuations.error().detail});
    printEvacuations(settings, evacuations.value());
    return kExitOk;
}

} // namespace fireflyroute::app

#endif
