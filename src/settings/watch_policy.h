#ifndef JACINTHSPOOL_SETTINGS_WATCH_POLICY_H_
#define JACINTHSPOOL_SETTINGS_WATCH_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "src/settings/settings.h"

namespace jacinthspool {

/// \brief The process that asks whether it is to watch the configuration service.
struct watch_question {
  std::string_view self;         ///< Name of the process.
  std::string_view data_centre;  ///< Where it runs.
  std::size_t watchers = 1;      ///< How many are wanted in a data centre.
};

/// \brief Decides by rendezvous hashing whether a process is one of its data
/// centre's watchers of the configuration service.
///
/// Processes that know the same names agree without a message; one that knows
/// fewer names may watch in addition, never instead.
/// \param known Names of the processes known in the data centre; `self` may be among them.
bool IsWatcher(const watch_question& question, const std::vector<std::string>& known);

/// \returns The processes of a data centre that the settings tell of: the agents
/// of its backend servers that are not leaving, by the backend server's name.
std::vector<std::string> KnownProcesses(const settings_snapshot& settings,
                                        std::string_view data_centre);

/// \returns A time from zero up to `whole`.
microseconds RandomPart(microseconds whole, std::uint32_t random);

/// \returns A time from half of `period` up to one and a half times it.
microseconds Jittered(microseconds period, std::uint32_t random);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_WATCH_POLICY_H_
