#ifndef JACINTHSPOOL_TESTS_FUZZ_VIRTUAL_CLOCK_H_
#define JACINTHSPOOL_TESTS_FUZZ_VIRTUAL_CLOCK_H_

#include <functional>
#include <map>
#include <utility>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::fuzz {

/// \brief A virtual clock with a queue of actions that are due at later times.
class virtual_clock {
 public:
  [[nodiscard]] instant now() const { return now_; }

  /// \brief Schedules `action` to run after `delay` of virtual time.
  void After(microseconds delay, std::function<void()> action) {
    actions_.emplace(now_ + delay, std::move(action));
  }

  /// \brief Advances the clock by `duration` and runs the actions that become due, in time order.
  void Advance(microseconds duration) {
    const instant end = now_ + duration;
    while (!actions_.empty() && actions_.begin()->first <= end) {
      auto node = actions_.extract(actions_.begin());
      now_ = std::max(now_, node.key());
      node.mapped()();
    }
    now_ = end;
  }

 private:
  instant now_{seconds(1000)};
  std::multimap<instant, std::function<void()>> actions_;
};

}  // namespace jacinthspool::fuzz

#endif  // JACINTHSPOOL_TESTS_FUZZ_VIRTUAL_CLOCK_H_
