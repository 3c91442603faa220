#ifndef JACINTHSPOOL_GATEWAY_STREAM_MESSAGES_H_
#define JACINTHSPOOL_GATEWAY_STREAM_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "jacinthspool/impl/time.h"
#include "jacinthspool/routing/origin_verdict.h"
#include "jacinthspool/routing/stream_origins.h"

namespace jacinthspool {

/// \brief A stream has begun.
struct stream_told {
  std::uint64_t stream = 0;
  stream_origin origin = {};
  milliseconds life{};  ///< How long its caller may take it up again.
};

/// \brief Asks where a stream began.
struct stream_asked {
  std::uint64_t question = 0;
  std::uint64_t stream = 0;
  std::string service = {};  ///< To which its route leads.
  milliseconds within{};     ///< The stream is not older.
};

struct stream_answered {
  std::uint64_t question = 0;
  std::uint64_t stream = 0;
  origin_knowledge knowledge = {};
};

using stream_message = std::variant<stream_told, stream_asked, stream_answered>;

[[nodiscard]] std::string EncodeStreamMessage(const stream_message& message);
/// \returns Nothing when the bytes are no message.
[[nodiscard]] std::optional<stream_message> DecodeStreamMessage(std::string_view bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_STREAM_MESSAGES_H_
