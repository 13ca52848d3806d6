// Entry point of the fireflyroute binary.

#include "app/command_evacuation.h"
#include "app/commands.h"
#include "app/serve.h"
#include "app/settings.h"
#include "app/site_process.h"
#include "platform/dialect.h"

#include <fmt/format.h>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    using namespace fireflyroute::app;
    std::vector<std::string> words;
    parseSettings(argc, argv, words);
    if (isHelpRequested() || words.empty()) {
        fmt::print("{}{}", helpText(words), flagsHelp());
        return words.empty() && !isHelpRequested() ? kExitUsage : kExitOk;
    }
    if (words == std::vector<std::string>{"serve"})
        return runServe();
    if (words == std::vector<std::string>{"site"}) {
        const Result<SiteSettings> settings = siteSettings();
        if (settings)
            return runSite<fireflyroute::platform::Dialect>(settings.value());
        fmt::print(stderr, "fireflyroute: {}\n", settings.error().detail);
        return kExitUsage;
    }
    if (isEvacuationCommand(words))
        return runEvacuationCommand<fireflyroute::platform::Dialect>(words);
    return runCommand(words);
}
