#ifndef JACINTHSPOOL_CLI_ARGUMENTS_H_
#define JACINTHSPOOL_CLI_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief Parses the arguments of one command.
///
/// A fault is reported in one line on standard error.
/// \returns The exit code when the command must not run, after a fault or --help; else nothing.
std::optional<int> ParseArguments(TCLAP::CmdLine& line, const std::string& command,
                                  const std::vector<std::string>& arguments);

/// \brief Reports an invalid argument in one line on standard error.
/// \returns kExitUsage.
int PrintUsageError(const std::string& command, const std::string& text);

/// \brief Opens a file for reading.
/// \returns false, and the reason in `error`, when it can't be read.
bool OpenFile(const std::string& path, std::ifstream& file, std::string& error);

/// \brief Reads a whole file.
/// \returns Nothing, and the reason in `error`, when it can't be read.
std::optional<std::string> ReadFile(const std::string& path, std::string& error);

/// \brief Writes "jacinthspool: TEXT" as one line to standard error.
void PrintError(const std::string& text);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_ARGUMENTS_H_
