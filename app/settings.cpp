// Definition and validation of flags.

#include "app/settings.h"

#include "app/flag_checks.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>

DEFINE_string(roles, "entry,control", "Roles of this process: entry, control, or both");
DEFINE_string(listen, "http://127.0.0.1:8080", "Address to listen on, http://IP:PORT");
DEFINE_string(control, "",
              "Control VMs as NAME=http://IP:PORT, separated by commas; empty means this process");
DEFINE_bool(init_group, false,
            "Start a new control group; only once, on one VM with an empty data folder");
DEFINE_string(vm, "", "Name of this VM; empty means its listen address");
DEFINE_string(data_centre, "local", "Data centre of this VM");
DEFINE_string(data_dir, "data", "Folder for durable state; used by the control role only");
DEFINE_uint32(traffic_threads, 8, "Threads that serve traffic, 2 to 256");
DEFINE_string(cluster_secret_file, "",
              "File with the secret shared by all processes and endpoints; empty means none");
DEFINE_string(operator_token_file, "", "File with the operators' token; empty means none");

DEFINE_string(server, "http://127.0.0.1:8080",
              "Commands: address of any entry; of a control VM of a site for evacuations");
DEFINE_string(author, "", "Commands: author of the change; empty means the login name");
DEFINE_string(reason, "", "Commands: written reason of the change");
DEFINE_string(file, "", "Commands: file to read; - means standard input");
DEFINE_string(model, "", "Commands: name of the model");
DEFINE_string(model_version, "", "Commands: name of the version");
DEFINE_string(stages, "50,200,500,1000", "Commands: roll-out stages in permille of new sessions");
DEFINE_string(id, "", "Commands: identifier of the exception, claim, account or data centre");
DEFINE_string(request_id, "", "Commands: only events of this request");
DEFINE_string(endpoint, "", "Commands: only events of this endpoint");
DEFINE_int64(from_ms, 0, "Commands: only events from this time, in milliseconds since the epoch");
DEFINE_int64(until_ms, 0, "Commands: only events before this time; 0 means no limit");
DEFINE_bool(html, false, "Commands: print a page of HTML");
DEFINE_bool(svg, false, "Commands: print an SVG plot");
DEFINE_bool(json, false, "Commands: print JSON");
DEFINE_bool(yes, false, "Commands: confirm a dangerous change");
DEFINE_uint32(timeout_ms, 5000, "Commands: response timeout in milliseconds");

namespace fireflyroute::app {

namespace {

constexpr std::string_view kEnvironmentPrefix = "FIREFLYROUTE_";
constexpr std::uint32_t kMinTrafficThreads = 2;
constexpr std::uint32_t kMaxTrafficThreads = 256;

// True while parseSettings() reads the command line and the environment.
bool parsingFlags = false;

bool isApplicationFlag(const gflags::CommandLineFlagInfo &flag)
{
    return flag.filename.find("app/settings.cpp") != std::string::npos
           || flag.filename.find("app/site_settings.cpp") != std::string::npos;
}

void applyEnvironment()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (!isApplicationFlag(flag))
            continue;
        const std::string name =
                std::string(kEnvironmentPrefix) + boost::algorithm::to_upper_copy(flag.name);
        const char *value = std::getenv(name.c_str());
        if (!value)
            continue;
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            fmt::print(stderr, "fireflyroute: {}: invalid value '{}'\n", name, value);
            std::exit(kExitUsage);
        }
    }
}

bool isAddress(const std::string &address)
{
    constexpr std::string_view kScheme = "http://";
    return address.starts_with(kScheme) && address.find(':', kScheme.size()) != std::string::npos
           && !address.ends_with("/");
}

Result<std::vector<Role>> readRoles()
{
    std::vector<Role> roles;
    for (const std::string &name : splitList(FLAGS_roles)) {
        const std::optional<Role> role = core::parseEnum<Role>(name);
        if (!role)
            return invalidFlag("roles", "'" + name + "' is not one of " + core::allNames<Role>());
        roles.push_back(*role);
    }
    if (roles.empty())
        return invalidFlag("roles", "is empty");
    return roles;
}

Result<ControlAddress> readControlAddress(const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0 || !isAddress(text.substr(equals + 1)))
        return invalidFlag("control", "'" + text + "' must be NAME=http://IP:PORT");
    return ControlAddress{core::VmId(text.substr(0, equals)), text.substr(equals + 1)};
}

Result<std::vector<ControlAddress>> readControl(const core::VmId &self)
{
    std::vector<ControlAddress> control;
    for (const std::string &text : splitList(FLAGS_control)) {
        BOOST_OUTCOME_TRY(controlAddress, readControlAddress(text));
        control.push_back(controlAddress);
    }
    if (control.empty())
        control.push_back(ControlAddress{self, FLAGS_listen});
    return control;
}

std::optional<core::WallTime> optionalTime(std::int64_t milliseconds)
{
    if (milliseconds == 0)
        return std::nullopt;
    return core::WallTime(std::chrono::milliseconds(milliseconds));
}

Result<std::string> readSecret(const std::string &flag, const std::string &path)
{
    if (path.empty())
        return std::string();
    std::ifstream file(path);
    if (!file)
        return invalidFlag(flag, "cannot read " + path);
    std::string secret{std::istreambuf_iterator<char>(file), {}};
    boost::algorithm::trim(secret);
    if (secret.empty())
        return invalidFlag(flag, path + " is empty");
    return secret;
}

} // namespace

bool ServeSettings::has(Role role) const
{
    return std::find(roles.begin(), roles.end(), role) != roles.end();
}

std::vector<std::string> ServeSettings::controlAddresses() const
{
    std::vector<std::string> addresses;
    for (const ControlAddress &controlAddress : control)
        addresses.push_back(controlAddress.address);
    return addresses;
}

void parseSettings(int argc, char **argv, std::vector<std::string> &arguments)
{
    // The gflags library exits with status 1 on an invalid flag; this handler changes it to
    // kExitUsage.
    std::atexit([] {
        if (parsingFlags)
            std::_Exit(kExitUsage);
    });
    parsingFlags = true;
    applyEnvironment();
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    parsingFlags = false;
    arguments.assign(argv + 1, argv + argc);
}

bool isHelpRequested()
{
    std::string value;
    return gflags::GetCommandLineOption("help", &value) && value == "true";
}

std::string flagsHelp()
{
    std::string text;
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        if (isApplicationFlag(flag)) {
            text += fmt::format("  --{:<20} {} (default: \"{}\")\n", flag.name, flag.description,
                                flag.default_value);
        }
    }
    return text;
}

Result<ServeSettings> serveSettings()
{
    ServeSettings settings;
    BOOST_OUTCOME_TRY(roles, readRoles());
    settings.roles = roles;
    if (!isAddress(FLAGS_listen))
        return invalidFlag("listen", "must be http://IP:PORT");
    settings.listen = FLAGS_listen;
    settings.vm = core::VmId(FLAGS_vm.empty() ? FLAGS_listen : FLAGS_vm);
    BOOST_OUTCOME_TRY(control, readControl(settings.vm));
    settings.control = control;
    settings.initGroup = FLAGS_init_group;
    settings.dataCentre = core::DataCentreId(FLAGS_data_centre);
    settings.dataFolder = FLAGS_data_dir;
    settings.trafficThreads = FLAGS_traffic_threads;
    if (settings.trafficThreads < kMinTrafficThreads
        || settings.trafficThreads > kMaxTrafficThreads)
        return invalidFlag("traffic_threads", "must be 2 to 256");
    BOOST_OUTCOME_TRY(secret, readSecret("cluster_secret_file", FLAGS_cluster_secret_file));
    settings.clusterSecret = secret;
    BOOST_OUTCOME_TRY(token, readSecret("operator_token_file", FLAGS_operator_token_file));
    settings.operatorToken = token;
    return settings;
}

Result<CommandSettings> commandSettings()
{
    CommandSettings settings;
    if (!isAddress(FLAGS_server))
        return invalidFlag("server", "must be http://IP:PORT");
    settings.server = FLAGS_server;
    BOOST_OUTCOME_TRY(token, readSecret("operator_token_file", FLAGS_operator_token_file));
    settings.token = token;
    const char *login = std::getenv("USER");
    settings.author = !FLAGS_author.empty() ? FLAGS_author : (login ? login : "unknown");
    settings.reason = FLAGS_reason;
    settings.file = FLAGS_file;
    settings.model = FLAGS_model;
    settings.version = FLAGS_model_version;
    settings.stages = FLAGS_stages;
    settings.id = FLAGS_id;
    settings.request = FLAGS_request_id;
    settings.endpoint = FLAGS_endpoint;
    settings.from = optionalTime(FLAGS_from_ms);
    settings.until = optionalTime(FLAGS_until_ms);
    settings.json = FLAGS_json;
    settings.html = FLAGS_html;
    settings.svg = FLAGS_svg;
    settings.yes = FLAGS_yes;
    settings.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    return settings;
}

} // namespace fireflyroute::app
