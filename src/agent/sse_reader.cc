#include "src/agent/sse_reader.h"

#include <utility>

namespace jacinthspool {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

std::vector<std::string> sse_reader::Read(std::string_view bytes) {
  std::vector<std::string> events;
  if (overflowed_) {
    return events;
  }
  const std::size_t searched = partial_line_.size();
  partial_line_.append(bytes);
  std::size_t begin = 0;
  for (std::size_t end = partial_line_.find('\n', searched); end != std::string::npos;
       end = partial_line_.find('\n', begin)) {
    ParseLine(std::string_view{partial_line_}.substr(begin, end - begin), events);
    begin = end + 1;
  }
  partial_line_.erase(0, begin);
  overflowed_ = partial_line_.size() > kMaxEventBytes || data_.size() > kMaxEventBytes;
  return events;
}

void sse_reader::ParseLine(std::string_view line, std::vector<std::string>& events) {
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (std::exchange(has_data_, false)) {
      events.push_back(std::exchange(data_, {}));
    }
    return;
  }
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (std::exchange(has_data_, true)) {
    data_ += '\n';
  }
  data_ += line;
}

}  // namespace jacinthspool
