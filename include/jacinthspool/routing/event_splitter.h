#ifndef JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_
#define JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief One server-sent event with its bytes as they came.
struct stream_event {
  std::string bytes;                ///< Up to and with the blank line.
  std::optional<std::uint64_t> id;  ///< What its `id` line says.
};

/// \brief Cuts a stream of server-sent events into whole events.
///
/// Only whole events are passed on, so that a stream that breaks off can be
/// continued after the last of them.
class event_splitter {
 public:
  /// \returns The events that `bytes` complete, in order.
  [[nodiscard]] std::vector<stream_event> Split(std::string_view bytes);

  /// \returns true when an event has begun and not ended.
  [[nodiscard]] bool inside_event() const { return !rest_.empty(); }

  /// \returns Bytes of the event that has not ended.
  [[nodiscard]] std::size_t pending_bytes() const { return rest_.size(); }

 private:
  std::string rest_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_
