#include "src/cli/daemon_commands.h"

#include <iostream>
#include <memory>
#include <optional>

#include "platform/gateway_platform.h"
#include "src/agent/agent_daemon.h"
#include "src/cli/arguments.h"
#include "src/cli/exit_code.h"
#include "src/entry/entry_daemon.h"
#include "src/gateway/gateway_daemon.h"
#include "src/settings/settings.h"
#include "src/sidecar/sidecar_daemon.h"
#include "src/transport/held_signals.h"

namespace jacinthspool {
namespace {

constexpr const char* kEntrySummary =
    "Serves callers: takes their requests, routes them to backend servers and streams the "
    "answers.\n"
    "SIGTERM starts a planned stop: no new requests, those in progress are completed. SIGHUP "
    "reloads the settings file and the keys.\n"
    "Exit code: 0 stopped as planned, 2 usage, 3 cannot start.";

constexpr const char* kAgentSummary =
    "Runs beside one backend server, decides what it runs and sends it all orders.\n"
    "SIGTERM starts a planned stop: no new grants, work in progress is completed. SIGHUP reloads "
    "the settings file and the keys.\n"
    "Exit code: 0 stopped as planned, 2 usage, 3 cannot start.";

constexpr const char* kGatewaySummary =
    "Forwards requests by host and path straight to backend servers, as the platform publishes "
    "them.\n"
    "SIGTERM starts a planned stop: not ready at once, requests in progress are completed. "
    "SIGHUP reloads the settings file.\n"
    "Exit code: 0 stopped as planned, 2 usage, 3 cannot start.";

constexpr const char* kSidecarSummary =
    "Runs beside one engine and sends it all orders: switches its stage between prefill and "
    "decode.\n"
    "SIGTERM ends it. Exit code: 0 stopped as planned, 2 usage, 3 cannot start.";

struct daemon_command {
  const char* name;
  const char* summary;
  process_role role;
  int (*run)(std::shared_ptr<const process_settings>, const std::string&);
};

/// Reads the process settings; prints each finding as a line on standard error.
std::shared_ptr<const process_settings> LoadProcess(const std::string& file,
                                                    const daemon_command& command) {
  std::string error;
  const std::optional<std::string> text = ReadFile(file, error);
  if (!text) {
    PrintError(std::string(command.name) + ": " + error);
    return nullptr;
  }
  findings found;
  findings replaced;
  auto process = ParseProcess(*text, file, found, &replaced);
  if (process) {
    CheckRole(*process, command.role, file, found);
  }
  for (const finding& each : replaced) {
    PrintError(std::string(command.name) + ": " + each.place + ": " + each.text +
               "; the default holds");
  }
  for (const finding& each : found) {
    PrintError(std::string(command.name) + ": " + each.place + ": " + each.text);
  }
  return found.empty() ? process : nullptr;
}

int RunDaemon(const daemon_command& command, const std::vector<std::string>& arguments) {
  HoldSignals();
  TCLAP::CmdLine line(command.summary, ' ', JACINTHSPOOL_VERSION);
  TCLAP::ValueArg<std::string> config(
      "c", "config", "Settings of this process (JSON with comments)", true, "", "FILE", line);
  if (const auto code = ParseArguments(line, command.name, arguments)) {
    return *code;
  }
  auto process = LoadProcess(config.getValue(), command);
  if (!process) {
    return kExitCannotStart;
  }
  const int code = command.run(std::move(process), config.getValue());
  return code == kExitOk ? kExitOk : kExitCannotStart;
}

int RunGatewayOnPlatform(std::shared_ptr<const process_settings> process,
                         const std::string& process_file) {
  return RunGateway(std::move(process), process_file, platform::OpenGatewayPlatform());
}

int RunSidecarOnPlatform(std::shared_ptr<const process_settings> process,
                         const std::string& /*process_file*/) {
  return RunSidecar(std::move(process), platform::OpenGatewayPlatform());
}

}  // namespace

int RunEntryCommand(const std::vector<std::string>& arguments) {
  return RunDaemon({"entry", kEntrySummary, process_role::kEntry, &RunEntry}, arguments);
}

int RunGatewayCommand(const std::vector<std::string>& arguments) {
  return RunDaemon({"gateway", kGatewaySummary, process_role::kGateway, &RunGatewayOnPlatform},
                   arguments);
}

int RunSidecarCommand(const std::vector<std::string>& arguments) {
  return RunDaemon({"sidecar", kSidecarSummary, process_role::kSidecar, &RunSidecarOnPlatform},
                   arguments);
}

int RunAgentCommand(const std::vector<std::string>& arguments) {
  return RunDaemon({"agent", kAgentSummary, process_role::kAgent, &RunAgent}, arguments);
}

}  // namespace jacinthspool
