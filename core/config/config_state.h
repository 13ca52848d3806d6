// The replicated state of the fleet configuration: the current FleetConfig, its history, and
// recorded replies, so that a resent command gets its recorded reply and is not applied again.
//
//   ConfigState state;
//   ConfigReply reply = state.apply(command);   // compare-and-set on command.expected
//
// Deterministic: all control VMs apply the same commands in the same order and reach the same
// state. Wall-clock times are taken from the command, never from a clock.

#ifndef FIREFLYROUTE_CORE_CONFIG_CONFIG_STATE_H
#define FIREFLYROUTE_CORE_CONFIG_CONFIG_STATE_H

#include "core/config/control_command.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflyroute::core {

// An accepted change, shown to operators.
struct ConfigHistoryEntry
{
    Revision revision{0};
    OperatorName author;
    WallTime at;
    std::string summary;
    std::string reason;

    bool operator==(const ConfigHistoryEntry &) const = default;
};

// Contents of a snapshot.
struct ConfigStateData
{
    FleetConfig config;
    std::vector<ConfigHistoryEntry> history; // oldest first
    std::vector<std::pair<CommandId, ConfigReply>> replies; // oldest first

    bool operator==(const ConfigStateData &) const = default;
};

class ConfigState
{
public:
    // Maximum numbers of stored replies and history entries. A command can be resent while its
    // reply is among the last kReplyLimit. A later resend still cannot be applied twice, because
    // its expected revision is outdated.
    static constexpr std::size_t kReplyLimit = 20'000;
    static constexpr std::size_t kHistoryLimit = 20'000;

    ConfigState();
    explicit ConfigState(const ConfigStateData &data);

    // Applies a command, or returns its recorded reply if it was applied before.
    ConfigReply apply(const ConfigCommand &command);

    // The current configuration. It is shared so that readers can hold on to it.
    [[nodiscard]] std::shared_ptr<const FleetConfig> config() const { return config_; }

    // Returns the history entries with revisions above `after`, oldest first.
    [[nodiscard]] std::vector<ConfigHistoryEntry> historyAfter(Revision after) const;

    [[nodiscard]] ConfigStateData data() const;

private:
    ConfigReply compareAndSet(const ConfigCommand &command);
    void recordReply(const CommandId &id, const ConfigReply &reply);

    std::shared_ptr<const FleetConfig> config_; // never null; the revision never decreases
    std::deque<ConfigHistoryEntry> history_; // one entry per revision, at most kHistoryLimit
    std::map<CommandId, ConfigReply> replies_; // same keys as replyOrder_
    std::deque<CommandId> replyOrder_; // oldest first, at most kReplyLimit
};

} // namespace fireflyroute::core

#endif
