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

/// \brief Tracks the leases of other processes and detects their expiry.
///
/// Expire must be called before pending messages are processed: after a VM was
/// suspended, a late message must not renew a lease that has already expired.
///
/// \code
/// lease_clock leases(seconds(4));
/// leases.Renew(now, entry);
/// for (incarnation_id lost : leases.Expire(later)) DropWorkOf(lost);
/// \endcode
class lease_clock {
 public:
  explicit lease_clock(microseconds lease) : lease_(lease) {}

  /// \brief Starts or renews the lease of a process that has sent a message.
  void Renew(instant now, incarnation_id process);

  /// \brief Removes expired leases.
  /// \returns The processes that held them.
  [[nodiscard]] std::vector<incarnation_id> Expire(instant now);

  /// \returns true while the process holds a lease.
  [[nodiscard]] bool Holds(incarnation_id process) const { return last_heard_.contains(process); }

  /// \brief Changes the duration, including that of current leases.
  void set_lease(microseconds lease);

  /// \returns When to call Expire next: not later than the next expiry; nothing without leases.
  [[nodiscard]] std::optional<instant> next_check() const;

 private:
  using check = std::pair<instant, incarnation_id>;

  microseconds lease_;
  std::unordered_map<incarnation_id, instant> last_heard_;
  std::priority_queue<check, std::vector<check>, std::greater<>> checks_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_LEASE_CLOCK_H_
