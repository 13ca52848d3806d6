// Settings of the process: gflags, each also read from the environment variable FIREFLYROUTE_NAME.
// A flag on the command line beats the environment.

#ifndef FIREFLYROUTE_APP_SETTINGS_H
#define FIREFLYROUTE_APP_SETTINGS_H

#include "app/errors.h"
#include "core/clock.h"
#include "core/types.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace fireflyroute::app {

// What a process does. An entry serves callers; a control VM keeps the durable state.
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

// A control VM by name and address.
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
    bool initGroup = false; // begin a new group in an empty data folder
    std::uint32_t trafficThreads = 8;
    std::string clusterSecret; // between own processes and from endpoints; empty means none
    std::string operatorToken; // of operators; empty means none

    [[nodiscard]] bool has(Role role) const;
    [[nodiscard]] std::vector<std::string> controlAddresses() const;
};

// Applies the environment, then the command line; `arguments` receives what is no flag. A bad flag
// or value is named on standard error and ends the process with kExitUsage.
void parseSettings(int argc, char **argv, std::vector<std::string> &arguments);

// Whether --help was given, and the list of flags for it.
[[nodiscard]] bool isHelpWanted();
[[nodiscard]] std::string flagsHelp();

// The settings of `serve`, checked; InvalidSetting names the flag that is wrong.
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
constexpr int kExitFailure = 1; // the command was understood and did not succeed
constexpr int kExitUsage = 2; // a flag, value or command is wrong; nothing was started
constexpr int kExitConflict = 3; // somebody else changed the configuration first
constexpr int kExitUnreachable = 4;
constexpr int kExitStorage = 5; // the data folder could not be read or written

} // namespace fireflyroute::app

#endif
