#ifndef JACINTHSPOOL_ROUTING_FORWARD_RETRY_BUDGET_H_
#define JACINTHSPOOL_ROUTING_FORWARD_RETRY_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief This process's share of the retries that all gateways together may send to a service.
///
/// When a service fails or rejects many requests, unbounded retries would multiply
/// its load. In each sliding window the retries stay below a fraction of the
/// requests plus a fixed allowance, which is split equally between the gateways.
class forward_retry_budget {
 public:
  struct options {
    double ratio = 0.2;  ///< Retries per request.
    microseconds window = seconds(10);
    double extra = 50;          ///< Retries of all gateways per window, independent of requests.
    std::uint32_t entries = 1;  ///< Gateways that share `extra`.
    /// Start of this process: its share of `extra` grows over the first window, since the process
    /// before it may have spent it.
    instant started{};
  };

  explicit forward_retry_budget(const options& settings) : settings_(settings) {}

  /// \brief Counts a request for the service.
  void CountRequest(instant now, const std::string& service);

  /// \brief Takes one retry from the budget.
  /// \returns false, and takes nothing, when the budget is exhausted.
  [[nodiscard]] bool Draw(instant now, const std::string& service);

  /// \brief Counts a retry that was recognised as one only after it was sent.
  void Charge(instant now, const std::string& service);

  /// \returns The number of retries left now.
  [[nodiscard]] double left(instant now, const std::string& service) const;

  void SetEntries(std::uint32_t entries) { settings_.entries = entries > 0 ? entries : 1; }
  void SetLimits(double ratio, microseconds window, double extra);

 private:
  /// Counters of one slice of the window.
  struct slice {
    std::int64_t number = 0;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  [[nodiscard]] std::int64_t SliceNumber(instant now) const;
  slice& Current(instant now, const std::string& service);

  options settings_;
  std::map<std::string, std::vector<slice>> services_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_FORWARD_RETRY_BUDGET_H_
