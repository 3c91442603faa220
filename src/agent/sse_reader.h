#ifndef JACINTHSPOOL_AGENT_SSE_READER_H_
#define JACINTHSPOOL_AGENT_SSE_READER_H_

#include <string>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief Splits a stream of server-sent events into the texts of their data.
class sse_reader {
 public:
  /// \brief Takes the next bytes of the stream.
  /// \returns The data of each event that they complete, in order.
  [[nodiscard]] std::vector<std::string> Read(std::string_view bytes);

 private:
  void TakeLine(std::string_view line, std::vector<std::string>& events);

  std::string rest_;  ///< A line whose end has not come.
  std::string data_;
  bool has_data_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_AGENT_SSE_READER_H_
