#include "src/coordination/entry_request.h"

#include <algorithm>

namespace jacinthspool::entry_detail {

quote* search::Find(const std::string& backend, incarnation_id incarnation) {
  const auto found = std::find_if(quotes.begin(), quotes.end(), [&](const quote& asked) {
    return asked.backend == backend && asked.incarnation == incarnation;
  });
  return found == quotes.end() ? nullptr : &*found;
}

bool search::open() const {
  return std::any_of(quotes.begin(), quotes.end(),
                     [](const quote& asked) { return asked.state == quote_state::kAsked; });
}

bool search::has_offer() const {
  return std::any_of(quotes.begin(), quotes.end(),
                     [](const quote& asked) { return asked.state == quote_state::kOffered; });
}

entry_request::entry_request(caller_request request, instant now)
    : asked(std::move(request)),
      late_at(now + asked.deadline_in),
      accepted_at(now),
      answer({.attempt = 1}),
      prompt_tokens(asked.prompt_tokens) {}

bool entry_request::HasTried(work_kind kind, const std::string& backend) const {
  return std::any_of(tried.begin(), tried.end(),
                     [&](const auto& one) { return one.first == kind && one.second == backend; });
}

bool entry_request::Avoids(const std::string& backend) const {
  return std::find(avoided.begin(), avoided.end(), backend) != avoided.end();
}

void entry_request::NoteRefusal(const refusal& told) {
  if (told.reason == refusal_reason::kKeyMayHaveRun || told.reason == refusal_reason::kDuplicate) {
    key_may_have_run = true;
  }
  if (told.reason == refusal_reason::kNone) {
    return;
  }
  if (!best_refusal.has_value() || told.retry_after < best_refusal->retry_after) {
    best_refusal = told;
  }
}

}  // namespace jacinthspool::entry_detail
