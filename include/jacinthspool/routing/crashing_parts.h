#ifndef JACINTHSPOOL_ROUTING_CRASHING_PARTS_H_
#define JACINTHSPOOL_ROUTING_CRASHING_PARTS_H_

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

/// \brief When the evidence against a part suffices.
struct crash_rules {
  /// Servers that end within this time of each other may have one cause, and count as one outage.
  microseconds outage_span = milliseconds(100);
  std::size_t outages = 3;             ///< Of a part to which no answer is known.
  std::size_t servers = 5;             ///< Of such a part, in any number of outages.
  std::size_t known_good_outages = 5;  ///< Of a part to which answers were known.
  /// In which some gateway would have heard from a server if only one connection had failed.
  microseconds refutation_time = milliseconds(250);
};

/// \brief A part that crashes backend servers, by the evidence so far.
struct crashing_part {
  prompt_part part = 0;
  std::size_t servers = 0;  ///< Incarnations that ended under it without an answer since.
  std::size_t outages = 0;
  instant last_crash{};
  std::set<std::string> gateways = {};  ///< That have reported these servers.
  /// Parts that the evidence does not tell from this one, which is included.
  std::set<prompt_part> alike = {};

  friend bool operator==(const crashing_part&, const crashing_part&) = default;
};

/// \returns true when the report counts as a server that has ended.
[[nodiscard]] bool Counts(const crash_report& report, const crash_rules& rules, instant now);

/// \brief Finds the parts that explain the crashes.
///
/// The part under which most servers have ended explains these; another part is
/// suspect only by the servers that remain, or when no answer to it is known and as many as
/// `crash_rules::servers` have ended under it. Parts to which answers are known come last.
[[nodiscard]] std::vector<crashing_part> FindCrashingParts(const crash_reports& reports,
                                                           const crash_rules& rules, instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CRASHING_PARTS_H_
