// The replicated state of the fleet configuration: the present FleetConfig, its history, and the
// replies already given, so that a command sent again is answered and not applied again.
//
//   ConfigState state;
//   ConfigReply reply = state.apply(command);   // compare-and-set on command.expected
//
// Deterministic: every control VM applies the same commands in the same order and arrives at the
// same state. Calendar times come from the command, never from a clock.

#ifndef FIREFLYROUTE_CORE_CONFIG_STATE_H
#define FIREFLYROUTE_CORE_CONFIG_STATE_H

#include "core/control_command.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fireflyroute::core {

// One accepted change, for operators to read.
struct ConfigHistoryEntry
{
    Revision revision{0};
    OperatorName author;
    WallTime at;
    std::string summary;
    std::string reason;

    bool operator==(const ConfigHistoryEntry &) const = default;
};

// Everything that a snapshot has to keep.
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
    // Replies and history entries kept. A command may be sent again for as long as its reply is
    // among the last kReplyLimit; a later resend still cannot be applied twice, because the
    // revision that it expects has passed.
    static constexpr std::size_t kReplyLimit = 20'000;
    static constexpr std::size_t kHistoryLimit = 20'000;

    ConfigState();
    explicit ConfigState(const ConfigStateData &data);

    // Applies a command, or answers it from the record of replies.
    ConfigReply apply(const ConfigCommand &command);

    // The present configuration; shared, so that readers may keep it.
    [[nodiscard]] std::shared_ptr<const FleetConfig> config() const { return config_; }

    // History with revisions above `after`, oldest first.
    [[nodiscard]] std::vector<ConfigHistoryEntry> historyAfter(Revision after) const;

    [[nodiscard]] ConfigStateData data() const;

private:
    ConfigReply compareAndSet(const ConfigCommand &command);
    void recordReply(const CommandId &id, const ConfigReply &reply);

    std::shared_ptr<const FleetConfig> config_; // never null; revision only grows
    std::deque<ConfigHistoryEntry> history_; // one per revision, the newest kHistoryLimit
    std::map<CommandId, ConfigReply> replies_; // same keys as replyOrder_
    std::deque<CommandId> replyOrder_; // oldest first, at most kReplyLimit
};

} // namespace fireflyroute::core

#endif
