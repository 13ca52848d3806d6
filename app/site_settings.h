// Settings of a process of a site: which roles it has, where it listens, the other processes that
// it is told of, and the bounds that the deployment promises. Read from flags, which a flag file
// sets (app/settings.h).

#ifndef FIREFLYROUTE_APP_SITE_SETTINGS_H
#define FIREFLYROUTE_APP_SITE_SETTINGS_H

#include "app/errors.h"
#include "app/settings.h"
#include "core/clock.h"
#include "core/regions.h"
#include "core/types.h"

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace fireflyroute::app {

struct SiteSettings
{
    Role role = Role::Entry;
    core::VmId vm; // the IP of the VM: members of the group find each other by it
    std::string name; // for people
    core::DataCentreId dataCentre;
    core::Regions regions;
    std::string callerAddress; // "IP:PORT"; entries only
    std::string readinessAddress; // entries only
    std::string controlAddress; // control VMs only
    std::string metricsAddress;
    std::uint16_t linkPort = 0; // between own processes, the same on all VMs
    std::vector<std::string> seeds; // control addresses
    bool firstStart = false;
    std::filesystem::path dataFolder; // control VMs only
    std::size_t toleratedLosses = 2;
    core::Duration keyLease{}; // how long keys may be taken without proof that they still hold
    core::Duration drainPeriod{}; // from readiness given up to the end of idle connections
    core::Duration intakePeriod{}; // from readiness given up to the last request that is taken
    core::Duration gracePeriod{}; // from the order to stop to the kill
    core::Duration heartbeatInterval{}; // of endpoints
    core::Duration sessionTtl{}; // requests of one session follow each other within it
    core::Duration budgetWindow{}; // of the retry budget
    std::uint32_t retryPermille = 0; // retries per 1,000 requests
    double canaryShare = 0; // of a service's requests that an unproven version may get

    [[nodiscard]] std::string linkAddress(const core::VmId &vm) const;
    [[nodiscard]] std::vector<core::VmId> seedVms() const;
};

// The settings as the flags stand now, checked.
[[nodiscard]] Result<SiteSettings> siteSettings();

// Reads the flag file again. Unknown or bad flags in it leave everything as it was.
[[nodiscard]] Result<SiteSettings> reloadSiteSettings();

// The flag file, or an empty path.
[[nodiscard]] std::filesystem::path settingsFile();

} // namespace fireflyroute::app

#endif
