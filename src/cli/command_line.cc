#include "src/cli/command_line.h"

#include <iomanip>
#include <iostream>
#include <string_view>

#include "src/cli/arguments.h"
#include "src/cli/check_command.h"
#include "src/cli/daemon_commands.h"
#include "src/cli/exit_code.h"
#include "src/cli/explain_command.h"
#include "src/cli/status_command.h"

namespace jacinthspool {
namespace {

struct command {
  std::string_view name;
  std::string_view summary;
  int (*run)(const std::vector<std::string>&);
};

constexpr command kCommands[] = {
    {"entry", "serve callers and route their requests", &RunEntryCommand},
    {"gateway", "forward requests by host and path to backend servers", &RunGatewayCommand},
    {"sidecar", "run beside one engine and send it orders", &RunSidecarCommand},
    {"agent", "run beside one backend server", &RunAgentCommand},
    {"check", "check settings documents and print every finding", &RunCheck},
    {"status", "print the status of a running process", &RunStatus},
    {"explain", "print the decisions about a request or a server's limit from log lines",
     &RunExplain},
};

void PrintHelp() {
  constexpr int kNameWidth = 10;
  std::cout << "usage: jacinthspool COMMAND [ARGUMENT...]\n\n"
               "Routes requests to separate prefill and decode pools, and to plain services.\n\n"
               "Commands:\n";
  for (const command& each : kCommands) {
    std::cout << "  " << std::left << std::setw(kNameWidth) << each.name << each.summary << '\n';
  }
  std::cout << "\nOptions:\n"
               "  --help     this text; after a command, what the command takes\n"
               "  --version  the version\n\n"
               "Exit codes:\n"
               "  0  done, or stopped as planned\n"
               "  1  findings, or what was asked for could not be had\n"
               "  2  usage: unknown command or option, missing argument\n"
               "  3  cannot start: faulty settings, unreadable file, address in use\n";
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    PrintError("no command given (see 'jacinthspool --help')");
    return kExitUsage;
  }
  const std::string& first = arguments.front();
  if (first == "--help" || first == "-h" || first == "help") {
    PrintHelp();
    return kExitOk;
  }
  if (first == "--version") {
    std::cout << "jacinthspool " << JACINTHSPOOL_VERSION << '\n';
    return kExitOk;
  }
  for (const command& each : kCommands) {
    if (each.name == first) {
      return each.run({arguments.begin() + 1, arguments.end()});
    }
  }
  PrintError((first.starts_with('-') ? "unknown option '" : "unknown command '") + first +
             "' (see 'jacinthspool --help')");
  return kExitUsage;
}

}  // namespace jacinthspool
