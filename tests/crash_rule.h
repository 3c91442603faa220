#ifndef JACINTHSPOOL_TESTS_CRASH_RULE_H_
#define JACINTHSPOOL_TESTS_CRASH_RULE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::testing {

/// \brief Counts the requests that end backend servers, alone or by parts of their prompts, and the
/// sound ones beside them.
///
/// From `kTouch` after the fifth server ended under a part, or the third under a whole request, at
/// most `kSends` requests with it may reach servers. From twice that time on, sound requests must
/// begin at least `kLeastShare` times as often as before the first crash.
class crash_rule {
 public:
  static constexpr microseconds kTouch = seconds(3);
  static constexpr int kCrashes = 5;         ///< Under one part.
  static constexpr int kRequestCrashes = 3;  ///< Under one whole request.
  static constexpr int kSends = 3;
  static constexpr int kLeastRequests = 20;
  static constexpr double kLeastShare = 0.5;

  /// \brief Outcomes of sound requests.
  struct tally {
    int sent = 0;
    int begun = 0;
    [[nodiscard]] double share() const { return sent == 0 ? 0 : static_cast<double>(begun) / sent; }
  };

  explicit crash_rule(int crashes = kCrashes) : crashes_before_bound_(crashes) {}

  /// \brief A backend server ended under a request with the part, or under that request.
  void OnCrash(std::uint64_t part, instant now) {
    record& each = parts_[part];
    if (++each.crashes <= crashes_before_bound_) {
      each.settled = now;
    }
    first_crash_ = std::min(first_crash_, now);
  }
  /// \brief A request with the part reaches a backend server.
  void OnSend(const std::string& gateway, std::uint64_t part, instant now) {
    record& each = parts_[part];
    each.late_sends += each.crashes >= crashes_before_bound_ && now - each.settled > kTouch &&
                               !IsExcused(gateway, now)
                           ? 1
                           : 0;
  }
  /// \brief A caller's first attempt of a sound request has ended.
  void OnSound(const std::string& gateway, instant sent, bool begun) {
    if (!IsExcused(gateway, sent)) {
      sound_.push_back({.sent = sent, .begun = begun});
    }
  }
  /// \brief The gateway was stopped, started or cut off: it does not count until then.
  void Excuse(const std::string& gateway, instant until) { excused_until_[gateway] = until; }

  [[nodiscard]] int crashes() const {
    int sum = 0;
    for (const auto& [part, each] : parts_) {
      sum += each.crashes;
    }
    return sum;
  }
  /// \returns The most requests with one part that were sent after the part should be known.
  [[nodiscard]] int late_sends() const {
    int most = 0;
    for (const auto& [part, each] : parts_) {
      most = std::max(most, each.late_sends);
    }
    return most;
  }
  [[nodiscard]] tally SoundBetween(instant from, instant to) const {
    tally sum;
    for (const outcome& each : sound_) {
      const bool counts = each.sent >= from && each.sent < to;
      sum.sent += counts ? 1 : 0;
      sum.begun += counts && each.begun ? 1 : 0;
    }
    return sum;
  }
  [[nodiscard]] tally before() const { return SoundBetween({}, first_crash_); }
  [[nodiscard]] tally after() const {
    instant settled{};
    for (const auto& [part, each] : parts_) {
      settled = std::max(settled, each.settled);
    }
    return SoundBetween(settled + 2 * kTouch, instant::max());
  }
  /// \returns true when too many requests with one part were sent.
  [[nodiscard]] bool overspent() const { return late_sends() > kSends; }
  /// \returns true when sound requests begin too rarely.
  [[nodiscard]] bool holds_sound_back() const {
    return before().sent >= kLeastRequests && after().sent >= kLeastRequests &&
           after().share() < kLeastShare * before().share();
  }

 private:
  struct record {
    int crashes = 0;
    int late_sends = 0;
    instant settled{};  ///< Time of the crash from which the bound counts, or of the last.
  };
  struct outcome {
    instant sent{};
    bool begun = false;
  };

  [[nodiscard]] bool IsExcused(const std::string& gateway, instant now) const {
    const auto found = excused_until_.find(gateway);
    return found != excused_until_.end() && now < found->second;
  }

  int crashes_before_bound_;
  std::map<std::uint64_t, record> parts_;
  std::map<std::string, instant> excused_until_;
  std::vector<outcome> sound_;
  instant first_crash_ = instant::max();
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_CRASH_RULE_H_
