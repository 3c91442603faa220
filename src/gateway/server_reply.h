#ifndef JACINTHSPOOL_GATEWAY_SERVER_REPLY_H_
#define JACINTHSPOOL_GATEWAY_SERVER_REPLY_H_

#include "src/transport/http1_client.h"

namespace jacinthspool {

/// \returns true for a status by which a server states that the request has not run.
[[nodiscard]] bool PromisesNotRun(int status);

[[nodiscard]] bool IsSuccess(int status);

/// \returns true for a status that is forwarded to the caller, rather than counted as a failure.
[[nodiscard]] bool IsDelivered(int status);

/// \returns The headers of a reply that are for the caller.
[[nodiscard]] http_headers EndToEndHeaders(const http1_head& head);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SERVER_REPLY_H_
