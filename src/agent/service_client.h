#ifndef JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_
#define JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_

#include <memory>

#include "jacinthspool/impl/attempt_hash.h"
#include "src/agent/backend_options.h"

namespace jacinthspool {

/// \brief Calls a plain service on behalf of callers.
class service_client {
 public:
  explicit service_client(backend_options options);
  service_client(const service_client&) = delete;
  service_client& operator=(const service_client&) = delete;

  /// \brief A plain service computes no prompts; the order fails.
  void Prefill(const order_prefill& order);
  /// \brief A plain service generates no tokens; the order fails.
  void Decode(const order_decode& order);
  void Call(const order_call& order);
  /// \brief Closes the call; the service holds no memory for it afterwards.
  void Release(const order_release& order);

  /// \returns true while the answer of a call is awaited.
  [[nodiscard]] bool busy() const { return !calls_.empty(); }
  void set_timeout(microseconds timeout) { options_.timeout = timeout; }

 private:
  void TakeAnswer(attempt_id id, http_response response);
  void TellLater(agent_event event);
  void Poll();
  void TakeHealth(const http_response& response);

  backend_options options_;
  attempt_map<std::unique_ptr<http_call>> calls_;
  std::unique_ptr<http_call> health_call_;
  timer_subscription health_timer_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_
