#ifndef JACINTHSPOOL_GATEWAY_SERVER_END_H_
#define JACINTHSPOOL_GATEWAY_SERVER_END_H_

#include <optional>

#include "jacinthspool/routing/crash_report.h"
#include "src/transport/http1_client.h"

namespace jacinthspool {

/// \brief Decides whether the end of a call is a sign that its server has ended.
/// \param head Of the reply; nothing when none arrived.
[[nodiscard]] inline std::optional<end_sign> SignOfServerEnd(
    call_outcome end, const std::optional<http1_head>& head) {
  const bool unframed = head && !head->chunked && !head->content_length;
  if (end == call_outcome::kRefused) {
    return end_sign::kRefused;
  }
  if (end == call_outcome::kWhole || (end == call_outcome::kCut && unframed)) {
    return end_sign::kClosed;
  }
  if (end == call_outcome::kLost || end == call_outcome::kCut) {
    return end_sign::kCut;
  }
  return std::nullopt;
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SERVER_END_H_
