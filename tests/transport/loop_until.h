#ifndef JACINTHSPOOL_TESTS_TRANSPORT_LOOP_UNTIL_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_LOOP_UNTIL_H_

#include <functional>

#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Runs the loop until `condition` holds.
/// \returns false when it does not hold within 30 s.
inline bool RunUntil(event_loop& loop, const std::function<bool()>& condition) {
  timer_service timers(loop);
  const auto poll = timers.Every(milliseconds(1), [&](instant) {
    if (condition()) {
      loop.Stop();
    }
  });
  const auto limit = timers.After(seconds(30), [&](instant) { loop.Stop(); });
  loop.Run();
  return condition();
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_LOOP_UNTIL_H_
