// Flags of a process of a site, and their checks.

#include "app/site_settings.h"

#include "app/flag_checks.h"
#include "net/address.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(config, "", "Site: file with flags, one each line; watched for changes");
DEFINE_string(site_role, "", "Site: what this process does, entry or control");
DEFINE_string(site_vm_ip, "127.0.0.1", "Site: IP of this VM, under which others reach it");
DEFINE_string(site_vm_name, "", "Site: name of this VM; empty means its IP");
DEFINE_string(site_data_centre, "local", "Site: data centre of this VM");
DEFINE_string(site_regions, "", "Site: regions of the data centres, DC=REGION, by commas");
DEFINE_string(site_callers, "", "Site: IP:PORT for callers; entries only");
DEFINE_string(site_readiness, "", "Site: IP:PORT on which the balancer asks; entries only");
DEFINE_string(site_control, "", "Site: IP:PORT for operators and endpoints; control VMs only");
DEFINE_string(site_metrics, "", "Site: IP:PORT of the metrics; empty means none");
DEFINE_uint32(site_link_port, 7340, "Site: port between own processes, the same on all VMs");
DEFINE_string(site_seeds, "", "Site: control addresses of some control VMs, by commas");
DEFINE_bool(site_first_start, false, "Site: the whole system starts for the first time");
DEFINE_string(site_data_dir, "", "Site: folder for durable state; control VMs only");
DEFINE_uint32(site_tolerated_losses, 2, "Site: control VMs that may be lost at once");
DEFINE_uint32(site_revoke_ms, 5000, "Site: a key taken away is refused everywhere after it");
DEFINE_double(site_grace_s, 8, "Site: from the order to stop to the kill");
DEFINE_uint32(site_heartbeat_ms, 1200, "Site: interval of the endpoints' heartbeats");
DEFINE_double(site_session_s, 5, "Site: requests of one session follow each other within it");
DEFINE_double(site_retry_window_s, 10, "Site: window of the retry budget");
DEFINE_double(site_retry_ratio, 0.5, "Site: retries for each request that the site allows");

DEFINE_double(site_exposure_share, 0.15, "Site: requests that a bad version may get at most");

namespace fireflyroute::app {

namespace {

// Part of the time to a revoked key's end for which an entry trusts its last proof. The rest
// covers the way of the proof and of the request.
constexpr double kKeyLeasePart = 0.84;

// The balancer asks each second and takes a VM out after two misses; requests on their way then
// still come, and more if it has too few other VMs. Calls take up to three seconds, and the process
// ends half a second before the kill after eight.
constexpr std::chrono::milliseconds kDrainPeriod{2300};
constexpr std::chrono::milliseconds kIntakePeriod{4500};

// Parts of the allowed amounts that are used, since all entries spend without asking each other.
constexpr double kRetryPart = 0.85;
constexpr double kExposurePart = 0.55;

constexpr double kPermille = 1000;

Result<std::string> readAddress(const std::string &flag, const std::string &address, bool needed)
{
    if (address.empty() && !needed)
        return address;
    if (!net::parseAddress(address))
        return bad(flag, "'" + address + "' must be IP:PORT");
    return address;
}

Result<core::Regions> readRegions()
{
    core::Regions regions;
    for (const std::string &item : splitList(FLAGS_site_regions)) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos)
            return bad("site_regions", "'" + item + "' must be DATA_CENTRE=REGION");
        regions.emplace(item.substr(0, equals), item.substr(equals + 1));
    }
    return regions;
}

core::Duration seconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

bool readFlagFile()
{
    return FLAGS_config.empty()
           || gflags::ReadFromFlagsFile(FLAGS_config, gflags::ProgramInvocationShortName(), false);
}

void readBounds(SiteSettings &settings)
{
    settings.firstStart = FLAGS_site_first_start;
    settings.toleratedLosses = FLAGS_site_tolerated_losses;
    settings.keyLease = std::chrono::milliseconds(
            static_cast<std::int64_t>(FLAGS_site_revoke_ms * kKeyLeasePart));
    settings.drainPeriod = kDrainPeriod;
    settings.intakePeriod = kIntakePeriod;
    settings.gracePeriod = seconds(FLAGS_site_grace_s);
    settings.heartbeatInterval = std::chrono::milliseconds(FLAGS_site_heartbeat_ms);
    settings.sessionTtl = seconds(FLAGS_site_session_s);
    settings.budgetWindow = seconds(FLAGS_site_retry_window_s);
    settings.retryPermille =
            static_cast<std::uint32_t>(FLAGS_site_retry_ratio * kRetryPart * kPermille);
    settings.canaryShare = FLAGS_site_exposure_share * kExposurePart;
}

Result<SiteSettings> readFlags()
{
    SiteSettings settings;
    const std::optional<Role> role = core::parseEnum<Role>(FLAGS_site_role);
    if (!role)
        return bad("site_role", "must be one of " + core::allNames<Role>());
    settings.role = *role;
    const bool isEntry = *role == Role::Entry;
    settings.vm = core::VmId(FLAGS_site_vm_ip);
    settings.name = FLAGS_site_vm_name.empty() ? FLAGS_site_vm_ip : FLAGS_site_vm_name;
    settings.dataCentre = core::DataCentreId(FLAGS_site_data_centre);
    BOOST_OUTCOME_TRY(regions, readRegions());
    settings.regions = std::move(regions);
    BOOST_OUTCOME_TRY(callers, readAddress("site_callers", FLAGS_site_callers, isEntry));
    settings.callerAddress = std::move(callers);
    BOOST_OUTCOME_TRY(readiness, readAddress("site_readiness", FLAGS_site_readiness, isEntry));
    settings.readinessAddress = std::move(readiness);
    BOOST_OUTCOME_TRY(control, readAddress("site_control", FLAGS_site_control, !isEntry));
    settings.controlAddress = std::move(control);
    BOOST_OUTCOME_TRY(metrics, readAddress("site_metrics", FLAGS_site_metrics, false));
    settings.metricsAddress = std::move(metrics);
    settings.linkPort = static_cast<std::uint16_t>(FLAGS_site_link_port);
    for (const std::string &seed : splitList(FLAGS_site_seeds)) {
        BOOST_OUTCOME_TRY(address, readAddress("site_seeds", seed, true));
        settings.seeds.push_back(std::move(address));
    }
    if (settings.seeds.empty())
        return bad("site_seeds", "is empty");
    settings.dataFolder = FLAGS_site_data_dir;
    if (!isEntry && settings.dataFolder.empty())
        return bad("site_data_dir", "is empty");
    readBounds(settings);
    return settings;
}

} // namespace

std::string SiteSettings::linkAddress(const core::VmId &other) const
{
    return fmt::format("{}:{}", other.value(), linkPort);
}

std::vector<core::VmId> SiteSettings::seedVms() const
{
    std::vector<core::VmId> vms;
    for (const std::string &seed : seeds)
        vms.emplace_back(net::hostOf(seed));
    return vms;
}

Result<SiteSettings> siteSettings()
{
    if (!readFlagFile())
        return bad("config", "can't read " + FLAGS_config);
    return readFlags();
}

Result<SiteSettings> reloadSiteSettings()
{
    gflags::FlagSaver saver;
    if (!readFlagFile())
        return bad("config", "can't read " + FLAGS_config);
    return readFlags();
}

std::filesystem::path settingsFile()
{
    return FLAGS_config;
}

} // namespace fireflyroute::app
