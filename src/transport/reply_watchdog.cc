#include "src/transport/reply_watchdog.h"

#include <algorithm>
#include <utility>

namespace jacinthspool {

void reply_watchdog::Start(milliseconds first_byte,
                           std::function<void(const std::string& reason)> on_expired) {
  on_expired_ = std::move(on_expired);
  latest_ = instant();
  received_ = 0;
  timer_ = settings_.timers.After(first_byte,
                                  [this](instant /*now*/) { on_expired_("no answer in time"); });
}

void reply_watchdog::OnBytes(std::size_t count) {
  const instant now = timer_service::now();
  const bool begins = latest_ == instant();
  latest_ = now;
  received_ += count;
  if (begins) {
    began_ = now;
    Check(now);
  }
}

void reply_watchdog::Check(instant now) {
  const auto earned = microseconds(seconds(1)) * static_cast<std::int64_t>(received_) /
                      static_cast<std::int64_t>(settings_.least_bytes_per_second);
  const instant silent_at = latest_ + settings_.silence;
  const instant slow_at = began_ + settings_.silence + earned;
  const instant next = std::min(silent_at, slow_at);
  if (now < next) {
    timer_ = settings_.timers.After(next - now, [this](instant then) { Check(then); });
  } else {
    on_expired_(silent_at <= slow_at ? "the answer fell silent" : "the answer arrives too slowly");
  }
}

}  // namespace jacinthspool
