#ifndef JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_
#define JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_

#include <functional>
#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief Options that `engine_client` and `service_client` have in common.
struct backend_options {
  event_loop& loop;
  timer_service& timers;
  http_client& client;
  std::string address;                 ///< ip:port of the backend server.
  incarnation_id incarnation = 0;      ///< Fencing token of all orders.
  microseconds timeout = seconds(10);  ///< Maximum time without data while an order runs.
  /// Receives the events of the backend server. Never called from within `Prefill`, `Decode`,
  /// `Call` or `Release`.
  std::function<void(agent_event)> on_event;
  /// Called when the backend server rejects an order because it obeys an agent with a larger
  /// fencing token.
  std::function<void()> on_superseded;
};

/// \returns The request ID of the attempt at the backend server: "INCARNATION-COUNTER:ATTEMPT".
inline std::string NameOf(const attempt_id& id) {
  return ToString(id.request) + ":" + std::to_string(id.attempt);
}

/// \returns The headers that every order carries: request ID, fencing token and priority.
inline http_headers OrderHeaders(const backend_options& options, const std::string& request,
                                 std::uint8_t priority = 0) {
  return {{"X-Request-Id", request},
          {"X-Fencing-Token", std::to_string(options.incarnation)},
          {"X-Priority", std::to_string(priority)}};
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_
