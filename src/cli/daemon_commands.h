#ifndef JACINTHSPOOL_CLI_DAEMON_COMMANDS_H_
#define JACINTHSPOOL_CLI_DAEMON_COMMANDS_H_

#include <string>
#include <vector>

namespace jacinthspool {

/// \brief `entry --config FILE`: serves callers until a planned stop.
int RunEntryCommand(const std::vector<std::string>& arguments);

/// \brief `gateway --config FILE`: forwards requests until a planned stop.
int RunGatewayCommand(const std::vector<std::string>& arguments);

/// \brief `sidecar --config FILE`: sends orders to one engine until a planned stop.
int RunSidecarCommand(const std::vector<std::string>& arguments);

/// \brief `agent --config FILE`: runs beside one backend server until a planned stop.
int RunAgentCommand(const std::vector<std::string>& arguments);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_DAEMON_COMMANDS_H_
