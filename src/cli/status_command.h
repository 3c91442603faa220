#ifndef JACINTHSPOOL_CLI_STATUS_COMMAND_H_
#define JACINTHSPOOL_CLI_STATUS_COMMAND_H_

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief `status ADDRESS`: prints the status of a running process.
int RunStatus(const std::vector<std::string>& arguments);

/// \brief Prints a process's status: its values, then its lists as tables.
void PrintStatus(const nlohmann::json& status, std::ostream& out);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_STATUS_COMMAND_H_
