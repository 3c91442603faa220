#include "src/entry/api_error.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace jacinthspool {
namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

int StatusOf(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kTooLarge:
      return kBadRequest;
    case refusal_reason::kNotAllowed:
      return kForbidden;
    case refusal_reason::kLeaving:
    case refusal_reason::kBackendDown:
    case refusal_reason::kLeaseLost:
    case refusal_reason::kSealed:
      return kUnavailable;
    default:
      return kTooManyRequests;
  }
}

std::string ReasonText(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNoRoom:
      return "no engine memory in time";
    case refusal_reason::kQueueFull:
      return "the queue is full";
    case refusal_reason::kDeadlineMissed:
      return "the work would start too late";
    case refusal_reason::kTeamShare:
      return "the team has used up its share";
    case refusal_reason::kLeaving:
      return "the backend servers are leaving";
    case refusal_reason::kTooLarge:
      return "the request is larger than the memory of any backend server";
    case refusal_reason::kNotAllowed:
      return "the team may not use this pool";
    default:
      return "no backend server can take the request now";
  }
}

/// \returns The time in whole seconds for `Retry-After`, rounded up, at least 1.
std::string WholeSeconds(microseconds time) {
  return std::to_string(std::max<seconds::rep>(1, std::chrono::ceil<seconds>(time).count()));
}

http_headers HeadersOf(const api_error& error) {
  http_headers headers = {{"Content-Type", "application/json"}};
  if (error.retry_after.has_value()) {
    const auto exact = std::chrono::ceil<milliseconds>(*error.retry_after);
    headers.emplace_back("Retry-After", WholeSeconds(*error.retry_after));
    headers.emplace_back("Retry-After-Ms", std::to_string(exact.count()));
  }
  return headers;
}

}  // namespace

std::string ErrorBody(const api_error& error) {
  nlohmann::json fields = {
      {"message", error.message}, {"type", error.type}, {"param", nullptr}, {"code", nullptr}};
  if (!error.code.empty()) {
    fields["code"] = error.code;
  }
  return nlohmann::json{{"error", std::move(fields)}}.dump(
      -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ReplyError(http_exchange& exchange, const api_error& error) {
  exchange.Reply(error.status, HeadersOf(error), ErrorBody(error));
}

api_error NotRunError(const deliver_not_run& outcome) {
  const char* code = wire::EnumNamerefusal_reason(outcome.reason);
  return {.status = StatusOf(outcome.reason),
          .message = "not run: " + ReasonText(outcome.reason),
          .type = "not_run",
          .code = code,
          .retry_after = outcome.retry_after};
}

api_error UnknownError(const deliver_unknown& outcome) {
  return {.status = kTimeout,
          .message = "the request may have run: " + outcome.detail,
          .type = "outcome_unknown",
          .code = "outcome_unknown",
          .retry_after = std::nullopt};
}

api_error FailedError(const deliver_failed& outcome) {
  return {.status = kUnavailable,
          .message = "the answer is incomplete: " + outcome.detail,
          .type = "incomplete",
          .code = "incomplete",
          .retry_after = outcome.retry_after};
}

}  // namespace jacinthspool
