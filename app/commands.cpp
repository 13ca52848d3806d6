// The table of operator commands and their help texts.

#include "app/commands.h"

#include "app/command_groups.h"
#include "app/command_output.h"

#include <array>
#include <boost/algorithm/string/join.hpp>
#include <fmt/format.h>

namespace fireflyroute::app {

namespace {

struct CommandRow
{
    std::string_view name;
    int (*run)(const CommandSettings &); // null if main.cpp runs the command
    std::string_view help;
    std::string_view flags; // flags of the command, each with an example value
};

constexpr std::array kCommands{
        CommandRow{"status", showStatus, "show revision, leader, entries and endpoints", ""},
        CommandRow{"config show", showConfig, "show defaults, exceptions and models", ""},
        CommandRow{"config set", setConfig,
                   "replace defaults, models, accounts, services; --yes if that removes any",
                   "--file=fleet.json"},
        CommandRow{"config history", listConfigHistory, "list changes with authors and reasons",
                   ""},
        CommandRow{"exception add", addException, "add an exception with a written reason",
                   "--file=exception.json --reason='pilot until May'"},
        CommandRow{"exception remove", removeException, "remove an exception",
                   "--id=pilot --reason='pilot is over' --yes"},
        CommandRow{"exception list", listExceptions, "list exceptions with their reasons", ""},
        CommandRow{"version rollout", startRollout, "start a roll-out to new sessions",
                   "--model=returns --model_version=3 --stages=50,200,1000 --reason='better tone'"},
        CommandRow{"version advance", advanceRollout, "advance a roll-out to its next stage",
                   "--model=returns"},
        CommandRow{"version hold", holdRollout, "hold a roll-out",
                   "--model=returns --reason='ratings fell'"},
        CommandRow{"version resume", resumeRollout, "resume a held roll-out",
                   "--model=returns --reason='false alarm'"},
        CommandRow{"version withdraw", withdrawVersion, "withdraw a version permanently",
                   "--model=returns --model_version=3 --reason='wrong totals' --yes"},
        CommandRow{"evacuation start", nullptr,
                   "site: send no more requests to a data centre; --server is a control VM",
                   "--id=praha-a"},
        CommandRow{"evacuation finish", nullptr, "site: withdraw the order", "--id=praha-a"},
        CommandRow{"evacuation list", nullptr, "site: list the evacuated data centres", ""},
        CommandRow{"endpoint list", listEndpoints, "list the registered endpoints, always as JSON",
                   ""},
        CommandRow{"bill export", exportBills, "print all bills, one JSON line each", ""},
        CommandRow{"claim show", showClaims, "show claims of calls that run at most once",
                   "--id=duka-1/refund-17"},
        CommandRow{"timeline", showTimeline, "print the merged events of all processes",
                   "--request_id=r-17 --model=returns --model_version=3 --endpoint=engine-1 "
                   "--from_ms=1000 --until_ms=2000 --html"},
        CommandRow{"load", runLoadCommand, "run a load test and report the latency",
                   "--file=profile.json --timeout_ms=20000 --svg"},
        CommandRow{"account key", makeKey, "create a key for a client account, always as JSON",
                   "--id=duka-1"},
};

struct ExitRow
{
    int code;
    std::string_view meaning;
};

constexpr std::array kExitCodes{
        ExitRow{kExitOk, "done"},
        ExitRow{kExitFailure, "rejected, not found, or not confirmed to be in force"},
        ExitRow{kExitUsage, "a flag or file is invalid, or --yes is missing; nothing was changed"},
        ExitRow{kExitConflict, "the configuration was changed concurrently"},
        ExitRow{kExitUnreachable, "no response from the entry or the control VMs"},
        ExitRow{kExitStorage, "serve: the data folder could not be read or written"},
};

const CommandRow *findCommand(const std::string &name)
{
    for (const CommandRow &row : kCommands) {
        if (row.name == name)
            return &row;
    }
    return nullptr;
}

std::string exitCodesText()
{
    std::string text = "Exit codes:\n";
    for (const ExitRow &row : kExitCodes)
        text += fmt::format("  {} {}\n", row.code, row.meaning);
    return text;
}

} // namespace

int runCommand(const std::vector<std::string> &words)
{
    const std::string name = boost::algorithm::join(words, " ");
    const CommandRow *row = findCommand(name);
    if (!row || !row->run)
        return reportUsage("unknown command '" + name + "'; see fireflyroute --help");
    const Result<CommandSettings> settings = commandSettings();
    if (!settings)
        return reportFailure(settings.error());
    return row->run(settings.value());
}

std::string helpText(const std::vector<std::string> &words)
{
    const CommandRow *row = findCommand(boost::algorithm::join(words, " "));
    if (row) {
        return fmt::format("fireflyroute {}: {}\n\nExample:\n"
                           "  fireflyroute {} {} --server=http://127.0.0.1:8080 --json\n\n{}\n"
                           "Flags, each also read from FIREFLYROUTE_<FLAG>:\n",
                           row->name, row->help, row->name, row->flags, exitCodesText());
    }
    std::string text = "fireflyroute routes requests to versions of language models.\n\n"
                       "Usage: fireflyroute COMMAND [FLAGS]\n\n"
                       "  serve                run a process; without flags a full deployment\n"
                       "                       on http://127.0.0.1:8080 with its data in data/\n";
    for (const CommandRow &command : kCommands)
        text += fmt::format("  {:<20} {}\n", command.name, command.help);
    text += "\nfireflyroute COMMAND --help shows an example.\n" + exitCodesText();
    text += "\nFlags, each also read from FIREFLYROUTE_<FLAG>:\n";
    return text;
}

} // namespace fireflyroute::app
