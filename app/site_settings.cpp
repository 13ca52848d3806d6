// Flags of a site's processes and their validation.

#include "app/site_settings.h"

#include "app/flag_checks.h"
#include "net/address.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sys/resource.h>

DEFINE_string(config, "", "Site: flag file, one flag per line; reloaded when it changes");
DEFINE_string(site_role, "", "Site: role of this process, entry or control");
DEFINE_string(site_vm_ip, "127.0.0.1", "Site: IP address under which other VMs reach this VM");
DEFINE_string(site_vm_name, "", "Site: name of this VM in logs; defaults to its IP");
DEFINE_string(site_data_centre, "local", "Site: data centre of this VM");
DEFINE_string(site_regions, "", "Site: comma-separated DATA_CENTRE=REGION pairs");
DEFINE_string(site_callers, "", "Site: IP:PORT for callers; entries only");
DEFINE_string(site_readiness, "",
              "Site: IP:PORT for readiness probes of the load balancer; entries only");
DEFINE_string(site_control, "", "Site: IP:PORT for operators and endpoints; control VMs only");
DEFINE_string(site_metrics, "", "Site: IP:PORT for /metrics; empty disables it");
DEFINE_uint32(site_link_port, 7340, "Site: port for links between processes; the same on all VMs");
DEFINE_uint32(site_relay_port, 0,
              "Site: port on which entries relay connections to endpoints; the same on all VMs; 0 "
              "disables it");
DEFINE_string(site_seeds, "", "Site: comma-separated control addresses of some control VMs");
DEFINE_bool(site_first_start, false,
            "Site: first start of the site; the seeds create the control group");
DEFINE_string(site_data_dir, "", "Site: data folder for durable state; control VMs only");
DEFINE_uint32(site_tolerated_losses, 2, "Site: number of control VMs that may fail at once");
DEFINE_uint32(site_revoke_ms, 5000, "Site: time within which all entries refuse a revoked key");
DEFINE_double(site_grace_s, 8, "Site: time from the stop signal to the kill");
DEFINE_uint32(site_memory_mb, 256, "Site: memory of this VM, in MB");
DEFINE_uint32(site_held_mb, 0,
              "Site: memory for requests and answers of callers, in MB; 0: a quarter of the VM's");
DEFINE_uint32(site_max_files, 0,
              "Site: descriptors that the VM allows a process; 0: only RLIMIT_NOFILE counts");
DEFINE_uint32(site_max_callers, 0,
              "Site: connections of callers; 0: half of the descriptors of the process");
DEFINE_uint32(site_heartbeat_ms, 1200, "Site: heartbeat interval of endpoints");
DEFINE_double(site_session_s, 5, "Site: longest time between two requests of a session");
DEFINE_double(site_retry_window_s, 10, "Site: window of the retry budget");
DEFINE_double(site_retry_ratio, 0.5, "Site: allowed retries per request");

DEFINE_double(site_exposure_share, 0.15,
              "Site: largest share of requests that a faulty version may get");

namespace fireflyroute::app {

namespace {

// Fraction of the key revocation time for which an entry relies on its last confirmation. The rest
// covers the transmission of the confirmation and of the request.
constexpr double kKeyLeaseFraction = 0.84;

// Times since the stop signal. The load balancer probes every second and removes a VM after two
// failed probes. Requests already on their way still arrive after that, and more of them if too few
// other VMs are available. They are accepted until kAcceptPeriod: calls take up to 3 s, and the
// process exits before it would be killed, 8 s after the stop signal.
constexpr std::chrono::milliseconds kAnnouncePeriod{2300};
constexpr std::chrono::milliseconds kAcceptPeriod{4500};

// Streams that started in the first three seconds after the stop signal may be interrupted by the
// exit; later ones must not be.
constexpr std::chrono::milliseconds kStreamPeriod{2800};

// Of a control VM. It serves on while its successor is elected. A transfer of the leadership ends
// after 0.95 s at the latest, with an outcome for each change that was proposed before; these
// answers are awaited until kControlAnswerPeriod.
constexpr std::chrono::milliseconds kLeadershipTransferPeriod{900};
constexpr std::chrono::milliseconds kControlAcceptPeriod{1500};
constexpr std::chrono::milliseconds kControlAnswerPeriod{2500};

// Time between the exit of a stopping process and the moment at which it would be killed, and
// before that for the last answers to be written.
constexpr std::chrono::milliseconds kExitMargin{550};
constexpr std::chrono::milliseconds kLastAnswerMargin{150};

// Parts of a VM's memory and of a process's descriptors that connections of callers may use. The
// rest is for the state of the process, connections to endpoints and links.
constexpr std::size_t kHeldMemoryDivisor = 4;
constexpr std::size_t kCallerDescriptorDivisor = 2;

// Used fractions of the allowed budgets. Less than 1 because entries spend them without
// coordination.
constexpr double kRetryFraction = 0.85;
constexpr double kExposureFraction = 0.55;

constexpr double kPermille = 1000;

Result<std::string> readAddress(const std::string &flag, const std::string &address,
                                bool isRequired)
{
    if (address.empty() && !isRequired)
        return address;
    if (!net::parseAddress(address))
        return invalidFlag(flag, "'" + address + "' must be IP:PORT");
    return address;
}

Result<core::Regions> readRegions()
{
    core::Regions regions;
    for (const std::string &item : splitList(FLAGS_site_regions)) {
        const std::size_t equals = item.find('=');
        if (equals == std::string::npos)
            return invalidFlag("site_regions", "'" + item + "' must be DATA_CENTRE=REGION");
        regions.emplace(item.substr(0, equals), item.substr(equals + 1));
    }
    return regions;
}

core::Duration seconds(double value)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(value));
}

core::StopLimits stopLimits(Role role, core::Duration gracePeriod)
{
    core::StopLimits limits;
    limits.exitPeriod = gracePeriod - kExitMargin;
    limits.answerPeriod = limits.exitPeriod - kLastAnswerMargin;
    if (role == Role::Entry) {
        limits.announcePeriod = kAnnouncePeriod;
        limits.streamPeriod = kStreamPeriod;
        limits.acceptPeriod = kAcceptPeriod;
    } else {
        limits.announcePeriod = kLeadershipTransferPeriod;
        limits.streamPeriod = kLeadershipTransferPeriod; // it has none
        limits.acceptPeriod = kControlAcceptPeriod;
        limits.answerPeriod = kControlAnswerPeriod;
    }
    return limits;
}

std::size_t heldBytes()
{
    const std::size_t megabytes = FLAGS_site_held_mb != 0
                                          ? FLAGS_site_held_mb
                                          : FLAGS_site_memory_mb / kHeldMemoryDivisor;
    return megabytes << 20U;
}

std::size_t maxCallers()
{
    if (FLAGS_site_max_callers != 0)
        return FLAGS_site_max_callers;
    rlimit limit{};
    (void)getrlimit(RLIMIT_NOFILE, &limit);
    auto descriptors = static_cast<std::size_t>(limit.rlim_cur);
    if (FLAGS_site_max_files != 0)
        descriptors = std::min<std::size_t>(descriptors, FLAGS_site_max_files);
    return std::max<std::size_t>(descriptors / kCallerDescriptorDivisor, 1);
}

bool readFlagFile()
{
    return FLAGS_config.empty()
           || gflags::ReadFromFlagsFile(FLAGS_config, gflags::ProgramInvocationShortName(), false);
}

void readLimits(SiteSettings &settings)
{
    settings.firstStart = FLAGS_site_first_start;
    settings.toleratedLosses = FLAGS_site_tolerated_losses;
    settings.keyLease = std::chrono::milliseconds(
            static_cast<std::int64_t>(FLAGS_site_revoke_ms * kKeyLeaseFraction));
    settings.stopLimits = stopLimits(settings.role, seconds(FLAGS_site_grace_s));
    settings.heldBytes = heldBytes();
    settings.maxCallers = maxCallers();
    settings.heartbeatInterval = std::chrono::milliseconds(FLAGS_site_heartbeat_ms);
    settings.sessionTtl = seconds(FLAGS_site_session_s);
    settings.budgetWindow = seconds(FLAGS_site_retry_window_s);
    settings.retryPermille =
            static_cast<std::uint32_t>(FLAGS_site_retry_ratio * kRetryFraction * kPermille);
    settings.canaryShare = FLAGS_site_exposure_share * kExposureFraction;
}

Result<SiteSettings> readFlags()
{
    SiteSettings settings;
    const std::optional<Role> role = core::parseEnum<Role>(FLAGS_site_role);
    if (!role)
        return invalidFlag("site_role", "must be one of " + core::allNames<Role>());
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
    settings.relayPort = static_cast<std::uint16_t>(FLAGS_site_relay_port);
    for (const std::string &seed : splitList(FLAGS_site_seeds)) {
        BOOST_OUTCOME_TRY(address, readAddress("site_seeds", seed, true));
        settings.seeds.push_back(std::move(address));
    }
    if (settings.seeds.empty())
        return invalidFlag("site_seeds", "must not be empty");
    settings.dataFolder = FLAGS_site_data_dir;
    if (!isEntry && settings.dataFolder.empty())
        return invalidFlag("site_data_dir", "must not be empty");
    if (FLAGS_site_memory_mb < kHeldMemoryDivisor)
        return invalidFlag("site_memory_mb", "must be at least 4");
    readLimits(settings);
    return settings;
}

} // namespace

std::string SiteSettings::linkAddress(const core::VmId &other) const
{
    return fmt::format("{}:{}", other.value(), linkPort);
}

std::string SiteSettings::relayAddress(const core::VmId &other) const
{
    return fmt::format("{}:{}", other.value(), relayPort);
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
        return invalidFlag("config", "can't read or parse flag file " + FLAGS_config);
    return readFlags();
}

Result<SiteSettings> reloadSiteSettings()
{
    gflags::FlagSaver saver;
    if (!readFlagFile())
        return invalidFlag("config", "can't read or parse flag file " + FLAGS_config);
    return readFlags();
}

std::filesystem::path settingsFile()
{
    return FLAGS_config;
}

} // namespace fireflyroute::app
