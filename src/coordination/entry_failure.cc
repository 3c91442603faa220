#include <algorithm>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Failure handling: retry with the same KV cache, retry as a new attempt, or give up.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;
using entry_detail::refusal;

namespace {

/// Upper bound of the delay before the next attempt of an accepted request.
constexpr microseconds kMaxRetryDelay = seconds(1);

/// Longest time that a patient request waits in the entry queue.
constexpr microseconds kMaxQueueTime = seconds(30);

/// \returns true when an immediate retry at another agent would only add load.
bool IsOverload(refusal_reason reason) {
  return reason == refusal_reason::kNoRoom || reason == refusal_reason::kQueueFull ||
         reason == refusal_reason::kDeadlineMissed || reason == refusal_reason::kTeamShare ||
         reason == refusal_reason::kTooLarge || reason == refusal_reason::kNotAllowed;
}

}  // namespace

/// \param ran What is known about the execution of the part.
void entry_core::state::HandlePartFailure(request& r, work_kind kind, run_state ran,
                                          const std::string& detail, refusal why) {
  std::optional<part>& failed = kind == work_kind::kPrefill ? r.prefill : r.reservation;
  const bool reserved_only = !failed->ordered();
  const bool streamed = kind == work_kind::kDecode && r.answer.next_offset() > r.first_offset;
  if (failed->ordered() && (ran != run_state::kNotRun || streamed)) {
    r.may_have_run = true;
  }
  r.NoteRefusal(why);
  if (!r.HasFailedAt(failed->backend)) {
    r.failed_backends.push_back(failed->backend);
  }
  DropPart(r, failed);
  if (reserved_only) {
    Advance(r);
    return;
  }
  if (kind == work_kind::kDecode && !streamed && RetryWithSameKv(r, detail)) {
    return;
  }
  FailAttempt(r, detail, why, IsOverload(why.reason));
}

/// Nothing was streamed and the KV cache is still valid, so only the decode is retried.
bool entry_core::state::RetryWithSameKv(request& r, const std::string& detail) {
  const pool_view* pool = FindPool(r.submitted.pool);
  if (!r.submitted.repeatable || r.retried_with_same_kv || !r.kv.has_value() || pool == nullptr ||
      r.counted_attempts >= policy.max_attempts) {
    return false;
  }
  const microseconds transfer = entry_detail::TransferTime(*pool, r.submitted.prompt_tokens);
  if (TimeUntil(r.kv_expires_at) <= transfer) {
    return false;
  }
  r.retried_with_same_kv = true;
  EndSearch(r);
  ++r.attempt;
  ++r.counted_attempts;
  r.queried.clear();
  r.deadline = now + r.submitted.deadline_in;
  Log(r, "retry", "", detail + "; retrying the decode with the same KV cache");
  Advance(r);
  return true;
}

void entry_core::state::FailAttempt(request& r, const std::string& detail, refusal why,
                                    bool declined) {
  DropParts(r);
  // A request that was rejected before any part of it ran is not retried here:
  // the retry is left to the caller.
  const bool begun = r.may_have_run || r.counted_attempts > 1;
  if (declined && !begun && QueueInEntry(r)) {
    return;
  }
  if ((declined && !begun) || !r.submitted.repeatable || !TryConsumeRetry(r)) {
    GiveUp(r, detail, why);
    return;
  }
  BeginAttempt(r, detail, declined ? why.retry_after : microseconds::zero());
}

/// Keeps the request in the entry queue, if the policy has one. The next search uses a new
/// attempt number, since agents have sealed the rejected one.
bool entry_core::state::QueueInEntry(request& r) {
  const auto* queue = std::get_if<entry_queue_policy>(&policy.routing);
  const instant until = r.submitted.patient ? r.accepted_at + kMaxQueueTime : r.deadline;
  if (queue == nullptr || now + queue->retry_interval >= until) {
    return false;
  }
  ++r.attempt;
  r.queried.clear();
  r.retry_at = now + queue->retry_interval;
  return true;
}

bool entry_core::state::TryConsumeRetry(const request& r) {
  return r.counted_attempts < policy.max_attempts && budget.TryConsume(now, r.submitted.team);
}

/// \param delay Retry-After of the agents; from the third attempt on, at least the backoff delay.
void entry_core::state::BeginAttempt(request& r, const std::string& detail, microseconds delay) {
  ++r.attempt;
  ++r.counted_attempts;
  r.queried.clear();
  r.kv.reset();
  r.retried_with_same_kv = false;
  r.best_refusal.reset();
  r.deadline = now + r.submitted.deadline_in;
  Log(r, "retry", "", detail);
  microseconds wait = std::min(delay, kMaxRetryDelay);
  if (r.counted_attempts > 2) {
    wait = std::max(wait, delays.Delay(r.counted_attempts - 2, random()));
  }
  if (wait > microseconds::zero()) {
    r.retry_at = now + wait;
  }
  Advance(r);
}

/// Delivers the final outcome to the caller, as far as it is known.
void entry_core::state::GiveUp(request& r, const std::string& detail, refusal why) {
  DropParts(r);
  const refusal reported = r.best_refusal.value_or(why);
  Log(r, "give_up", "", detail);
  const request_id id = r.submitted.id;
  if (r.key_may_have_run) {
    Deliver(deliver_unknown{.id = id, .detail = "the idempotency key may have run"});
  } else if (!r.may_have_run) {
    Deliver(
        deliver_not_run{.id = id, .reason = reported.reason, .retry_after = reported.retry_after});
  } else if (r.submitted.repeatable) {
    Deliver(deliver_failed{.id = id, .detail = detail, .retry_after = reported.retry_after});
  } else {
    Deliver(deliver_unknown{.id = id, .detail = detail});
  }
  Erase(r);
}

/// Releases or cancels all parts and open offers of the request.
void entry_core::state::DropParts(request& r) {
  if (r.active_search.has_value()) {
    for (const quote& candidate : r.active_search->quotes) {
      if (candidate.state == quote_state::kOffered) {
        grant_release release;
        release.request = r.submitted.id;
        release.attempt = r.attempt;
        release.grant = candidate.grant;
        Send(candidate.backend, release);
      }
    }
    EndSearch(r);
  }
  for (std::optional<part>* held : {&r.reservation, &r.prefill}) {
    if (!held->has_value()) {
      continue;
    }
    if ((*held)->ordered()) {
      r.may_have_run = true;
    }
    DropPart(r, *held);
  }
}

/// Cancels the part if it was ordered; otherwise releases its grant.
void entry_core::state::DropPart(request& r, std::optional<part>& p) {
  const part dropped = std::move(*p);
  p.reset();
  RemoveUser(r, dropped.backend);
  if (dropped.ordered()) {
    CancelAttempt(dropped.backend, dropped.incarnation,
                  {.request = r.submitted.id, .attempt = dropped.attempt});
    return;
  }
  if (IsUp(dropped.backend, dropped.incarnation)) {
    grant_release release;
    release.request = r.submitted.id;
    release.attempt = dropped.attempt;
    release.grant = dropped.grant;
    Send(dropped.backend, release);
  }
}

void entry_core::state::Erase(request& r) {
  EndSearch(r);
  for (std::optional<part>* held : {&r.reservation, &r.prefill}) {
    if (held->has_value()) {
      const std::string backend = (*held)->backend;
      held->reset();
      RemoveUser(r, backend);
    }
  }
  if (r.timer_at.has_value()) {
    timers.erase({*r.timer_at, r.submitted.id});
  }
  requests.erase(r.submitted.id);
}

}  // namespace jacinthspool
