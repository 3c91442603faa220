#ifndef JACINTHSPOOL_IMPL_TIME_H_
#define JACINTHSPOOL_IMPL_TIME_H_

#include <chrono>

namespace jacinthspool {

/// \brief Monotonic clock that includes the time in which the VM was suspended (CLOCK_BOOTTIME).
///
/// The coordination library never reads the clock: callers pass in the time.
struct boot_clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  /// \brief Reads CLOCK_BOOTTIME.
  static time_point now() noexcept;
};

/// \brief A time point on the clock of this process.
using instant = boot_clock::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_TIME_H_
