#ifndef JACINTHSPOOL_TESTS_SOAK_SOAK_H_
#define JACINTHSPOOL_TESTS_SOAK_SOAK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::testing {

/// \brief Options of one soak run: real gateways and a sidecar as processes, everything else
/// simulated by the test.
struct soak_options {
  std::uint64_t seed = 1;
  milliseconds traffic_duration = seconds(6);            ///< Duration of traffic and faults.
  milliseconds mean_fault_interval = milliseconds(300);  ///< Mean time between two faults.
  int gateways = 3;
  /// Backend servers pause and go on, but neither fail nor lose their links. Nothing then excuses
  /// an answer that ends early.
  bool servers_only_pause = false;
  /// Gateways stand still and go on while servers answer no opening of a connection or links hold
  /// bytes back, and routes' timeouts change. Random faults go on beside them.
  bool gateways_stand_still = false;
  /// The gateways read the store over slow links, and each change adds many routes to the
  /// configuration.
  bool configuration_grows = false;
  std::string log_folder = {};  ///< Receives the processes' logs after a violation; empty for none.
};

/// \brief Result of a soak run.
struct soak_report {
  std::vector<std::string> violations;  ///< Violated guarantees, each with its request or process.
  std::map<std::string, int> outcomes;  ///< Number of the callers' requests by outcome.
  std::map<std::string, int> faults;    ///< Number of injected faults by kind.
};

/// \brief Runs the soak of one seed.
///
/// The seed determines callers and faults, but not the timing of the processes: a second run of a
/// seed has the same plan, but may have another course.
soak_report RunSoak(const soak_options& options);

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_SOAK_SOAK_H_
