// Commands on the replicated state of a site.

#include "core/site/site_state.h"

namespace fireflyroute::core {

namespace {

// An operator that receives no acknowledgement repeats the order for several seconds, during which
// the roll-out may already have ended.
constexpr std::int64_t kDuplicateWindowMs = 12'000;

} // namespace

std::string describeDocumentVersion(const SiteData &data)
{
    return data.document ? std::to_string(data.document->version) : "none";
}

void SiteState::apply(const SiteCommand &command)
{
    if (std::visit([this](const auto &typed) { return applyChange(typed); }, command))
        ++data_.revision;
}

bool SiteState::applyChange(const PutDocument &command)
{
    // Nothing is less than every version.
    if (data_.documentVersion() >= command.document.version)
        return false;
    data_.document = command.document;
    return true;
}

bool SiteState::applyChange(const StartSiteRollout &command)
{
    const auto [found, isNew] =
            data_.rollouts.try_emplace(command.rollout.service, command.rollout);
    SiteRollout &current = found->second;
    if (!isNew) {
        const std::int64_t intervalMs = command.rollout.orderedAtMs - current.orderedAtMs;
        const bool isDuplicate = current.target == command.rollout.target
                                 && (!current.isFinal() || intervalMs < kDuplicateWindowMs);
        if (isDuplicate)
            return false;
        current = command.rollout;
    }
    current.number = data_.revision + 1;
    current.stage = RolloutStage::Canary;
    return true;
}

bool SiteState::applyChange(const SetRolloutStage &command)
{
    const auto found = data_.rollouts.find(command.service);
    if (found == data_.rollouts.end())
        return false;
    SiteRollout &current = found->second;
    const bool applies =
            current.number == command.number && !current.isFinal() && command.stage > current.stage;
    if (applies)
        current.stage = command.stage;
    return applies;
}

bool SiteState::applyChange(const SetEvacuation &command)
{
    if (command.isEvacuated)
        return data_.evacuations.try_emplace(command.dataCentre, command.orderedAtMs).second;
    return data_.evacuations.erase(command.dataCentre) != 0;
}

} // namespace fireflyroute::core
