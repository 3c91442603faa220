#ifndef JACINTHSPOOL_TRANSPORT_REPLY_WATCHDOG_H_
#define JACINTHSPOOL_TRANSPORT_REPLY_WATCHDOG_H_

#include <cstddef>
#include <functional>
#include <string>

#include "jacinthspool/impl/time.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Limits the time of a reply by its progress: it must begin in time, never fall silent for
/// too long, and arrive at a least rate.
///
/// A reply of any size can be received over a link that carries the least rate, and one that never
/// ends is given up once it reaches the limit for its size.
///
/// \code
/// reply_watchdog watchdog({.timers = timers});
/// watchdog.Start(seconds(1), [&](const std::string& reason) { call.reset(); Fail(reason); });
/// // in OnBody:
/// watchdog.OnBytes(bytes.size());
/// \endcode
class reply_watchdog {
 public:
  /// A small fraction of the slowest link between processes, which other traffic shares.
  static constexpr std::size_t kLeastBytesPerSecond = 64U << 10U;

  struct options {
    timer_service& timers;
    milliseconds silence = seconds(1);  ///< Longest time between two pieces of the reply.
    std::size_t least_bytes_per_second = kLeastBytesPerSecond;  ///< After the first `silence`.
  };

  explicit reply_watchdog(const options& settings) : settings_(settings) {}

  /// \param first_byte Longest time until the body of the reply begins.
  /// \param on_expired Called once when a limit is exceeded, with the reason; not after Cancel.
  void Start(milliseconds first_byte, std::function<void(const std::string& reason)> on_expired);

  /// \brief That many bytes of the body have arrived.
  void OnBytes(std::size_t count);

  void Cancel() { timer_.Cancel(); }

 private:
  void Check(instant now);

  options settings_;
  std::function<void(const std::string& reason)> on_expired_;
  timer_subscription timer_;
  instant began_{};   ///< Time of the reply's first byte.
  instant latest_{};  ///< Time of its newest; the epoch while it has not begun.
  std::size_t received_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TRANSPORT_REPLY_WATCHDOG_H_
