#ifndef JACINTHSPOOL_ROUTING_CALLER_PATIENCE_H_
#define JACINTHSPOOL_ROUTING_CALLER_PATIENCE_H_

#include <map>
#include <string>
#include <string_view>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Tells callers that come back from those that come for the first time.
///
/// The load it answers: hours in which many are refused and return. Whoever
/// returns has missed the latency objective, which is measured from the first
/// try, while the gateway sees only a new request. Its time left gives it away:
/// the callers of one route set out with much the same patience.
class caller_patience {
 public:
  struct options {
    /// Part of the longest patience below which a caller must have come before: first tries were
    /// seen to spread over the upper 15 %.
    double first_try_share = 0.85;
    /// The longest patience known halves in this time, so that a single odd caller is forgotten.
    seconds half_life = seconds(120);
  };

  explicit caller_patience(const options& settings) : settings_(settings) {}

  /// \brief Counts a request and its time left.
  /// \returns true when its caller has probably been refused before.
  bool ComesBack(std::string_view route, milliseconds time_left, instant now);

 private:
  struct longest_seen {
    double time_left_ms = 0;
    instant at{};
  };

  options settings_;
  std::map<std::string, longest_seen, std::less<>> routes_ = {};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_CALLER_PATIENCE_H_
