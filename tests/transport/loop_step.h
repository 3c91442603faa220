#ifndef JACINTHSPOOL_TESTS_TRANSPORT_LOOP_STEP_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_LOOP_STEP_H_

#include <event2/event.h>

#include <thread>

#include "src/transport/event_loop.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Runs one iteration of the loop with the events that are due, without waiting for others.
inline void RunOnce(event_loop& loop) {
  event_base_loop(loop.base(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

/// \brief A timer service whose timers fire only when the test says so.
///
/// A loop that is interrupted while it waits, as after SIGSTOP and SIGCONT, runs its timers
/// without a look at its sockets; this plays that order without a signal.
struct stepped_timers {
  event_loop loop;
  timer_service timers{loop};

  /// \brief Waits for `time` without running any loop, then runs the timers that are due.
  void FireAfter(milliseconds time) {
    std::this_thread::sleep_for(time);
    RunOnce(loop);
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_LOOP_STEP_H_
