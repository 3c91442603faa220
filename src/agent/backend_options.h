#ifndef JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_
#define JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_

#include <functional>
#include <string>

#include "jacinthspool/impl/agent_core.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/timer_service.h"

namespace jacinthspool {

/// \brief What the clients of engines and services have in common.
struct backend_options {
  event_loop& loop;
  timer_service& timers;
  http_client& client;
  std::string address;                 ///< ip:port of the backend server
  incarnation_id incarnation = 0;      ///< Fencing number of all orders.
  microseconds timeout = seconds(10);  ///< Longest silence of an order.
  /// Takes what the backend server says; never called from within an order.
  std::function<void(agent_event)> on_event;
  /// Another agent with a larger fencing number gives orders to this backend server.
  std::function<void()> on_superseded;
};

/// \returns How the attempt is named to the backend server: "INCARNATION-COUNTER:ATTEMPT".
inline std::string NameOf(const attempt_id& id) {
  return ToString(id.request) + ":" + std::to_string(id.attempt);
}

/// \returns The headers of each order.
inline http_headers OrderHeaders(const backend_options& options, const std::string& request,
                                 std::uint8_t priority = 0) {
  return {{"X-Request-Id", request},
          {"X-Fencing-Token", std::to_string(options.incarnation)},
          {"X-Priority", std::to_string(priority)}};
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_BACKEND_OPTIONS_H_
