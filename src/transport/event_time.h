#ifndef JACINTHSPOOL_TRANSPORT_EVENT_TIME_H_
#define JACINTHSPOOL_TRANSPORT_EVENT_TIME_H_

#include <sys/time.h>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \returns The duration as a timeval for libevent; negative durations become zero.
inline timeval ToTimeval(microseconds value) {
  if (value < microseconds::zero()) {
    return {};
  }
  const auto whole = std::chrono::duration_cast<seconds>(value);
  return {.tv_sec = static_cast<time_t>(whole.count()),
          .tv_usec = static_cast<suseconds_t>((value - whole).count())};
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_EVENT_TIME_H_
