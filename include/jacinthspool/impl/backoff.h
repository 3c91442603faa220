#ifndef JACINTHSPOOL_IMPL_BACKOFF_H_
#define JACINTHSPOOL_IMPL_BACKOFF_H_

#include <cstdint>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Delays between tries: doubling, bounded, with full jitter.
///
/// \code
/// const backoff delays({.first = milliseconds(10), .last = seconds(1)});
/// timers.After(delays.Delay(tries, random()), again);
/// \endcode
class backoff {
 public:
  struct options {
    microseconds first = milliseconds(10);
    microseconds last = seconds(1);
  };

  explicit backoff(options settings) : settings_(settings) {}

  /// \param tries Failed tries so far, from 1.
  /// \param random Any random number; it places the delay within its range.
  /// \returns Between a half and the whole of first * 2^(tries - 1), at most `last`.
  [[nodiscard]] microseconds Delay(std::uint32_t tries, std::uint64_t random) const;

 private:
  options settings_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_BACKOFF_H_
