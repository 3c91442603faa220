#ifndef JACINTHSPOOL_GATEWAY_REPLY_HEAD_H_
#define JACINTHSPOOL_GATEWAY_REPLY_HEAD_H_

#include "src/transport/http1_reader.h"
#include "src/transport/http_server.h"
#include "src/transport/http_status.h"

/// \file
/// \brief What the head of a backend server's reply states, and what of it is forwarded.

namespace jacinthspool {

/// \returns true for a status by which a server states that the request has not run.
[[nodiscard]] inline bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout || status == http_status::kMisdirectedRequest ||
         status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
}

[[nodiscard]] inline bool IsSuccess(int status) {
  return status >= http_status::kOk && status < http_status::kMultipleChoices;
}

/// \returns true for a status that is forwarded to the caller, rather than counted as a failure.
[[nodiscard]] inline bool IsDelivered(int status) {
  return IsSuccess(status) ||
         (status >= http_status::kBadRequest && status < http_status::kInternalServerError &&
          !PromisesNotRun(status));
}

/// \returns The headers that are forwarded to the caller.
[[nodiscard]] inline http_headers EndToEndHeaders(const http1_head& head) {
  http_headers kept;
  for (const auto& header : head.headers) {
    if (!IsHopByHop(header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_REPLY_HEAD_H_
