#ifndef JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_
#define JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_

#include <algorithm>
#include <ratio>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Converts a computed number of seconds, such as a quotient of estimates, to a duration.
/// \param value Seconds.
/// \returns The duration, limited to 0 to 1 h.
[[nodiscard]] inline microseconds FromSeconds(double value) {
  constexpr double kMaxSeconds = 3600;
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(std::clamp(value, 0.0, kMaxSeconds)));
}

/// \brief Converts a number of milliseconds from the settings, likewise limited; a fraction is
/// dropped.
[[nodiscard]] inline milliseconds FromMilliseconds(double value) {
  constexpr double kMaxMilliseconds = 3'600'000;
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::duration<double, std::milli>(std::clamp(value, 0.0, kMaxMilliseconds)));
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_
