#ifndef JACINTHSPOOL_TESTS_FUZZ_AGENDA_H_
#define JACINTHSPOOL_TESTS_FUZZ_AGENDA_H_

#include <functional>
#include <map>
#include <utility>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::fuzz {

/// \brief Virtual time, and what is to happen in it.
class agenda {
 public:
  [[nodiscard]] instant now() const { return now_; }

  /// \brief Runs `action` after `delay`.
  void After(microseconds delay, std::function<void()> action) {
    actions_.emplace(now_ + delay, std::move(action));
  }

  /// \brief Lets time pass, and runs all that falls into it, in order.
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

#endif  // JACINTHSPOOL_TESTS_FUZZ_AGENDA_H_
