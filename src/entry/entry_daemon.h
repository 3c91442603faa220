#ifndef JACINTHSPOOL_ENTRY_ENTRY_DAEMON_H_
#define JACINTHSPOOL_ENTRY_ENTRY_DAEMON_H_

#include <memory>
#include <string>

#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief Runs an entry, which serves callers, until a planned stop.
/// \param process Validated settings of this process.
/// \param process_file Path of the file that the settings were read from.
/// \returns The exit code of the process: 0 after a planned stop, 1 if the entry cannot start. The
/// error is printed to standard error.
int RunEntry(std::shared_ptr<const process_settings> process, const std::string& process_file);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_ENTRY_DAEMON_H_
