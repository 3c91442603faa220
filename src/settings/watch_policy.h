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

/// \brief A process that may watch the configuration service.
struct watcher_candidate {
  std::string_view self;         ///< Name of the process.
  std::string_view data_centre;  ///< Where it runs.
  std::size_t watchers = 1;      ///< Required number of watchers in the data centre.
};

/// \brief Decides by rendezvous hashing whether a process is one of its data
/// centre's watchers of the configuration service.
///
/// Processes with the same list of names agree without communication. A process
/// with fewer names may become an additional watcher, but never replaces one.
/// \param known Names of the processes known in the data centre; `self` may be among them.
bool IsWatcher(const watcher_candidate& candidate, const std::vector<std::string>& known);

/// \returns Names of the processes of a data centre in the settings: the agents
/// of its backend servers that are not draining, each named by its backend server.
std::vector<std::string> KnownProcesses(const settings_snapshot& settings,
                                        std::string_view data_centre);

/// \returns A time from zero to `whole`, in proportion to `random`.
microseconds RandomFraction(microseconds whole, std::uint32_t random);

/// \returns A time from half of `period` up to one and a half times it.
microseconds Jittered(microseconds period, std::uint32_t random);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_WATCH_POLICY_H_
