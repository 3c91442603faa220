#ifndef JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_
#define JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthspool {

/// \brief One server-sent event with its bytes as received.
struct stream_event {
  std::string bytes;                ///< Including the terminating blank line.
  std::optional<std::uint64_t> id;  ///< Of its `id` line, if numeric.
};

/// \brief Splits a stream of server-sent events into complete events.
///
/// Only complete events are forwarded, so that a truncated stream can be resumed
/// after the last of them.
class event_splitter {
 public:
  /// \returns The events that are completed by `bytes`, in order.
  [[nodiscard]] std::vector<stream_event> Split(std::string_view bytes);

  /// \returns true when the stream is within an incomplete event.
  [[nodiscard]] bool inside_event() const { return !rest_.empty(); }

  /// \returns The number of bytes of the incomplete event.
  [[nodiscard]] std::size_t pending_bytes() const { return rest_.size(); }

 private:
  std::string rest_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_EVENT_SPLITTER_H_
