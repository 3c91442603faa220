#ifndef JACINTHSPOOL_TELEMETRY_LINE_LIMIT_H_
#define JACINTHSPOOL_TELEMETRY_LINE_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Limits the log lines about a condition that recurs: one for each key, and a number for
/// all keys, in each period.
class line_limit {
 public:
  struct options {
    std::size_t max_lines = 20;
    microseconds period = seconds(600);
  };

  explicit line_limit(const options& settings) : settings_(settings) {}

  /// \returns true when a line with that key may be written; otherwise it is counted.
  [[nodiscard]] bool Permits(const std::string& key, instant now);

  /// \returns Number of lines not permitted since the last call.
  std::uint64_t TakeSuppressed() { return std::exchange(suppressed_, 0); }

 private:
  options settings_;
  std::set<std::string> written_;  ///< Keys of this period.
  instant period_start_{};
  std::uint64_t suppressed_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_LINE_LIMIT_H_
