#ifndef JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_
#define JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_

#include <algorithm>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief A duration worked out as a quotient, kept within what a plan can use.
/// \param value Seconds; below zero counts as zero, above an hour as an hour.
[[nodiscard]] inline microseconds FromSeconds(double value) {
  constexpr double kLongest = 3600;
  return std::chrono::duration_cast<microseconds>(
      std::chrono::duration<double>(std::clamp(value, 0.0, kLongest)));
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_FROM_SECONDS_H_
