// Operator commands: each calls an entry by JSON-RPC and prints the response.

#ifndef FIREFLYROUTE_APP_COMMANDS_H
#define FIREFLYROUTE_APP_COMMANDS_H

#include <string>
#include <vector>

namespace fireflyroute::app {

// Runs the command named by the words and returns the exit code of the process.
int runCommand(const std::vector<std::string> &words);

// The text of `--help`: for the command named by the words, or for all commands.
[[nodiscard]] std::string helpText(const std::vector<std::string> &words);

} // namespace fireflyroute::app

#endif
