// Settings of the process: gflags, each of which can also be set by the environment variable
// FIREFLYROUTE_NAME. The command line takes precedence over the environment.

#ifndef FIREFLYROUTE_APP_SETTINGS_H
#define FIREFLYROUTE_APP_SETTINGS_H

#include "app/errors.h"
#include "core/common/clock.h"
#include "core/common/types.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::app {

// Roles of a process. An entry serves callers; a control VM stores the durable state.
enum class Role { Entry, Control };

} // namespace fireflyroute::app

namespace fireflyroute::core {

template<>
struct EnumNames<app::Role>
{
    static constexpr std::array table{
            EnumName{app::Role::Entry, "entry"},
            EnumName{app::Role::Control, "control"},
    };
};

} // namespace fireflyroute::core

namespace fireflyroute::app {

// Name and address of a control VM.
struct ControlAddress
{
    core::VmId vm;
    std::string address; // "http://IP:PORT"
};

struct ServeSettings
{
    std::vector<Role> roles;
    std::string listen; // "http://IP:PORT"
    std::vector<ControlAddress> control; // never empty
    core::VmId vm;
    core::DataCentreId dataCentre;
    std::filesystem::path dataFolder;
    bool initGroup = false; // start a new group in an empty data folder
    std::uint32_t trafficThreads = 8;
    std::string clusterSecret; // shared with other processes and endpoints; empty means none
    std::string operatorToken; // empty means none

    [[nodiscard]] bool has(Role role) const;
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
};

// Applies the environment, then the command line; `arguments` receives the words that are not
// flags. An invalid flag or value is reported on standard error and ends the process with
// kExitUsage.
void parseSettings(int argc, char **argv, std::vector<std::string> &arguments);

// Whether --help was given, and the list of flags for its output.
[[nodiscard]] bool isHelpRequested();
[[nodiscard]] std::string flagsHelp();

// The validated settings of `serve`; InvalidSetting names the invalid flag.
[[nodiscard]] Result<ServeSettings> serveSettings();

// Settings of operator commands.
struct CommandSettings
{
    std::string server; // address of any entry
    std::string token;
    std::string author;
    std::string reason;
    std::string file;
    std::string model;
    std::string version;
    std::string stages;
    std::string id;
    std::string request;
    std::string endpoint;
    std::optional<core::WallTime> from; // inclusive
    std::optional<core::WallTime> until; // exclusive
    bool json = false;
    bool html = false;
    bool svg = false;
    bool yes = false;
    std::chrono::milliseconds timeout{5000};
};

[[nodiscard]] Result<CommandSettings> commandSettings();

constexpr int kExitOk = 0;
constexpr int kExitFailure = 1; // the command was valid but did not succeed
constexpr int kExitUsage = 2; // a flag, value or command is invalid; nothing was started
constexpr int kExitConflict = 3; // the configuration was changed concurrently
constexpr int kExitUnreachable = 4;
constexpr int kExitStorage = 5; // the data folder could not be read or written

} // namespace fireflyroute::app

#endif
