#ifndef JACINTHSPOOL_AGENT_AGENT_METRICS_H_
#define JACINTHSPOOL_AGENT_AGENT_METRICS_H_

#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/attempt_hash.h"
#include "src/telemetry/metrics.h"

namespace jacinthspool {

/// \brief What an agent measures of its work.
class agent_metrics {
 public:
  /// \brief An order for new work goes to the backend server.
  void Ordered(instant now, attempt_id id);

  /// \brief Looks at an event of the backend server before the core takes it.
  void Take(instant now, const agent_event& event);

  void Count(const decision& made);

  /// \returns Everything in the Prometheus text format.
  [[nodiscard]] std::string Render(const agent_load& load, std::size_t entries);

 private:
  struct running_order {
    instant since;
    bool answered = false;  ///< Its first piece has come.
  };
  void Ended(instant now, attempt_id id, const std::string& kind);

  metrics_registry registry_;
  attempt_map<running_order> orders_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_AGENT_METRICS_H_
