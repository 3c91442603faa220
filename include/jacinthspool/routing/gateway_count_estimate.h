#ifndef JACINTHSPOOL_ROUTING_GATEWAY_COUNT_ESTIMATE_H_
#define JACINTHSPOOL_ROUTING_GATEWAY_COUNT_ESTIMATE_H_

#include <cstdint>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Conservative estimate of the number of processes that share a budget.
///
/// Peers that have just restarted know few other processes; a process that relied on
/// their count would take too large a share of the budget. The estimate rises at
/// once and falls only when the count has been lower for a while. A process that
/// has had no answer from a peer assumes many.
class gateway_count_estimate {
 public:
  struct options {
    std::uint32_t at_start = 128;      ///< Assumed until `settle` after the start.
    microseconds settle = seconds(3);  ///< In which each process has queried all its peers.
    microseconds hold = seconds(30);   ///< How long a higher count is kept.
  };

  gateway_count_estimate(const options& settings, instant start)
      : settings_(settings), start_(start) {}

  /// \param counted Number of processes known now.
  /// \param heard Whether a peer has reported its count, or there are no peers.
  /// \returns The estimate.
  std::uint32_t Update(std::uint32_t counted, bool heard, instant now) {
    if (counted >= highest_ || now - seen_ > settings_.hold) {
      highest_ = counted;
      seen_ = now;
    }
    const bool settling = !heard || now - start_ < settings_.settle;
    return settling && highest_ < settings_.at_start ? settings_.at_start : highest_;
  }

 private:
  options settings_;
  instant start_;
  std::uint32_t highest_ = 0;
  instant seen_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_GATEWAY_COUNT_ESTIMATE_H_
