#ifndef JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_
#define JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_

#include <deque>
#include <optional>

#include "jacinthspool/impl/agent_core.h"

namespace jacinthspool {

/// \returns The attempt, if the effect orders new work from the backend server; otherwise nothing.
[[nodiscard]] std::optional<attempt_id> OrderedAttempt(const agent_effect& effect);

/// \brief FIFO queue of effects that have not been executed yet.
///
/// An order for new work must not be sent if the process was suspended after
/// the core last read the clock, since the work may have expired in the
/// meantime. In this case the owner has the core process the elapsed time
/// first; orders that the core withdraws are then removed here unsent.
class effect_queue {
 public:
  /// \brief Appends effects; an `order_release` removes the unsent order of its attempt.
  void Add(agent_effects effects);

  [[nodiscard]] bool empty() const { return pending_.empty(); }
  [[nodiscard]] const agent_effect& front() const { return pending_.front(); }
  /// \brief Removes and returns the first effect; the queue must not be empty.
  [[nodiscard]] agent_effect Pop();

 private:
  std::deque<agent_effect> pending_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_EFFECT_QUEUE_H_
