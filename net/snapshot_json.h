// JSON encoding of snapshots of the replicated control state.

#ifndef FIREFLYROUTE_NET_SNAPSHOT_JSON_H
#define FIREFLYROUTE_NET_SNAPSHOT_JSON_H

#include "core/config/control_state.h"
#include "net/errors.h"

#include <string>

namespace fireflyroute::net {

[[nodiscard]] std::string encodeSnapshot(const core::ControlStateData &data);
[[nodiscard]] Result<core::ControlStateData> readSnapshot(const std::string &text);

} // namespace fireflyroute::net

#endif
