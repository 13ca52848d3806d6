// Compare-and-set of the fleet configuration, with recorded replies for resent commands.

#include "core/config/config_state.h"

#include "core/config/config_change.h"

#include <fmt/format.h>
#include <utility>

namespace fireflyroute::core {

namespace {

Revision nextRevision(Revision revision)
{
    return Revision(toNumber(revision) + 1);
}

ConfigReply makeRejection(Revision current, const CoreFailure &failure)
{
    return ConfigReply{false, current, failure.code, failure.detail};
}

} // namespace

ConfigState::ConfigState()
    : config_(std::make_shared<FleetConfig>())
{}

ConfigState::ConfigState(const ConfigStateData &data)
    : config_(std::make_shared<FleetConfig>(data.config))
    , history_(data.history.begin(), data.history.end())
{
    for (const auto &[id, reply] : data.replies)
        recordReply(id, reply);
}

ConfigReply ConfigState::apply(const ConfigCommand &command)
{
    const auto recorded = replies_.find(command.id);
    if (recorded != replies_.end())
        return recorded->second;
    const ConfigReply reply = compareAndSet(command);
    recordReply(command.id, reply);
    return reply;
}

ConfigReply ConfigState::compareAndSet(const ConfigCommand &command)
{
    if (command.expected != config_->revision) {
        const std::string acceptedChange =
                history_.empty() ? "nobody"
                                 : fmt::format("{} ({})", history_.back().author.value(),
                                               history_.back().summary);
        return makeRejection(config_->revision,
                             CoreFailure{CoreError::RevisionConflict,
                                         fmt::format("revision {} is in the place of {}, set by {}",
                                                     toNumber(config_->revision),
                                                     toNumber(command.expected), acceptedChange)});
    }
    Result<ChangedConfig> changed = applyChange(*config_, command);
    if (!changed)
        return makeRejection(config_->revision, changed.error());
    auto next = std::make_shared<FleetConfig>(std::move(changed.value().config));
    next->revision = nextRevision(config_->revision);
    history_.push_back(ConfigHistoryEntry{next->revision, command.author, command.at,
                                          changed.value().summary, changed.value().reason});
    if (history_.size() > kHistoryLimit)
        history_.pop_front();
    config_ = std::move(next);
    return ConfigReply{true, config_->revision, CoreError::InvalidArgument, ""};
}

void ConfigState::recordReply(const CommandId &id, const ConfigReply &reply)
{
    replies_.emplace(id, reply);
    replyOrder_.push_back(id);
    if (replyOrder_.size() <= kReplyLimit)
        return;
    replies_.erase(replyOrder_.front());
    replyOrder_.pop_front();
}

std::vector<ConfigHistoryEntry> ConfigState::historyAfter(Revision after) const
{
    std::vector<ConfigHistoryEntry> entries;
    for (const ConfigHistoryEntry &entry : history_) {
        if (entry.revision > after)
            entries.push_back(entry);
    }
    return entries;
}

ConfigStateData ConfigState::data() const
{
    ConfigStateData data;
    data.config = *config_;
    data.history.assign(history_.begin(), history_.end());
    for (const CommandId &id : replyOrder_)
        data.replies.emplace_back(id, replies_.at(id));
    return data;
}

} // namespace fireflyroute::core
