#include "src/coordination/entry_request.h"

#include <algorithm>

namespace jacinthspool::entry_detail {

quote* search::Find(const std::string& backend, incarnation_id incarnation) {
  const auto found = std::find_if(quotes.begin(), quotes.end(), [&](const quote& candidate) {
    return candidate.backend == backend && candidate.incarnation == incarnation;
  });
  return found == quotes.end() ? nullptr : &*found;
}

bool search::open() const {
  return std::any_of(quotes.begin(), quotes.end(), [](const quote& candidate) {
    return candidate.state == quote_state::kPending;
  });
}

bool search::has_offer() const {
  return std::any_of(quotes.begin(), quotes.end(), [](const quote& candidate) {
    return candidate.state == quote_state::kOffered;
  });
}

entry_request::entry_request(caller_request request, instant now)
    : submitted(std::move(request)),
      deadline(now + submitted.deadline_in),
      accepted_at(now),
      answer({.attempt = 1}),
      prompt_tokens(submitted.prompt_tokens) {}

bool entry_request::HasQueried(work_kind kind, const std::string& backend) const {
  return std::any_of(queried.begin(), queried.end(),
                     [&](const auto& one) { return one.first == kind && one.second == backend; });
}

bool entry_request::HasFailedAt(const std::string& backend) const {
  return std::find(failed_backends.begin(), failed_backends.end(), backend) !=
         failed_backends.end();
}

void entry_request::NoteRefusal(const refusal& reported) {
  if (reported.reason == refusal_reason::kKeyMayHaveRun ||
      reported.reason == refusal_reason::kDuplicate) {
    key_may_have_run = true;
  }
  if (reported.reason == refusal_reason::kNone) {
    return;
  }
  if (!best_refusal.has_value() || reported.retry_after < best_refusal->retry_after) {
    best_refusal = reported;
  }
}

}  // namespace jacinthspool::entry_detail
