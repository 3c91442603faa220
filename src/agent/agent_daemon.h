#ifndef JACINTHSPOOL_AGENT_AGENT_DAEMON_H_
#define JACINTHSPOOL_AGENT_AGENT_DAEMON_H_

#include <memory>
#include <string>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Runs the process beside one backend server until a planned stop.
/// \param process Settings of this process, already checked.
/// \param process_file Where they were read from.
/// \returns The exit code of the process.
int RunAgent(std::shared_ptr<const process_settings> process, const std::string& process_file);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_DAEMON_H_
