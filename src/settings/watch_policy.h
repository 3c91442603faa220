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

/// \brief Decides by rendezvous hashing whether a process is one of its data
/// centre's watchers of the configuration service.
///
/// Processes that know the same names agree without a message; one that knows
/// fewer names may watch in addition, never instead.
/// \param self Name of the process.
/// \param known Names of the processes known in its data centre; `self` may be among them.
/// \param watchers How many are wanted.
bool IsWatcher(std::string_view self, const std::vector<std::string>& known, std::size_t watchers);

/// \returns The processes of a data centre that the settings tell of: the agents
/// of its backend servers that are not leaving, by the backend server's name.
std::vector<std::string> KnownProcesses(const settings_snapshot& settings,
                                        std::string_view data_centre);

/// \brief Times between tries: doubles up to a limit, each with full jitter.
class backoff {
 public:
  struct options {
    microseconds first = milliseconds(200);
    microseconds last = seconds(30);
  };
  explicit backoff(options settings) : settings_(settings), limit_(settings.first) {}

  /// \param random Any random number.
  /// \returns From half of the current limit up to the limit, which then doubles.
  microseconds Next(std::uint32_t random);

  /// \brief Starts again, after a success.
  void Reset() { limit_ = settings_.first; }

 private:
  options settings_;
  microseconds limit_;
};

/// \returns A time from half of `period` up to one and a half times it.
microseconds Jittered(microseconds period, std::uint32_t random);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_SETTINGS_WATCH_POLICY_H_
