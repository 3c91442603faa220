#include "jacinthspool/routing/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jacinthspool {
namespace {

/// \param from No end of an event is before it.
/// \returns The end of the event at the start of `text`, or npos.
std::size_t EndOfEvent(std::string_view text, std::size_t from = 0) {
  const std::size_t plain = text.find("\n\n", from);
  // Not beyond the first, so that the time is linear in the length of the event; the two may share
  // a line feed.
  const std::size_t limit = plain == std::string_view::npos ? plain : plain + 1;
  const std::size_t carriage = text.substr(0, limit).find("\r\n\r\n", from);
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < carriage ? plain + 2 : carriage + 4;
}

std::optional<std::uint64_t> IdOf(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      std::uint64_t id = 0;
      const auto result = std::from_chars(line.data(), line.data() + line.size(), id);
      return result.ec == std::errc() ? std::optional(id) : std::nullopt;
    }
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
  }
  return std::nullopt;
}

}  // namespace

std::vector<stream_event> event_splitter::Split(std::string_view bytes) {
  constexpr std::size_t kLongestEnd = 4;
  const std::size_t searched = rest_.size() - std::min(rest_.size(), kLongestEnd - 1);
  rest_.append(bytes);
  std::vector<stream_event> events;
  std::string_view text = rest_;
  for (std::size_t end = EndOfEvent(text, searched); end != std::string_view::npos;
       end = EndOfEvent(text)) {
    const std::string_view event = text.substr(0, end);
    events.push_back({.bytes = std::string(event), .id = IdOf(event)});
    text.remove_prefix(end);
  }
  rest_.erase(0, rest_.size() - text.size());
  return events;
}

}  // namespace jacinthspool
