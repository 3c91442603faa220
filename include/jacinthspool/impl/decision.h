#ifndef JACINTHSPOOL_IMPL_DECISION_H_
#define JACINTHSPOOL_IMPL_DECISION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief A backend server that was considered in a decision.
struct decision_candidate {
  std::string backend;
  std::optional<microseconds> start_in;  ///< Quoted time until the work can start.
  std::uint32_t cached_tokens = 0;
  std::string refusal;  ///< Reason of its rejection; empty without one.
};

/// \brief A routing or placement decision, as written to the log.
struct decision {
  std::string event;  ///< "route", "place", "prefill_order", "refuse", "retry", "cancel", ...
  request_id request;
  attempt_number attempt = 0;
  std::string team;
  std::vector<decision_candidate> candidates;
  std::string choice;
  std::string reason;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_DECISION_H_
