#include "jacinthspool/routing/request_deadline.h"

namespace jacinthspool {

std::string_view ToString(deadline_cause cause) {
  switch (cause) {
    case deadline_cause::kCaller:
      return "caller";
    case deadline_cause::kRoute:
      return "route";
    case deadline_cause::kProcessEnd:
      return "process_end";
  }
  return "route";
}

request_deadline EarliestDeadline(const request_time_limits& limits) {
  request_deadline earliest{.at = limits.received + limits.route_timeout,
                            .cause = deadline_cause::kRoute};
  if (limits.caller_waits && limits.received + *limits.caller_waits <= earliest.at) {
    earliest = {.at = limits.received + *limits.caller_waits, .cause = deadline_cause::kCaller};
  }
  if (limits.process_end && *limits.process_end < earliest.at) {
    earliest = {.at = *limits.process_end, .cause = deadline_cause::kProcessEnd};
  }
  return earliest;
}

bool EndsBeforeStop(const request_time_limits& limits, microseconds expected, instant now) {
  return !limits.process_end || now + expected <= *limits.process_end;
}

}  // namespace jacinthspool
