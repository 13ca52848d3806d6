// Client side of the operator interface: typed calls to any entry.

#ifndef FIREFLYROUTE_APP_OPERATOR_CLIENT_H
#define FIREFLYROUTE_APP_OPERATOR_CLIENT_H

#include "app/errors.h"
#include "app/settings.h"
#include "core/config/control_command.h"
#include "core/config/control_messages.h"

#include <json/value.h>
#include <string>

namespace fireflyroute::app {

class OperatorClient
{
public:
    explicit OperatorClient(const CommandSettings &settings)
        : settings_(settings)
    {}

    // Calls a method of the entry and waits for the response.
    [[nodiscard]] Result<Json::Value> call(const std::string &method,
                                           const Json::Value &parameters) const;

    // The current configuration of the control leader.
    [[nodiscard]] Result<core::FleetConfig> config() const;

    // Submits a change based on the given revision, and repeats it under the same command id if
    // there is no response.
    [[nodiscard]] Result<core::ConfigReply> submit(core::Revision baseRevision,
                                                   const core::ConfigChange &change) const;

    // Waits until a revision is in force on every entry, at most for the timeout in the settings.
    // Returns whether it is in force.
    [[nodiscard]] Result<bool> waitInForce(core::Revision revision) const;

private:
    const CommandSettings &settings_;
};

} // namespace fireflyroute::app

#endif
