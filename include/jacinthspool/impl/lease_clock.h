#ifndef JACINTHSPOOL_IMPL_LEASE_CLOCK_H_
#define JACINTHSPOOL_IMPL_LEASE_CLOCK_H_

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Tells which processes have been silent for longer than their lease.
///
/// After any wake-up call Expire first: a process that slept must treat what
/// ran out meanwhile as lost, before it takes in the messages that wait.
///
/// \code
/// lease_clock leases(seconds(4));
/// leases.Touch(now, entry);
/// for (incarnation_id lost : leases.Expire(later)) DropWorkOf(lost);
/// \endcode
class lease_clock {
 public:
  explicit lease_clock(microseconds lease) : lease_(lease) {}

  /// \brief The process was heard now.
  void Touch(instant now, incarnation_id process);

  /// \returns Those whose lease has run out; they are forgotten.
  [[nodiscard]] std::vector<incarnation_id> Expire(instant now);

  /// \returns true while the process holds a lease.
  [[nodiscard]] bool Holds(incarnation_id process) const { return last_heard_.contains(process); }

  /// \brief Changes the length, also of leases that run.
  void set_lease(microseconds lease);

  /// \returns A moment not after the next expiry, if any lease runs.
  [[nodiscard]] std::optional<instant> next_check() const;

 private:
  using check = std::pair<instant, incarnation_id>;

  microseconds lease_;
  std::unordered_map<incarnation_id, instant> last_heard_;
  std::priority_queue<check, std::vector<check>, std::greater<>> checks_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_LEASE_CLOCK_H_
