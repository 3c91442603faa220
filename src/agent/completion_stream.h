#ifndef JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_
#define JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/agent/sse_reader.h"

namespace jacinthspool {

/// \brief Incremental parser of a decode engine's streamed answer.
///
/// An answer is complete only if a finish reason and `[DONE]` have been received, and no error.
class completion_stream {
 public:
  /// \brief Parses the next bytes of the stream.
  /// \returns The pieces of text that they complete, in order.
  [[nodiscard]] std::vector<std::string> Read(std::string_view bytes);

  /// \returns true if the answer has been received completely.
  [[nodiscard]] bool complete() const { return done_ && !finish_reason_.empty() && error_.empty(); }
  /// \returns The error of the stream, or an empty string if there is none.
  [[nodiscard]] const std::string& error() const { return error_; }
  [[nodiscard]] const std::string& finish_reason() const { return finish_reason_; }
  [[nodiscard]] std::uint32_t prompt_tokens() const { return prompt_tokens_; }
  [[nodiscard]] std::uint32_t completion_tokens() const { return completion_tokens_; }

 private:
  void ParseEvent(const std::string& data, std::vector<std::string>& pieces);

  sse_reader events_;
  bool done_ = false;
  std::string finish_reason_;
  std::string error_;
  std::uint32_t prompt_tokens_ = 0;
  std::uint32_t completion_tokens_ = 0;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_COMPLETION_STREAM_H_
