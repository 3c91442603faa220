#ifndef JACINTHSPOOL_ROUTING_CRASH_CAUSES_H_
#define JACINTHSPOOL_ROUTING_CRASH_CAUSES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/crash_report.h"

namespace jacinthspool {

/// \brief Reports by incarnation and episode.
using crash_key = std::pair<backend_incarnation, std::uint32_t>;
using crash_reports = std::map<crash_key, crash_report>;

/// \brief When the evidence against a suspect suffices.
struct crash_rules {
  /// Servers that end within this time of each other may have one cause, and count as one outage.
  microseconds outage_span = milliseconds(100);
  std::size_t outages = 3;             ///< Of a part to which no answer is known.
  std::size_t servers = 5;             ///< Of such a part, in any number of outages.
  std::size_t known_good_outages = 5;  ///< Of a part to which answers were known.
  /// Of one whole request; either suffices, unless as many servers that no request explains have
  /// ended since `wave_span` before the first of them: then both are needed.
  std::size_t request_outages = 2;
  std::size_t request_servers = 3;
  microseconds wave_span = seconds(5);
  /// In which some gateway would have heard from a server if only one connection had failed.
  microseconds refutation_time = milliseconds(250);
};

/// \brief A suspect that crashes backend servers, by the evidence so far.
struct crash_cause {
  crash_suspect suspect = 0;
  std::size_t servers = 0;  ///< Incarnations that ended under it without an answer since.
  std::size_t outages = 0;
  instant last_crash{};
  std::set<std::string> gateways = {};  ///< That have reported these servers.
  /// Parts that the evidence does not tell from this one, which is included.
  std::set<crash_suspect> alike = {};

  friend bool operator==(const crash_cause&, const crash_cause&) = default;
};

/// \returns true when the report counts as a server that has ended.
[[nodiscard]] bool Counts(const crash_report& report, const crash_rules& rules, instant now);

/// \brief Finds the suspects that explain the crashes.
///
/// The suspect under which most servers have ended explains these; another one is
/// suspect only by the servers that remain. A request explains those of a part only if the part
/// has no others. A part to which no answer is known also counts when as many as
/// `crash_rules::servers` have ended under it. Parts to which answers are known come last.
[[nodiscard]] std::vector<crash_cause> FindCrashCauses(const crash_reports& reports,
                                                       const crash_rules& rules, instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CRASH_CAUSES_H_
