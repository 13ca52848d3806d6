// The operators' side of the operator interface: typed calls to any entry.

#ifndef FIREFLYROUTE_APP_OPERATOR_CLIENT_H
#define FIREFLYROUTE_APP_OPERATOR_CLIENT_H

#include "app/errors.h"
#include "app/settings.h"
#include "core/control_command.h"
#include "core/control_messages.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::app {

class OperatorClient
{
public:
    explicit OperatorClient(const CommandSettings &settings)
        : settings_(settings)
    {}

    // Calls a method of the entry and waits for its answer.
    [[nodiscard]] Result<Json::Value> call(const std::string &method,
                                           const Json::Value &parameters) const;

    // The present configuration as the control leader holds it.
    [[nodiscard]] Result<core::FleetConfig> config() const;

    // Submits a change against the revision that the operator saw, and sends it again under the
    // same command id when no answer came.
    [[nodiscard]] Result<core::ConfigReply> submit(core::Revision baseRevision,
                                                   const core::ConfigChange &change) const;

    // Waits until a revision is in force on every entry, or until the time of the settings is over.
    // True when it is in force.
    [[nodiscard]] Result<bool> waitInForce(core::Revision revision) const;

private:
    const CommandSettings &settings_;
};

} // namespace fireflyroute::app

#endif
