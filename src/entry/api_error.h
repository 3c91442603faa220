#ifndef JACINTHSPOOL_ENTRY_API_ERROR_H_
#define JACINTHSPOOL_ENTRY_API_ERROR_H_

#include <optional>
#include <string>

#include "jacinthspool/impl/entry_core.h"
#include "src/transport/http_server.h"

namespace jacinthspool {

/// \brief An error reply to a caller, in the format of the OpenAI-compatible protocol.
struct api_error {
  int status = 400;
  std::string message;
  std::string type = "invalid_request_error";
  std::string code;
  std::optional<microseconds> retry_after;  ///< Sent as `Retry-After` and `Retry-After-Ms`.
};

/// \returns The JSON body: `{"error":{"message","type","param","code"}}`.
[[nodiscard]] std::string ErrorBody(const api_error& error);

/// \brief Sends the error as the complete reply.
void ReplyError(http_exchange& exchange, const api_error& error);

/// \returns The error for a request that did not run.
[[nodiscard]] api_error NotRunError(const deliver_not_run& outcome);
/// \returns The error for a request that may have run.
[[nodiscard]] api_error UnknownError(const deliver_unknown& outcome);
/// \returns The error for a repeatable request that failed and is not retried.
[[nodiscard]] api_error FailedError(const deliver_failed& outcome);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ENTRY_API_ERROR_H_
