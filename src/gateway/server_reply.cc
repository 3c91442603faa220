#include "src/gateway/server_reply.h"

#include "src/transport/http_status.h"

namespace jacinthspool {

bool PromisesNotRun(int status) {
  return status == http_status::kRequestTimeout || status == http_status::kMisdirectedRequest ||
         status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
}

bool IsSuccess(int status) {
  return status >= http_status::kOk && status < http_status::kMultipleChoices;
}

bool IsDelivered(int status) {
  return IsSuccess(status) ||
         (status >= http_status::kBadRequest && status < http_status::kInternalServerError &&
          !PromisesNotRun(status));
}

http_headers EndToEndHeaders(const http1_head& head) {
  http_headers kept;
  for (const auto& header : head.headers) {
    if (!IsHopByHop(header.first)) {
      kept.push_back(header);
    }
  }
  return kept;
}

}  // namespace jacinthspool
