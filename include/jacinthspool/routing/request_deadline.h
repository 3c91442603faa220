#ifndef JACINTHSPOOL_ROUTING_REQUEST_DEADLINE_H_
#define JACINTHSPOOL_ROUTING_REQUEST_DEADLINE_H_

#include <optional>
#include <string_view>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief What ends a request that takes too long.
enum class deadline_cause {
  kCaller,      ///< The caller no longer waits.
  kRoute,       ///< The timeout of its route.
  kProcessEnd,  ///< The planned stop of this process.
};

[[nodiscard]] std::string_view ToString(deadline_cause cause);

/// \brief The earliest of a request's deadlines.
struct request_deadline {
  instant at{};
  deadline_cause cause = deadline_cause::kRoute;

  friend bool operator==(const request_deadline&, const request_deadline&) = default;
};

/// \brief The limits of the time that a request may take.
struct request_time_limits {
  instant received{};
  std::optional<milliseconds> caller_waits = {};  ///< From its arrival; nothing: not stated.
  milliseconds route_timeout{};                   ///< From its arrival.
  std::optional<instant> process_end = {};        ///< Nothing while no stop is planned.
};

/// \returns The deadline of a request. Of equal ones the caller's is named first, then the route's.
[[nodiscard]] request_deadline EarliestDeadline(const request_time_limits& limits);

/// \brief Decides whether a stopping gateway sends a request to a backend server.
/// \param expected From the send to the end of the answer.
/// \returns true while no stop is planned, and when the request is expected to end before the
/// process does.
[[nodiscard]] bool EndsBeforeStop(const request_time_limits& limits, microseconds expected,
                                  instant now);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_REQUEST_DEADLINE_H_
