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
struct buffered_answer {
  completion_format format;
  std::string text = {};
};

/// \brief A completion that is sent as server-sent events.
struct streamed_answer {
  completion_format format;
  bool started = false;
};

/// \brief The answer of a plain service, forwarded unchanged except for its connection headers.
struct service_answer {};

using answer_form = std::variant<buffered_answer, streamed_answer, service_answer>;

/// \brief Writes the answer to one caller, in the form that the caller requested.
class caller_answer {
 public:
  caller_answer(std::shared_ptr<http_exchange> exchange, answer_form form, request_id id);

  /// \brief Appends text to a completion; the stream starts with the first piece.
  void Piece(const std::string& text);
  /// \brief Ends a completion.
  void End(const deliver_end& end);
  /// \brief Sends the answer of a plain service.
  void Answer(const deliver_call& answer);

  /// \brief Sends an error: as the reply, or as an event if the stream has started.
  /// \returns true if the stream has started. The owner must then abort it once the error event has
  /// been sent.
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
