#ifndef JACINTHSPOOL_ROUTING_NEXT_STEP_H_
#define JACINTHSPOOL_ROUTING_NEXT_STEP_H_

#include <cstdint>
#include <string_view>

#include "jacinthspool/routing/configuration.h"

namespace jacinthspool {

/// \brief How an attempt at a backend server ended without a complete answer.
enum class attempt_failure {
  kUnsent,       ///< No byte was sent.
  kNotRun,       ///< The backend server stated that it has not run the request.
  kFailedReply,  ///< The backend server ran the request and answered with an error.
  kLost,         ///< Sent, but not answered: it may have run.
  kUnsound,      ///< The reply is not a genuine answer to this request.
  kBrokeOff,     ///< The answer was truncated.
};

[[nodiscard]] std::string_view ToString(attempt_failure failure);

/// \brief State of a request after a failed attempt, which is included.
struct attempt_record {
  attempt_failure last = attempt_failure::kUnsent;
  std::uint32_t runs = 0;     ///< Attempts that ran or may have run.
  bool answer_begun = false;  ///< The head of an answer was sent to the caller.
  bool may_retry = false;     ///< Time, retry budget and another backend server are available.
};

/// \brief The attempts of a request that were sent, or may have been.
struct sent_attempts {
  std::uint32_t runs = 0;  ///< Ended ones that ran or may have run.
  bool under_way = false;  ///< One has not ended.
};

/// \brief The condition for every answer with a status that promises "not run, and never will be":
/// each attempt has ended, and each ended either without a byte sent on a connection that is closed
/// or with a backend server's statement that it has not run the request.
[[nodiscard]] constexpr bool ProvedNotRun(const sent_attempts& sent) {
  return sent.runs == 0 && !sent.under_way;
}

/// \brief What follows a failed attempt.
enum class next_step {
  kSendAgain,  ///< Retry at another backend server; a begun stream is resumed.
  kRefuse,     ///< Reject the request as not run.
  kPassReply,  ///< Forward the backend server's own error.
  kFail,       ///< Report the outcome as unknown.
  kCut,        ///< Truncate the begun answer so that the caller can detect it.
};

[[nodiscard]] std::string_view ToString(next_step step);

/// \brief Decides what follows a failed attempt.
///
/// Only a request that was never sent, or that has demonstrably not run, is retried or
/// rejected as "not run", unless the route's requests may run again.
[[nodiscard]] next_step DecideNextStep(const forward_route& route, const attempt_record& record);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_NEXT_STEP_H_
