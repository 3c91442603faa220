#ifndef JACINTHSPOOL_CLI_COMMAND_LINE_H_
#define JACINTHSPOOL_CLI_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace jacinthspool {

/// \brief Runs the command that the arguments name.
/// \param arguments The arguments after the program's name.
/// \returns The exit code of the process; see `exit_code`.
int RunCommandLine(const std::vector<std::string>& arguments);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_COMMAND_LINE_H_
