#ifndef JACINTHSPOOL_CLI_ARGUMENTS_H_
#define JACINTHSPOOL_CLI_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <optional>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief Parses the arguments of one command.
///
/// A fault is told in one line on standard error.
/// \returns The exit code when the command is not to run: after a fault, or after --help.
std::optional<int> ParseArguments(TCLAP::CmdLine& line, const std::string& command,
                                  const std::vector<std::string>& arguments);

/// \brief Reads a whole file.
/// \returns Nothing, and the reason in `error`, when it can't be read.
std::optional<std::string> ReadFile(const std::string& path, std::string& error);

/// \brief Writes "jacinthspool: TEXT" as one line to standard error.
void PrintError(const std::string& text);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_ARGUMENTS_H_
