#ifndef JACINTHSPOOL_IMPL_BACKOFF_H_
#define JACINTHSPOOL_IMPL_BACKOFF_H_

#include <cstdint>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Exponential backoff: the delay doubles up to a limit, with jitter over its upper half.
///
/// \code
/// const backoff delays({.first = milliseconds(10), .last = seconds(1)});
/// timers.After(delays.Delay(tries, random()), retry);
/// \endcode
class backoff {
 public:
  struct options {
    microseconds first = milliseconds(10);
    microseconds last = seconds(1);
  };

  explicit backoff(options settings) : settings_(settings) {}

  /// \param tries Number of failed tries so far, from 1.
  /// \param random Random number that selects the delay within its range.
  /// \returns A delay between half and all of min(last, first * 2^(tries - 1)).
  [[nodiscard]] microseconds Delay(std::uint32_t tries, std::uint64_t random) const;

 private:
  options settings_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_BACKOFF_H_
