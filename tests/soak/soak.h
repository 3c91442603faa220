#ifndef JACINTHSPOOL_TESTS_SOAK_SOAK_H_
#define JACINTHSPOOL_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::testing {

/// \brief One soak: real gateways and a sidecar as processes, everything around them played.
struct soak_options {
  std::uint64_t seed = 1;
  milliseconds traffic = seconds(6);           ///< How long callers ask and faults come.
  milliseconds fault_gap = milliseconds(300);  ///< Mean time between two faults.
  int gateways = 3;
  std::string keep_logs = {};  ///< Folder for the processes' output when a promise was broken.
};

/// \brief What a soak has found.
struct soak_report {
  std::vector<std::string> broken;      ///< Broken promises, each with request or process.
  std::map<std::string, int> outcomes;  ///< Of the callers' requests.
  std::map<std::string, int> faults;    ///< Played, by kind.
};

/// \brief Plays one seed to its end.
///
/// The seed decides callers and faults; what the processes do in between is
/// theirs, so a seed is a plan and not a replay.
soak_report PlaySoak(const soak_options& options);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_SOAK_H_
