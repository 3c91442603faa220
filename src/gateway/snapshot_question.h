#ifndef JACINTHSPOOL_GATEWAY_SNAPSHOT_QUESTION_H_
#define JACINTHSPOOL_GATEWAY_SNAPSHOT_QUESTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/gateway/snapshot.h"
#include "src/transport/http1_client.h"

namespace jacinthspool {

/// Names the gateway that asks; absent when another process does.
inline constexpr std::string_view kGatewayNameHeader = "X-Jacinthspool-Gateway";

/// \brief One question to one gateway for what it knows.
class snapshot_question : public http1_call_listener {
 public:
  struct options {
    timer_service& timers;
    http1_client& client;
    std::string address;  ///< ip:port
    std::string gateway;  ///< Name of the gateway that asks; empty: another process.
    snapshot_scope scope;
    /// Called once, with nothing when no snapshot came. It may not destroy the question.
    std::function<void(std::optional<gateway_snapshot>)> on_answer;
  };

  explicit snapshot_question(options settings);

  head_verdict OnHead(const http1_head& head) override;
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnEnd(call_end end, const std::string& reason) override;

  /// \returns true when the answer has been told.
  [[nodiscard]] bool answered() const { return answered_; }

 private:
  options settings_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
  int status_ = 0;
  std::string body_;
  bool answered_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SNAPSHOT_QUESTION_H_
