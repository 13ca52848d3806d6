// Commands for roll-outs and withdrawal of versions.

#include "app/command_groups.h"
#include "app/command_output.h"

#include <boost/algorithm/string.hpp>
#include <charconv>

namespace fireflyroute::app {

namespace {

Result<core::ModelVersion> versionSetting(const CommandSettings &settings)
{
    if (settings.model.empty() || settings.version.empty())
        return AppFailure{AppError::InvalidSetting, "--model and --model_version are required"};
    return core::ModelVersion{core::ModelName(settings.model), core::VersionName(settings.version)};
}

Result<std::vector<std::uint32_t>> readStages(const std::string &text)
{
    std::vector<std::string> items;
    boost::algorithm::split(items, text, boost::algorithm::is_any_of(","));
    std::vector<std::uint32_t> stages;
    for (const std::string &item : items) {
        std::uint32_t stage = 0;
        const char *end = item.data() + item.size();
        const auto parsed = std::from_chars(item.data(), end, stage);
        if (parsed.ec != std::errc() || parsed.ptr != end)
            return AppFailure{AppError::InvalidSetting, "--stages: '" + item + "' is not a number"};
        stages.push_back(stage);
    }
    return stages;
}

int stepRollout(const CommandSettings &settings, core::RolloutStep step)
{
    if (settings.model.empty())
        return reportUsage("--model is required");
    return submitChange(settings,
                        core::StepRollout{core::ModelName(settings.model), step, settings.reason});
}

} // namespace

int startRollout(const CommandSettings &settings)
{
    const Result<core::ModelVersion> target = versionSetting(settings);
    if (!target)
        return reportFailure(target.error());
    const Result<std::vector<std::uint32_t>> stages = readStages(settings.stages);
    if (!stages)
        return reportFailure(stages.error());
    return submitChange(settings, core::StartRollout{target.value().model, target.value().version,
                                                     stages.value(), settings.reason});
}

int advanceRollout(const CommandSettings &settings)
{
    return stepRollout(settings, core::RolloutStep::Advance);
}

int holdRollout(const CommandSettings &settings)
{
    return stepRollout(settings, core::RolloutStep::Hold);
}

int resumeRollout(const CommandSettings &settings)
{
    return stepRollout(settings, core::RolloutStep::Resume);
}

int withdrawVersion(const CommandSettings &settings)
{
    const Result<core::ModelVersion> target = versionSetting(settings);
    if (!target)
        return reportFailure(target.error());
    if (!confirmChange(settings, "withdraw " + core::toString(target.value())
                                         + " permanently on every entry"))
        return kExitUsage;
    return submitChange(settings, core::WithdrawVersion{target.value(), settings.reason});
}

} // namespace fireflyroute::app
