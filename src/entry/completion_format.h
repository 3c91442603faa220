#ifndef JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_
#define JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_

#include <chrono>
#include <string>
#include <string_view>

#include "jacinthspool/impl/entry_core.h"
#include "src/entry/completion_request.h"

namespace jacinthspool {

/// \brief Writes one completion in the published JSON shapes.
class completion_format {
 public:
  completion_format(completion_shape shape, request_id id,
                    std::chrono::system_clock::time_point created);

  /// \returns The events that begin a stream; none for plain text.
  [[nodiscard]] std::string Begin() const;
  /// \returns The event with the next text.
  [[nodiscard]] std::string Piece(std::string_view text) const;
  /// \returns The events that end a stream: finish reason, usage if asked for, `[DONE]`.
  [[nodiscard]] std::string End(const deliver_end& end) const;
  /// \returns The body of an answer that is not streamed.
  [[nodiscard]] std::string Whole(const std::string& text, const deliver_end& end) const;

  [[nodiscard]] const completion_shape& shape() const { return shape_; }

 private:
  [[nodiscard]] std::string Event(const std::string& choice) const;

  completion_shape shape_;
  std::string head_;  ///< All that each event begins with, up to the choices.
  std::string id_;
  std::chrono::system_clock::time_point created_;
};

/// \returns The event that tells a caller in a stream of an error.
[[nodiscard]] std::string ErrorEvent(const std::string& error_body);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_COMPLETION_FORMAT_H_
