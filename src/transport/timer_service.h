#ifndef JACINTHSPOOL_TRANSPORT_TIMER_SERVICE_H_
#define JACINTHSPOOL_TRANSPORT_TIMER_SERVICE_H_

#include <functional>
#include <memory>

#include "jacinthspool/impl/time.h"
#include "src/transport/event_loop.h"

namespace jacinthspool {

/// \brief Owns a timer; destroying the subscription cancels it.
class timer_subscription {
 public:
  struct state;
  timer_subscription();
  explicit timer_subscription(std::unique_ptr<state> timer);
  timer_subscription(timer_subscription&&) noexcept;
  timer_subscription& operator=(timer_subscription&&) noexcept;
  ~timer_subscription();

  /// \brief Cancels the timer.
  void Cancel();

  /// \returns true while the timer may still fire.
  [[nodiscard]] bool active() const;

 private:
  std::unique_ptr<state> state_;
};

/// \brief Runs callbacks periodically or after a delay, in the event loop.
///
/// \code
/// timer_subscription beat = timers.Every(seconds(1), [&](instant now) { SendHeartbeat(now); });
/// \endcode
class timer_service {
 public:
  using callback = std::function<void(instant)>;

  explicit timer_service(event_loop& loop) : loop_(loop) {}

  /// \brief Calls `action` every `period`, for the first time after one period.
  [[nodiscard]] timer_subscription Every(microseconds period, callback action);

  /// \brief Calls `action` once, after `delay`.
  [[nodiscard]] timer_subscription After(microseconds delay, callback action);

  /// \returns The time of the boot clock, which also advances while the system is suspended.
  [[nodiscard]] static instant now() { return boot_clock::now(); }

 private:
  event_loop& loop_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_TIMER_SERVICE_H_
