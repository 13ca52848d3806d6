// JSON encoding of commands on claims and of their replies.

#ifndef FIREFLYROUTE_NET_CLAIM_JSON_H
#define FIREFLYROUTE_NET_CLAIM_JSON_H

#include "core/ledger/claim_command.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::ClaimCommand &command);
[[nodiscard]] Json::Value toJson(const core::ClaimReply &reply);

[[nodiscard]] Result<core::ClaimCommand> readClaimCommand(const Json::Value &value,
                                                          const std::string &jsonPath);
[[nodiscard]] Result<core::ClaimReply> readClaimReply(const Json::Value &value,
                                                      const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
