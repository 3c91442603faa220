#ifndef JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_
#define JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_

#include <deque>
#include <optional>

#include "jacinthspool/impl/agent_core.h"

namespace jacinthspool {

/// \returns The attempt, when the effect gives the backend server new work.
[[nodiscard]] std::optional<attempt_id> WorkOf(const agent_effect& effect);

/// \brief Effects that wait to be carried out, in order.
///
/// An order for new work must not go out when the process has slept since
/// the core last looked at the clock: what the order belongs to may have
/// expired meanwhile. The owner then lets the core look again, and the orders
/// that it takes back are dropped here unsent.
class effect_queue {
 public:
  /// \brief Appends effects; an `order_release` drops the unsent order of its attempt.
  void Add(agent_effects effects);

  [[nodiscard]] bool empty() const { return waiting_.empty(); }
  [[nodiscard]] const agent_effect& front() const { return waiting_.front(); }
  [[nodiscard]] agent_effect Pop();

 private:
  std::deque<agent_effect> waiting_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_
