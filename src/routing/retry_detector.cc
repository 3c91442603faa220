#include "jacinthspool/routing/retry_detector.h"

#include <cmath>

namespace jacinthspool {

bool retry_detector::IsRetry(std::string_view route, milliseconds time_left, instant now) {
  const auto left_ms = static_cast<double>(time_left.count());
  auto found = routes_.find(route);
  if (found == routes_.end()) {
    found = routes_.emplace(std::string(route), longest_seen{}).first;
  }
  longest_seen& longest = found->second;
  const std::chrono::duration<double> age = now - longest.at;
  const std::chrono::duration<double> half_life = settings_.half_life;
  const double known_ms = longest.time_left_ms * std::exp2(-age / half_life);
  if (left_ms >= known_ms) {
    longest = {.time_left_ms = left_ms, .at = now};
    return false;
  }
  return left_ms < settings_.first_try_share * known_ms;
}

milliseconds retry_detector::LongestWait(std::string_view route) const {
  const auto found = routes_.find(route);
  return found == routes_.end()
             ? milliseconds(0)
             : milliseconds(static_cast<std::int64_t>(found->second.time_left_ms));
}

}  // namespace jacinthspool
