#ifndef JACINTHSPOOL_AGENT_ENGINE_CLIENT_H_
#define JACINTHSPOOL_AGENT_ENGINE_CLIENT_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

#include "jacinthspool/impl/attempt_hash.h"
#include "src/agent/backend_options.h"
#include "src/agent/completion_stream.h"

namespace jacinthspool {

/// \brief Speaks with a model engine; see docs/design/engine-protocol.md.
///
/// The engine counts as up once it answers and runs nothing that this
/// incarnation has not ordered. What it runs beyond that, from an earlier
/// incarnation or from an order that overtook its cancel, is aborted.
class engine_client {
 public:
  explicit engine_client(backend_options options);
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  void Prefill(const order_prefill& order);
  void Decode(const order_decode& order);
  /// \brief A model engine takes no calls; the order fails.
  void Call(const order_call& order);
  /// \brief Closes the order's stream and asks for its end; reports when nothing is held.
  void Release(const order_release& order);

  /// \returns true while the answer of an order is awaited.
  [[nodiscard]] bool busy() const { return !orders_.empty(); }
  void set_timeout(microseconds timeout) { options_.timeout = timeout; }

 private:
  struct order_state {
    std::unique_ptr<http_call> call;
    completion_stream answer;
    bool streamed = false;  ///< Some of the answer has come.
    bool told = false;      ///< The core has been told how it ended.
  };

  void Send(attempt_id id, const nlohmann::json& body, http_callbacks callbacks);
  [[nodiscard]] http_request Order(const std::string& request, std::string target,
                                   const nlohmann::json& body) const;

  void TakePrefill(attempt_id id, const http_response& response);
  void TakeChunk(attempt_id id, int status, std::string_view bytes);
  void TakeDecodeEnd(attempt_id id, const http_response& response);
  void FinishDecode(attempt_id id, const order_state& order);
  void Fail(attempt_id id, run_state ran, const std::string& detail);
  void FailLater(attempt_id id, const std::string& detail);
  void TakeAbort(attempt_id id, const http_response& response);

  void PollLoad();
  void TakeLoad(const http_response& response);
  void ListRequests();
  void TakeList(const http_response& response);
  void AbortOrphan(const std::string& request);
  void Reachable(bool reachable);
  void Report();
  void CheckFencing(int status) const;

  backend_options options_;
  attempt_map<order_state> orders_;
  attempt_map<std::unique_ptr<http_call>> aborts_;
  /// Requests that the engine may hold for this incarnation, and until when.
  std::unordered_map<std::string, instant> known_;
  std::unordered_map<std::string, std::unique_ptr<http_call>> orphans_;
  std::unique_ptr<http_call> load_call_;
  std::unique_ptr<http_call> list_call_;
  timer_subscription load_timer_;
  timer_subscription list_timer_;
  std::uint32_t pieces_held_ = 0;
  std::uint32_t failures_ = 0;
  bool reachable_ = false;
  bool clean_ = false;  ///< It runs nothing of an earlier incarnation.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_ENGINE_CLIENT_H_
