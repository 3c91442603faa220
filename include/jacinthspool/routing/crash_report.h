#ifndef JACINTHSPOOL_ROUTING_CRASH_REPORT_H_
#define JACINTHSPOOL_ROUTING_CRASH_REPORT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/crash_suspect.h"

namespace jacinthspool {

/// \brief One incarnation of a backend server.
struct backend_incarnation {
  std::string backend = {};
  std::uint64_t started_ms = 0;  ///< As in `backend_record`.

  // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the rewritten comparison.
  friend auto operator<=>(const backend_incarnation&, const backend_incarnation&) = default;
};

/// \brief Signs that a backend server has ended, the weakest first.
///
/// Silence is none: a sound server may pause.
enum class end_sign : std::uint8_t {
  kClosed,        ///< A reply ended before its first event, as if it were complete.
  kCut,           ///< A connection was reset or closed in the middle of a reply, or before it.
  kCutTogether,   ///< Several of one gateway's connections at the same moment.
  kDeregistered,  ///< After a cut: the registration lapsed, or names another incarnation.
  kRefused,       ///< After a cut: a new connection was refused.
};

[[nodiscard]] std::string_view ToString(end_sign sign);

/// \brief What the gateways know of a suspect.
struct suspect_standing {
  bool known_good = false;     ///< A request with that part had been answered before.
  bool vouched_since = false;  ///< A request with it has been answered since the server ended.

  friend bool operator==(const suspect_standing&, const suspect_standing&) = default;
};

/// \brief One backend server that seems to have ended, and what may have caused it.
struct crash_report {
  /// Bounds of one report. Beyond them the same subset is kept by all gateways.
  static constexpr std::size_t kMaxSuspects = 64;
  static constexpr std::size_t kMaxGateways = 8;

  backend_incarnation server = {};
  /// Signs that the same incarnation has ended, seen at another time: the earlier ones were wrong.
  std::uint32_t episode = 0;
  end_sign sign = end_sign::kClosed;    ///< The strongest.
  instant ended{};                      ///< The earliest known.
  bool refuted = false;                 ///< The server has answered since.
  std::set<std::string> gateways = {};  ///< That have seen a sign.
  /// Of the requests that it was working on and had not begun to answer.
  std::map<crash_suspect, suspect_standing> suspects = {};

  /// \returns true when more than one observation shows that the server has ended.
  [[nodiscard]] bool confirmed() const {
    return sign >= end_sign::kDeregistered || gateways.size() > 1;
  }

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// \brief Adds what another report says about the same episode of an incarnation.
///
/// Commutative, associative and idempotent.
/// \returns true when anything but the time has changed.
bool Merge(crash_report& into, const crash_report& other);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CRASH_REPORT_H_
