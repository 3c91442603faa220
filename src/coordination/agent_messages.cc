#include <algorithm>
#include <variant>

#include "src/coordination/agent_state.h"

/// \file
/// \brief Messages from entries to an agent.

namespace jacinthspool {
namespace {

/// Retry-After of a rejected start order: another search may begin at once.
constexpr microseconds kRetryAfterStale = milliseconds(50);

template <typename Message>
attempt_id IdOf(const Message& body) {
  return {.request = body.request, .attempt = body.attempt};
}

run_key KeyOf(const grant_request& terms) {
  return {.team = terms.team, .key = terms.idempotency_key, .repeatable = terms.repeatable};
}

/// \returns Why a start order is malformed for this kind of work, or kNone.
refusal_reason FaultOf(const start_order& order, work_kind kind) {
  if (kind == work_kind::kDecode && order.kv == nullptr) {
    return refusal_reason::kKvExpired;
  }
  if (kind == work_kind::kCall && order.call == nullptr) {
    return refusal_reason::kNotAllowed;
  }
  return refusal_reason::kNone;
}

}  // namespace

void agent_core::state::On(const entry_up& event) {
  leases.Renew(now, event.entry);
  connected.insert(event.entry);
}

void agent_core::state::On(const entry_down& event) { connected.erase(event.entry); }

void agent_core::state::On(const entry_message& event) {
  leases.Renew(now, event.entry);
  connected.insert(event.entry);
  std::visit([&](const auto& body) { OnMessage(event.entry, body); }, event.body);
}

void agent_core::state::OnMessage(incarnation_id entry, const grant_request& request) {
  const attempt_id id = IdOf(request);
  if (agent_attempt* const known = Find(id)) {
    SetOwner(*known, entry);
    if (known->stage != attempt_stage::kGranted) {
      SendAnswerFrom(*known, known->text.count());
      return;
    }
    const agent_quote quote = {
        .start_in = std::max(known->announced_start - now, microseconds::zero()),
        .run_for = known->run_for,
        .cached_tokens = known->cached_tokens};
    known->expected_start = now + Bounded(request.expected_in);
    Offer(*known, quote, LifetimeOf(*known, quote));
    return;
  }
  const refusal_reason earlier = ledger.RefusalOf(id);
  if (earlier != refusal_reason::kNone) {
    Refuse(entry, id, request.team, {.reason = earlier, .retry_after = {}});
    return;
  }
  if (ledger.Knows(id)) {
    SendFinalState(entry, id, ledger.StateOf(id), "the attempt has ended");
    return;
  }
  agent_refusal refusal = CheckAdmission(request);
  agent_quote quote;
  if (refusal.reason == refusal_reason::kNone) {
    quote = policy.kind == work_kind::kPrefill ? QuotePrefill(request) : QuoteReservation(request);
    refusal = CheckQueueLimits(request, quote);
  }
  if (refusal.reason == refusal_reason::kNone) {
    refusal = CheckDeadline(request, quote);
  }
  if (refusal.reason != refusal_reason::kNone) {
    Refuse(entry, id, request.team, refusal);
    return;
  }
  Grant(entry, request, quote);
}

void agent_core::state::OnMessage(incarnation_id /*entry*/, const grant_release& release) {
  agent_attempt* const attempt = Find(IdOf(release));
  if (attempt != nullptr && attempt->stage == attempt_stage::kGranted) {
    DropGrant(*attempt, refusal_reason::kStaleGrant);
  }
}

void agent_core::state::OnMessage(incarnation_id entry, const start_order& order) {
  const attempt_id id = IdOf(order);
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    const run_state final_state = ledger.StateOf(id);
    if (final_state == run_state::kNotRun) {
      const refusal_reason earlier = ledger.RefusalOf(id);
      const bool known = earlier != refusal_reason::kNone;
      Refuse(entry, id, {}, {.reason = known ? earlier : refusal_reason::kStaleGrant});
      return;
    }
    SendFinalState(entry, id, final_state, "the attempt has ended");
    return;
  }
  SetOwner(*attempt, entry);
  if (attempt->stage != attempt_stage::kGranted) {
    SendAnswerFrom(*attempt, attempt->text.count());
    return;
  }
  refusal_reason reason = FaultOf(order, policy.kind);
  if (!grants.Redeem(now, id, order.grant)) {
    reason = refusal_reason::kStaleGrant;
  }
  if (reason == refusal_reason::kNone && !backend_up) {
    reason = refusal_reason::kBackendDown;
  }
  if (reason == refusal_reason::kNone) {
    reason = ledger.Begin(now, id, KeyOf(attempt->terms));
  }
  if (reason != refusal_reason::kNone) {
    const std::string team = attempt->terms.team;
    DropGrant(*attempt, reason);
    Refuse(entry, id, team, {.reason = reason, .retry_after = kRetryAfterStale});
    return;
  }
  attempt->stage = attempt_stage::kQueued;
  attempt->order = order;
  attempt->text.StartAt(order.first_offset);
  if (order.deadline_in > microseconds::zero()) {
    attempt->deadline = now + Bounded(order.deadline_in);
  }
  Send(entry, MakeStarted(id));
  Enqueue(*attempt);
  dispatch_needed = true;
}

void agent_core::state::Enqueue(agent_attempt& attempt) {
  if (policy.kind == work_kind::kDecode) {
    const microseconds life = attempt.order.kv->expires_in;
    attempt.kv_expires = now + (life > microseconds::zero() ? Bounded(life) : policy.kv_life);
    SetDue(attempt, attempt.kv_expires);
    return;
  }
  if (!attempt.terms.patient && attempt.deadline != instant::max()) {
    SetDue(attempt, attempt.deadline);
  }
  if (policy.kind == work_kind::kPrefill) {
    attempt.announced_start = now + Bounded(attempt.order.seat_in);
    prefills.MakeReady(attempt.id, attempt.deadline, EarliestPrefill(attempt));
  }
}

void agent_core::state::OnMessage(incarnation_id /*entry*/, const seat_update& update) {
  agent_attempt* const attempt = Find(IdOf(update));
  if (attempt == nullptr || policy.kind != work_kind::kPrefill ||
      attempt->stage != attempt_stage::kQueued) {
    return;
  }
  attempt->announced_start = now + Bounded(update.seat_in);
  prefills.UpdateNotBefore(attempt->id, EarliestPrefill(*attempt));
  dispatch_needed = true;
}

void agent_core::state::OnMessage(incarnation_id entry, const cancel_order& order) {
  const attempt_id id = IdOf(order);
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    ledger.Seal(now, id);
    Send(entry, MakeCancelled(id));
    return;
  }
  SetOwner(*attempt, entry);
  attempt->cancel_requested = true;
  LogDecision("cancel", id, attempt->terms.team, "cancel", "cancelled by the entry");
  Stop(*attempt);
}

void agent_core::state::OnMessage(incarnation_id entry, const seal& request) {
  const attempt_id id = IdOf(request);
  agent_attempt* const attempt = Find(id);
  if (attempt != nullptr && attempt->stage == attempt_stage::kGranted) {
    DropGrant(*attempt, refusal_reason::kSealed);
  }
  sealed answer;
  answer.request = request.request;
  answer.attempt = request.attempt;
  answer.state = ledger.Seal(now, id);
  Send(entry, answer);
}

void agent_core::state::OnMessage(incarnation_id /*entry*/, const answer_ack& ack) {
  agent_attempt* const attempt = Find(IdOf(ack));
  if (attempt == nullptr) {
    return;
  }
  attempt->text.Trim(std::min(ack.next_offset, attempt->text.count()));
  if (!ack.whole) {
    return;
  }
  attempt->acknowledged = true;
  if (attempt->stage != attempt_stage::kEnded) {
    return;
  }
  // For a prefill this confirms that the KV cache was transferred, so the engine has freed it.
  memory.ConfirmReleased(attempt->id);
  dispatch_needed = true;
  Erase(attempt->id);
}

void agent_core::state::OnMessage(incarnation_id entry, const resume& request) {
  const attempt_id id = IdOf(request);
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    const bool sealed_here = ledger.RefusalOf(id) != refusal_reason::kNone;
    const run_state final_state = ledger.StateOf(id);
    const bool unproved = final_state == run_state::kNotRun && !sealed_here;
    SendFinalState(entry, id, unproved ? run_state::kUnknown : final_state,
                   "nothing is kept of the attempt");
    return;
  }
  SetOwner(*attempt, entry);
  if (attempt->stage == attempt_stage::kGranted) {
    DropGrant(*attempt, refusal_reason::kSealed);
    SendFinalState(entry, id, run_state::kNotRun, "the attempt had not started");
    return;
  }
  SendAnswerFrom(*attempt, request.next_offset);
}

}  // namespace jacinthspool
