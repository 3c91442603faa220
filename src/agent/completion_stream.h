#ifndef JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_
#define JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/agent/sse_reader.h"

namespace jacinthspool {

/// \brief Reads a decode engine's streamed answer: its pieces of text and its proper end.
///
/// An answer is whole only when a finish reason and `[DONE]` have come.
class completion_stream {
 public:
  /// \brief Takes the next bytes.
  /// \returns The pieces of text in them, in order.
  [[nodiscard]] std::vector<std::string> Read(std::string_view bytes);

  /// \returns true once the answer has ended properly.
  [[nodiscard]] bool whole() const { return done_ && !finish_reason_.empty() && error_.empty(); }
  /// \returns Why the answer cannot be whole; empty while it can.
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }
  [[nodiscard]] std::uint32_t prompt_tokens() const { return prompt_tokens_; }
  [[nodiscard]] std::uint32_t completion_tokens() const { return completion_tokens_; }

 private:
  void TakeEvent(const std::string& data, std::vector<std::string>& pieces);

  sse_reader events_;
  bool done_ = false;
  std::string finish_reason_;
  std::string error_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t completion_tokens_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_
