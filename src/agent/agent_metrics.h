#ifndef JACINTHSPOOL_AGENT_AGENT_METRICS_H_
#define JACINTHSPOOL_AGENT_AGENT_METRICS_H_

#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/attempt_hash.h"
#include "src/telemetry/metrics.h"

namespace jacinthspool {

/// \brief Metrics of an agent: latencies of the backend server, decisions and memory use.
class agent_metrics {
 public:
  /// \brief Starts the latency measurement of an order that is sent to the backend server.
  void RecordOrder(instant now, attempt_id id);

  /// \brief Updates the metrics from an event of the backend server; call before the core handles
  /// it.
  void RecordEvent(instant now, const agent_event& event);

  /// \brief Counts a decision by its event; rejections also by their reason.
  void Count(const decision& made);

  /// \brief Renders all metrics.
  /// \param load Current load of the agent.
  /// \param entries Number of connected entries.
  /// \returns The metrics in the Prometheus text format.
  [[nodiscard]] std::string Render(const agent_load& load, std::size_t entries);

 private:
  struct running_order {
    instant since;
    bool answered = false;  ///< The first piece of its answer has been received.
  };
  void RecordEnd(instant now, attempt_id id, const std::string& kind);

  metrics_registry registry_;
  attempt_map<running_order> orders_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_METRICS_H_
