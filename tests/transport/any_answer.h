#ifndef JACINTHSPOOL_TESTS_TRANSPORT_ANY_ANSWER_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_ANY_ANSWER_H_

#include <functional>
#include <string_view>
#include <utility>
#include <variant>

#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief An answer of a test's server in whatever state it is; a step that the state does not
/// allow fails the test by an exception, except that an ended answer ignores further steps.
class any_answer {
 public:
  explicit any_answer(http1_responder unanswered) : state_(std::move(unanswered)) {}

  void Begin(int status, const http_headers& headers) {
    if (!ended()) {
      state_ = std::move(std::get<http1_responder>(state_)).Begin(status, headers);
    }
  }
  void Send(std::string_view bytes) {
    if (!ended()) {
      std::get<http1_stream>(state_).Send(bytes);
    }
  }
  void End() {
    if (!ended()) {
      std::move(std::get<http1_stream>(state_)).End();
      state_ = std::monostate();
    }
  }
  void Reply(int status, const http_headers& headers, std::string_view body) {
    if (!ended()) {
      std::move(std::get<http1_responder>(state_)).Reply(status, headers, body);
      state_ = std::monostate();
    }
  }
  void Abort() { state_ = std::monostate(); }
  void OnCallerDisconnected(std::function<void()> action) {
    if (auto* unanswered = std::get_if<http1_responder>(&state_)) {
      unanswered->OnCallerDisconnected(std::move(action));
    }
  }

 private:
  [[nodiscard]] bool ended() const { return std::holds_alternative<std::monostate>(state_); }

  std::variant<http1_responder, http1_stream, std::monostate> state_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_ANY_ANSWER_H_
