#ifndef JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_
#define JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_

#include <chrono>
#include <string>
#include <string_view>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/completion_request.h"

namespace jacinthspool {

/// \brief Formats one completion in the JSON formats of the OpenAI-compatible protocol.
class completion_format {
 public:
  completion_format(completion_shape shape, request_id id,
                    std::chrono::system_clock::time_point created);

  /// \returns The first event of a stream; empty for a text completion.
  [[nodiscard]] std::string Begin() const;
  /// \returns The event for the next piece of text.
  [[nodiscard]] std::string Piece(std::string_view text) const;
  /// \returns The last events of a stream: finish reason, usage if requested, `[DONE]`.
  [[nodiscard]] std::string End(const deliver_end& end) const;
  /// \returns The body of an answer that is not streamed.
  [[nodiscard]] std::string Body(const std::string& text, const deliver_end& end) const;

  [[nodiscard]] const completion_shape& shape() const { return shape_; }

 private:
  [[nodiscard]] std::string Event(const std::string& choice) const;

  completion_shape shape_;
  std::string event_prefix_;  ///< Common start of all events, up to the choices.
  std::string id_;
  std::chrono::system_clock::time_point created_;
};

/// \returns The event that reports an error within a stream.
[[nodiscard]] std::string ErrorEvent(const std::string& error_body);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_
