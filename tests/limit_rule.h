#ifndef JACINTHSPOOL_TESTS_LIMIT_RULE_H_
#define JACINTHSPOOL_TESTS_LIMIT_RULE_H_

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool::testing {

/// \brief Counts what one backend server gets from gateways that know its limit.
///
/// From `kSettle` after the limit was first named, no window may hold more than one and a half
/// times what the limit allows, plus `kExtra` requests. Requests count from `kTold` after their
/// gateway got an answer that named the limit.
class limit_rule {
 public:
  static constexpr microseconds kWindow = seconds(4);
  static constexpr microseconds kSettle = seconds(3);
  static constexpr microseconds kTold = milliseconds(500);
  static constexpr double kFactor = 1.5;
  static constexpr double kExtra = 5;

  /// \brief The server names a limit from now on; a lower one needs `kSettle` again.
  void Name(double per_second, instant now) {
    if (!limit_ || per_second < *limit_) {
      named_ = now;
    }
    limit_ = per_second;
  }
  void Lift() {
    limit_.reset();
    told_.clear();
    counted_.clear();
  }
  [[nodiscard]] std::optional<double> limit() const { return limit_; }

  /// \brief An answer that names the limit is sent to the gateway.
  void OnAnswer(const std::string& gateway, instant now) {
    const auto excused = excused_until_.find(gateway);
    const bool counts = excused == excused_until_.end() || now >= excused->second;
    if (limit_ && !gateway.empty() && counts && now >= suspended_until_) {
      told_.try_emplace(gateway, now);
    }
  }
  /// \brief The gateway was restarted or held up: it must be told again, after that time.
  void Excuse(const std::string& gateway, instant until = {}) {
    told_.erase(gateway);
    excused_until_[gateway] = until;
    std::erase_if(counted_, [&](const arrival& each) { return each.gateway == gateway; });
  }
  /// \brief The link of the server is disturbed until then: all gateways must be told again.
  void Suspend(instant until) {
    told_.clear();
    counted_.clear();
    suspended_until_ = std::max(suspended_until_, until);
  }

  /// \returns The number of requests in the window that ends now, if there are too many.
  std::optional<std::size_t> OnArrival(const std::string& gateway, instant now) {
    const auto told = told_.find(gateway);
    if (!limit_ || told == told_.end() || now - told->second < kTold) {
      return std::nullopt;
    }
    counted_.push_back({.at = now, .gateway = gateway});
    while (now - counted_.front().at > kWindow) {
      counted_.pop_front();
    }
    highest_ = now - named_ < kSettle ? highest_ : std::max(highest_, counted_.size());
    const bool broken = now - named_ >= kSettle && static_cast<double>(counted_.size()) > Allowed();
    return broken ? std::optional(counted_.size()) : std::nullopt;
  }
  [[nodiscard]] double Allowed() const {
    return kFactor * *limit_ * std::chrono::duration<double>(kWindow).count() + kExtra;
  }
  /// \returns The most requests in a window so far.
  [[nodiscard]] std::size_t highest() const { return highest_; }

 private:
  struct arrival {
    instant at{};
    std::string gateway = {};
  };

  std::optional<double> limit_;
  instant named_{};
  std::map<std::string, instant> told_;
  std::map<std::string, instant> excused_until_;
  instant suspended_until_{};
  std::deque<arrival> counted_;
  std::size_t highest_ = 0;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_LIMIT_RULE_H_
