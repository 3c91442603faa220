#ifndef JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_
#define JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_

#include <memory>

#include "jacinthspool/impl/attempt_hash.h"
#include "src/agent/backend_options.h"

namespace jacinthspool {

/// \brief Client of a plain HTTP service, which serves calls and no completions.
class service_client {
 public:
  explicit service_client(backend_options options);
  service_client(const service_client&) = delete;
  service_client& operator=(const service_client&) = delete;

  /// \brief Fails the order, since a plain service does not prefill.
  void Prefill(const order_prefill& order);
  /// \brief Fails the order, since a plain service does not decode.
  void Decode(const order_decode& order);
  /// \brief Forwards the call to the service.
  void Call(const order_call& order);
  /// \brief Closes the call and reports `engine_released`: a service holds no memory for it.
  void Release(const order_release& order);

  /// \returns true while the answer to any call is outstanding.
  [[nodiscard]] bool busy() const { return !calls_.empty(); }
  void set_timeout(microseconds timeout) { options_.timeout = timeout; }

 private:
  void OnAnswer(attempt_id id, http_response response);
  void PostEvent(agent_event event);
  void PollHealth();
  void OnHealthReply(const http_response& response);

  backend_options options_;
  attempt_map<std::unique_ptr<http_call>> calls_;
  std::unique_ptr<http_call> health_call_;
  timer_subscription health_timer_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_SERVICE_CLIENT_H_
