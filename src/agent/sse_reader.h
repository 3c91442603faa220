#ifndef JACINTHSPOOL_AGENT_SSE_READER_H_
#define JACINTHSPOOL_AGENT_SSE_READER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief Incremental parser of server-sent events; only their `data` fields are kept.
class sse_reader {
 public:
  /// Limit for one line and for the data of one event.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  /// \brief Parses the next bytes of the stream.
  /// \returns The data of each event that they complete, in order.
  [[nodiscard]] std::vector<std::string> Read(std::string_view bytes);

  /// \returns true once an event has exceeded the limit; the stream cannot be used any more.
  [[nodiscard]] bool overflowed() const { return overflowed_; }

 private:
  void ParseLine(std::string_view line, std::vector<std::string>& events);

  std::string partial_line_;  ///< The last line, while its line end is missing.
  std::string data_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_SSE_READER_H_
