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

/// \brief Client of a model engine; see docs/design/engine-protocol.md.
///
/// The engine is reported as up once it answers and runs only requests that
/// this incarnation has ordered. All other requests are aborted: those of an
/// earlier incarnation, and those whose cancel reached the engine before the
/// order did.
class engine_client {
 public:
  explicit engine_client(backend_options options);
  engine_client(const engine_client&) = delete;
  engine_client& operator=(const engine_client&) = delete;

  void Prefill(const order_prefill& order);
  void Decode(const order_decode& order);
  /// \brief Fails the order, since a model engine does not serve calls.
  void Call(const order_call& order);
  /// \brief Closes the order's stream and aborts the request at the engine.
  ///
  /// `engine_released` is reported once the engine confirms that it holds no memory for the
  /// request, or that another agent controls it.
  void Release(const order_release& order);

  /// \returns true while the answer to any order is outstanding.
  [[nodiscard]] bool busy() const { return !orders_.empty(); }
  void set_timeout(microseconds timeout) { options_.timeout = timeout; }

 private:
  struct order_state {
    std::unique_ptr<http_call> call;
    completion_stream answer;
    bool streamed = false;      ///< Part of the answer has been received.
    bool end_reported = false;  ///< The end has been reported to the core.
  };

  void Send(attempt_id id, std::uint8_t priority, const nlohmann::json& body,
            http_callbacks callbacks);
  [[nodiscard]] http_request Order(const std::string& request, std::string target,
                                   const nlohmann::json& body, std::uint8_t priority = 0) const;

  void OnPrefillReply(attempt_id id, const http_response& response);
  void OnDecodeChunk(attempt_id id, int status, std::string_view bytes);
  void OnDecodeReply(attempt_id id, const http_response& response);
  void ReportDecodeFinished(attempt_id id, const order_state& order);
  void Fail(attempt_id id, run_state ran, std::string detail);
  void PostFailure(attempt_id id, const std::string& detail);
  void OnAbortReply(attempt_id id, const http_response& response);

  void PollLoad();
  void OnLoadReply(const http_response& response);
  void ListRequests();
  void OnListReply(const http_response& response);
  void AbortOrphan(const std::string& request);
  void SetReachable(bool reachable);
  void ReportBackend();
  /// \brief Detects from an order's outcome that the engine is down, before the next poll does.
  void CheckReachability(const http_response& response);
  void CheckFencing(int status) const;

  backend_options options_;
  attempt_map<order_state> orders_;
  attempt_map<std::unique_ptr<http_call>> aborts_;
  /// Requests of this incarnation that the engine may list, and until when.
  std::unordered_map<std::string, instant> listable_until_;
  std::unordered_map<std::string, std::unique_ptr<http_call>> orphan_aborts_;
  std::unique_ptr<http_call> load_call_;
  std::unique_ptr<http_call> list_call_;
  timer_subscription load_timer_;
  timer_subscription list_timer_;
  std::uint32_t pieces_held_ = 0;
  std::uint32_t failures_ = 0;
  bool reachable_ = false;
  bool clean_ = false;  ///< The engine runs only requests of this incarnation.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_ENGINE_CLIENT_H_
