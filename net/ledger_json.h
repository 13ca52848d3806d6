// JSON encoding of ledger operations and outcomes.

#ifndef FIREFLYROUTE_NET_LEDGER_JSON_H
#define FIREFLYROUTE_NET_LEDGER_JSON_H

#include "core/ledger/ledger_types.h"
#include "net/errors.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::net {

[[nodiscard]] Json::Value toJson(const core::LedgerKey &key);
[[nodiscard]] Json::Value toJson(const core::LedgerValue &value);
[[nodiscard]] Json::Value toJson(const core::LedgerOperation &operation);
[[nodiscard]] Json::Value toJson(const core::LedgerOutcome &outcome);

[[nodiscard]] Result<core::LedgerKey> readLedgerKey(const Json::Value &value,
                                                    const std::string &jsonPath);
[[nodiscard]] Result<core::LedgerValue> readLedgerValue(const Json::Value &value,
                                                        const std::string &jsonPath);
[[nodiscard]] Result<core::LedgerOperation> readLedgerOperation(const Json::Value &value,
                                                                const std::string &jsonPath);
[[nodiscard]] Result<core::LedgerOutcome> readLedgerOutcome(const Json::Value &value,
                                                            const std::string &jsonPath);

} // namespace fireflyroute::net

#endif
