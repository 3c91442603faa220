#ifndef JACINTHSPOOL_ROUTING_RETRY_DETECTOR_H_
#define JACINTHSPOOL_ROUTING_RETRY_DETECTOR_H_

#include <map>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Distinguishes retries of callers from first attempts.
///
/// Under overload many callers are rejected and retry. A retry has already missed
/// the latency objective, which is measured from the first attempt, but reaches the
/// gateway as a new request. It is recognised by the time that the caller will still
/// wait: callers of one route begin with nearly the same deadline.
class retry_detector {
 public:
  struct options {
    /// A request with less than this fraction of the longest wait is a retry: first attempts
    /// spread over the upper 15 %.
    double first_try_share = 0.85;
    /// Of the longest known wait, so that the effect of a single outlier fades.
    seconds half_life = seconds(120);
  };

  explicit retry_detector(const options& settings) : settings_(settings) {}

  /// \brief Records a request.
  /// \param time_left How long the caller will still wait.
  /// \returns true when the request is probably a retry of a rejected one.
  bool IsRetry(std::string_view route, milliseconds time_left, instant now);

  /// \returns How long the most patient caller of the route was going to wait; 0: unknown.
  [[nodiscard]] milliseconds LongestWait(std::string_view route) const;

 private:
  struct longest_seen {
    double time_left_ms = 0;
    instant at{};
  };

  options settings_;
  std::map<std::string, longest_seen, std::less<>> routes_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_RETRY_DETECTOR_H_
