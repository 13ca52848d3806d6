// Commands of the replicated state of a site.

#include "core/site_state.h"

namespace fireflyroute::core {

namespace {

// An operator that misses an acknowledgement sends the order again for some seconds, while the
// roll-out may have ended already.
constexpr std::int64_t kRepeatWindowMs = 12'000;

} // namespace

void SiteState::apply(const SiteCommand &command)
{
    if (std::visit([this](const auto &typed) { return change(typed); }, command))
        ++data_.revision;
}

bool SiteState::change(const PutDocument &command)
{
    if (command.document.version <= data_.document.version)
        return false;
    data_.document = command.document;
    return true;
}

bool SiteState::change(const StartRollout &command)
{
    const auto [found, isNew] =
            data_.rollouts.try_emplace(command.rollout.service, command.rollout);
    Rollout &known = found->second;
    if (!isNew) {
        const std::int64_t apart = command.rollout.orderedAtMs - known.orderedAtMs;
        const bool isRepeated = known.target == command.rollout.target
                                && (!known.isFinal() || apart < kRepeatWindowMs);
        if (isRepeated)
            return false;
        known = command.rollout;
    }
    known.number = data_.revision + 1;
    known.stage = RolloutStage::Canary;
    return true;
}

bool SiteState::change(const MoveRollout &command)
{
    const auto found = data_.rollouts.find(command.service);
    if (found == data_.rollouts.end())
        return false;
    Rollout &known = found->second;
    const bool applies =
            known.number == command.number && !known.isFinal() && command.stage > known.stage;
    if (applies)
        known.stage = command.stage;
    return applies;
}

} // namespace fireflyroute::core
