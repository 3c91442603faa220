#include <algorithm>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief What follows a failure: the same KV cache again, a new attempt, or the end.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;
using entry_detail::refusal;

namespace {

/// Longest time that an accepted request waits before its next attempt.
constexpr microseconds kLongestDelay = seconds(1);

/// Longest time that a patient request waits in the entry's own queue.
constexpr microseconds kLongestPatience = seconds(30);

/// \returns true when trying elsewhere at once would only add to the load.
bool IsOverload(refusal_reason reason) {
  return reason == refusal_reason::kNoRoom || reason == refusal_reason::kQueueFull ||
         reason == refusal_reason::kDeadlineMissed || reason == refusal_reason::kTeamShare ||
         reason == refusal_reason::kTooLarge || reason == refusal_reason::kNotAllowed;
}

}  // namespace

/// \param ran What is proven about the part.
void entry_core::state::PartFailed(request& r, work_kind kind, run_state ran,
                                   const std::string& detail, refusal why) {
  std::optional<part>& failed = kind == work_kind::kPrefill ? r.prefill : r.seat;
  const bool seat_only = !failed->ordered();
  const bool streamed = kind == work_kind::kDecode && r.answer.next_offset() > r.first_offset;
  if (failed->ordered() && (ran != run_state::kNotRun || streamed)) {
    r.may_have_run = true;
  }
  r.NoteRefusal(why);
  if (!r.Avoids(failed->backend)) {
    r.avoided.push_back(failed->backend);
  }
  DropPart(r, failed);
  if (seat_only) {
    Advance(r);
    return;
  }
  if (kind == work_kind::kDecode && !streamed && RetryWithSameKv(r, detail)) {
    return;
  }
  FailAttempt(r, detail, why, IsOverload(why.reason));
}

/// The KV cache is still there and nothing was streamed: another seat is enough.
bool entry_core::state::RetryWithSameKv(request& r, const std::string& detail) {
  const pool_view* pool = FindPool(r.asked.pool);
  if (!r.asked.repeatable || r.kv_retried || !r.kv.has_value() || pool == nullptr ||
      r.tries >= policy.max_attempts) {
    return false;
  }
  const microseconds transfer = entry_detail::TransferTime(*pool, r.asked.prompt_tokens);
  if (Until(r.kv_gone_at) <= transfer) {
    return false;
  }
  r.kv_retried = true;
  EndSearch(r);
  ++r.attempt;
  ++r.tries;
  r.tried.clear();
  r.late_at = now + r.asked.deadline_in;
  Log(r, "retry", "", detail + "; the same KV cache again");
  Advance(r);
  return true;
}

void entry_core::state::FailAttempt(request& r, const std::string& detail, refusal why,
                                    bool declined) {
  DropParts(r);
  // A request that was refused before anything of it ran is given up at once:
  // to ask again is the caller's decision.
  const bool begun = r.may_have_run || r.tries > 1;
  if (declined && !begun && WaitInEntry(r)) {
    return;
  }
  if ((declined && !begun) || !r.asked.repeatable || !DrawRetry(r)) {
    GiveUp(r, detail, why);
    return;
  }
  BeginAttempt(r, detail, declined ? why.retry_after : microseconds::zero());
}

/// The entry's own queue, when the policy has one: asks anew under the next
/// attempt's number, since agents remember their refusal of this one.
bool entry_core::state::WaitInEntry(request& r) {
  const auto* queue = std::get_if<entry_queue_policy>(&policy.routing);
  const instant until = r.asked.patient ? r.accepted_at + kLongestPatience : r.late_at;
  if (queue == nullptr || now + queue->ask_again >= until) {
    return false;
  }
  ++r.attempt;
  r.tried.clear();
  r.retry_at = now + queue->ask_again;
  return true;
}

bool entry_core::state::DrawRetry(const request& r) {
  return r.tries < policy.max_attempts && budget.Draw(now, r.asked.team);
}

/// \param delay What the agents have asked for; later attempts back off in any case.
void entry_core::state::BeginAttempt(request& r, const std::string& detail, microseconds delay) {
  ++r.attempt;
  ++r.tries;
  r.tried.clear();
  r.kv.reset();
  r.kv_retried = false;
  r.best_refusal.reset();
  r.late_at = now + r.asked.deadline_in;
  Log(r, "retry", "", detail);
  microseconds wait = std::min(delay, kLongestDelay);
  if (r.tries > 2) {
    wait = std::max(wait, delays.Delay(r.tries - 2, random()));
  }
  if (wait > microseconds::zero()) {
    r.retry_at = now + wait;
  }
  Advance(r);
}

/// Tells the caller the final outcome, as far as it is proven.
void entry_core::state::GiveUp(request& r, const std::string& detail, refusal why) {
  DropParts(r);
  const refusal told = r.best_refusal.value_or(why);
  Log(r, "give_up", "", detail);
  const request_id id = r.asked.id;
  if (r.key_may_have_run) {
    Deliver(deliver_unknown{.id = id, .detail = "the idempotency key may have run"});
  } else if (!r.may_have_run) {
    Deliver(deliver_not_run{.id = id, .reason = told.reason, .retry_after = told.retry_after});
  } else if (r.asked.repeatable) {
    Deliver(deliver_failed{.id = id, .detail = detail, .retry_after = told.retry_after});
  } else {
    Deliver(deliver_unknown{.id = id, .detail = detail});
  }
  Erase(r);
}

/// Ends everything that the request has at agents, open offers too.
void entry_core::state::DropParts(request& r) {
  if (r.seeking.has_value()) {
    for (const quote& asked : r.seeking->quotes) {
      if (asked.state == quote_state::kOffered) {
        grant_release release;
        release.request = r.asked.id;
        release.attempt = r.attempt;
        release.grant = asked.grant;
        Send(asked.backend, release);
      }
    }
    EndSearch(r);
  }
  for (std::optional<part>* held : {&r.seat, &r.prefill}) {
    if (!held->has_value()) {
      continue;
    }
    if ((*held)->ordered()) {
      r.may_have_run = true;
    }
    DropPart(r, *held);
  }
}

/// Gives the grant back, or cancels what may run.
void entry_core::state::DropPart(request& r, std::optional<part>& p) {
  const part dropped = std::move(*p);
  p.reset();
  Unuses(r, dropped.backend);
  if (dropped.ordered()) {
    CancelAttempt(dropped.backend, dropped.incarnation,
                  {.request = r.asked.id, .attempt = dropped.attempt});
    return;
  }
  if (IsUp(dropped.backend, dropped.incarnation)) {
    grant_release release;
    release.request = r.asked.id;
    release.attempt = dropped.attempt;
    release.grant = dropped.grant;
    Send(dropped.backend, release);
  }
}

void entry_core::state::Erase(request& r) {
  EndSearch(r);
  for (std::optional<part>* held : {&r.seat, &r.prefill}) {
    if (held->has_value()) {
      const std::string backend = (*held)->backend;
      held->reset();
      Unuses(r, backend);
    }
  }
  if (r.armed.has_value()) {
    timers.erase({*r.armed, r.asked.id});
  }
  requests.erase(r.asked.id);
}

}  // namespace jacinthspool
