// JSON encoding of control commands, ledger records and the messages between entries and control
// VMs. The entries of the replicated log use the same encoding.

#ifndef FIREFLYROUTE_NET_CONTROL_JSON_H
#define FIREFLYROUTE_NET_CONTROL_JSON_H

#include "core/config/config_state.h"
#include "core/config/control_messages.h"
#include "core/ledger/ledger.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::ControlCommand &command);
[[nodiscard]] Json::Value toJson(const core::ControlReply &reply);
[[nodiscard]] Json::Value toJson(const core::LedgerRecord &record);
[[nodiscard]] Json::Value toJson(const core::ConfigHistoryEntry &entry);
[[nodiscard]] Json::Value toJson(const core::FollowRequest &request);
[[nodiscard]] Json::Value toJson(const core::FollowReply &reply);
[[nodiscard]] Json::Value toJson(const core::SubmitRequest &request);
[[nodiscard]] Json::Value toJson(const core::SubmitReply &reply);

[[nodiscard]] Result<core::ControlCommand> readControlCommand(const Json::Value &value,
                                                              const std::string &jsonPath);
[[nodiscard]] Result<core::ControlReply> readControlReply(const Json::Value &value,
                                                          const std::string &jsonPath);
[[nodiscard]] Result<core::FollowRequest> readFollowRequest(const Json::Value &value,
                                                            const std::string &jsonPath);
[[nodiscard]] Result<core::FollowReply> readFollowReply(const Json::Value &value,
                                                        const std::string &jsonPath);
[[nodiscard]] Result<core::SubmitRequest> readSubmitRequest(const Json::Value &value,
                                                            const std::string &jsonPath);
[[nodiscard]] Result<core::SubmitReply> readSubmitReply(const Json::Value &value,
                                                        const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
