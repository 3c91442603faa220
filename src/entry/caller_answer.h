#ifndef JACINTHSPOOL_ENTRY_CALLER_ANSWER_H_
#define JACINTHSPOOL_ENTRY_CALLER_ANSWER_H_

#include <memory>
#include <string>
#include <variant>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/api_error.h"
#include "src/entry/completion_format.h"
#include "src/transport/http_server.h"

namespace jacinthspool {

/// \brief A completion that is sent as one body.
struct whole_answer {
  completion_format format;
  std::string text = {};
};

/// \brief A completion that is sent as server-sent events.
struct streamed_answer {
  completion_format format;
  bool begun = false;
};

/// \brief The answer of a plain service, passed on as it is.
struct service_answer {};

using answer_form = std::variant<whole_answer, streamed_answer, service_answer>;

/// \brief What a caller is waiting for, and how it is written to it.
class caller_answer {
 public:
  caller_answer(std::shared_ptr<http_exchange> exchange, answer_form form, request_id id);

  void Piece(const std::string& text);
  void End(const deliver_end& end);
  void Answer(const deliver_call& answer);

  /// \brief Tells the caller of an error.
  /// \returns true when a stream has begun: it must then be cut once the
  /// caller has taken the error event.
  [[nodiscard]] bool Fail(const api_error& error);

  [[nodiscard]] const std::shared_ptr<http_exchange>& exchange() const { return exchange_; }

 private:
  void Begin(streamed_answer& form);
  [[nodiscard]] http_headers Headers(const char* content_type) const;

  std::shared_ptr<http_exchange> exchange_;
  answer_form form_;
  std::string id_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_CALLER_ANSWER_H_
