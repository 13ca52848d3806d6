// JSON encoding of the messages of the replicated log, for the calls between control VMs.
//
//   Json::Value value = toJson(message);
//   Result<core::ReplicaMessage> decoded = readReplicaMessage(value);
//
// Payloads of commands and snapshots are opaque bytes and are encoded as base64. A missing,
// mistyped or out-of-range field is a Malformed failure that names the field.

#ifndef FIREFLYROUTE_NET_REPLICATION_JSON_H
#define FIREFLYROUTE_NET_REPLICATION_JSON_H

#include "core/group/replication_types.h"
#include "net/errors.h"

#include <json/value.h>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::ReplicaMessage &message);
[[nodiscard]] Result<core::ReplicaMessage> readReplicaMessage(const Json::Value &value);

// Converts bytes to base64 text and back.
[[nodiscard]] std::string encodeBase64(const std::string &bytes);
[[nodiscard]] Result<std::string> decodeBase64(const std::string &text);

} // namespace fireflyroute::net

#endif
