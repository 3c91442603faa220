#include "src/cli/arguments.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <system_error>

#include "src/cli/exit_code.h"

namespace jacinthspool {
namespace {

bool IsKnownOption(TCLAP::CmdLine& line, const std::string& argument) {
  for (const TCLAP::Arg* known : line.getArgList()) {
    if (argument == "-" + known->getFlag() || argument == "--" + known->getName()) {
      return true;
    }
  }
  return false;
}

/// \returns The first argument that starts like an option but is not a known
/// one; TCLAP would accept it as a file name.
std::optional<std::string> FindUnknownOption(TCLAP::CmdLine& line,
                                             const std::vector<std::string>& arguments) {
  for (const std::string& argument : arguments) {
    if (argument == "--") {
      return std::nullopt;
    }
    if (argument.size() > 1 && argument.front() == '-' && !IsKnownOption(line, argument)) {
      return argument;
    }
  }
  return std::nullopt;
}

}  // namespace

int PrintUsageError(const std::string& command, const std::string& text) {
  PrintError(command + ": " + text + " (see 'jacinthspool " + command + " --help')");
  return kExitUsage;
}

std::optional<int> ParseArguments(TCLAP::CmdLine& line, const std::string& command,
                                  const std::vector<std::string>& arguments) {
  if (const auto unknown = FindUnknownOption(line, arguments)) {
    return PrintUsageError(command, "unknown option '" + *unknown + "'");
  }
  std::vector<std::string> all{"jacinthspool " + command};
  all.insert(all.end(), arguments.begin(), arguments.end());
  line.setExceptionHandling(false);
  try {
    line.parse(all);
  } catch (const TCLAP::ArgException& error) {
    const bool names_argument = error.argId().find_first_not_of(' ') != std::string::npos &&
                                error.argId() != "Argument: undefined";
    return PrintUsageError(command, (names_argument ? error.argId() + ": " : "") + error.error());
  } catch (const TCLAP::ExitException& end) {
    return end.getExitStatus();
  }
  return std::nullopt;
}

bool OpenFile(const std::string& path, std::ifstream& file, std::string& error) {
  std::error_code status;
  if (std::filesystem::is_directory(path, status)) {
    error = "cannot read " + path + ": is a directory";
    return false;
  }
  errno = 0;
  file.open(path, std::ios::binary);
  if (!file) {
    error = "cannot read " + path + ": " + std::strerror(errno);
    return false;
  }
  return true;
}

std::optional<std::string> ReadFile(const std::string& path, std::string& error) {
  std::ifstream file;
  if (!OpenFile(path, file, error)) {
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void PrintError(const std::string& text) { std::cerr << "jacinthspool: " << text << '\n'; }

}  // namespace jacinthspool
