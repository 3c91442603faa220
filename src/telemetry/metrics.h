#ifndef JACINTHSPOOL_TELEMETRY_METRICS_H_
#define JACINTHSPOOL_TELEMETRY_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

using metric_labels = std::map<std::string, std::string>;

/// \brief Counters, gauges and latency histograms of one process.
///
/// Histograms are Boost.Histogram with a logarithmic axis from 0.1 ms to 100 s.
class metrics_registry {
 public:
  metrics_registry();
  ~metrics_registry();

  void Count(const std::string& name, const metric_labels& labels = {}, std::uint64_t by = 1);
  void Set(const std::string& name, const metric_labels& labels, double value);
  void Observe(const std::string& name, const metric_labels& labels, microseconds value);

  /// \returns All series in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TELEMETRY_METRICS_H_
