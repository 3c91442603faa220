#ifndef JACINTHSPOOL_AGENT_SSE_READER_H_
#define JACINTHSPOOL_AGENT_SSE_READER_H_

#include <string>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief Incremental parser of server-sent events; only their `data` fields are kept.
class sse_reader {
 public:
  /// \brief Parses the next bytes of the stream.
  /// \returns The data of each event that they complete, in order.
  [[nodiscard]] std::vector<std::string> Read(std::string_view bytes);

 private:
  void ParseLine(std::string_view line, std::vector<std::string>& events);

  std::string partial_line_;  ///< The last line, while its line end is missing.
  std::string data_;
  bool has_data_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_SSE_READER_H_
