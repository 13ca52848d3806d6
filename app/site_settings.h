// Settings of a site's process: role, listening addresses, other processes, and the limits that the
// deployment guarantees. Read from flags, usually from a flag file (app/settings.h).

#ifndef FIREFLYROUTE_APP_SITE_SETTINGS_H
#define FIREFLYROUTE_APP_SITE_SETTINGS_H

#include "app/errors.h"
#include "app/settings.h"
#include "core/common/clock.h"
#include "core/common/types.h"
#include "core/places/regions.h"
#include "core/stop/stop_sequence.h"

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace fireflyroute::app {

struct SiteSettings
{
    Role role = Role::Entry;
    core::VmId vm; // IP of this VM, under which the other group members reach it
    std::string name; // for logs
    core::DataCentreId dataCentre;
    core::Regions regions;
    std::string callerAddress; // "IP:PORT"; entries only
    std::string readinessAddress; // entries only
    std::string controlAddress; // control VMs only
    std::string metricsAddress;
    std::uint16_t linkPort = 0; // for links between fireflyroute processes; the same on all VMs
    std::uint16_t relayPort = 0; // on which entries relay; the same on all VMs; 0 disables it
    std::vector<std::string> seeds; // control addresses
    bool firstStart = false;
    std::filesystem::path dataFolder; // control VMs only
    std::size_t toleratedLosses = 2;
    core::Duration keyLease{}; // how long keys are accepted without confirmation
    core::StopLimits stopLimits; // of this role
    std::size_t heldBytes = 0; // that connections of callers, or of control calls, may hold
    std::size_t maxCallers = 0; // connections of callers, or of control calls
    core::Duration heartbeatInterval{}; // of endpoints
    core::Duration sessionTtl{}; // longest time between two requests of a session
    core::Duration budgetWindow{}; // of the retry budget
    std::uint32_t retryPermille = 0; // retries per 1,000 requests
    double canaryShare = 0; // share of a service's requests that may go to a canary version

    [[nodiscard]] std::string linkAddress(const core::VmId &vm) const;
    [[nodiscard]] std::string relayAddress(const core::VmId &vm) const;
    [[nodiscard]] std::vector<core::VmId> seedVms() const;
};

// Returns the validated settings of the current flags.
[[nodiscard]] Result<SiteSettings> siteSettings();

// Reads the flag file again. If it contains unknown or invalid flags, no setting changes.
[[nodiscard]] Result<SiteSettings> reloadSiteSettings();

// Path of the flag file. Empty if none is used.
[[nodiscard]] std::filesystem::path settingsFile();

} // namespace fireflyroute::app

#endif
