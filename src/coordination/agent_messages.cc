#include <algorithm>
#include <variant>

#include "src/coordination/agent_state.h"

/// \file
/// \brief What entries send to an agent.

namespace jacinthspool {
namespace {

/// After a start that came too late, the entry may ask for a new grant at once.
constexpr microseconds kRetryAfterStale = milliseconds(50);

template <typename Message>
attempt_id IdOf(const Message& body) {
  return {.request = body.request, .attempt = body.attempt};
}

run_key KeyOf(const grant_request& terms) {
  return {.team = terms.team, .key = terms.idempotency_key, .repeatable = terms.repeatable};
}

/// \returns Why a start cannot be carried out as it came, or kNone.
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
  leases.Touch(now, event.entry);
  connected.insert(event.entry);
}

void agent_core::state::On(const entry_down& event) { connected.erase(event.entry); }

void agent_core::state::On(const entry_message& event) {
  leases.Touch(now, event.entry);
  connected.insert(event.entry);
  std::visit([&](const auto& body) { OnMessage(event.entry, body); }, event.body);
}

void agent_core::state::OnMessage(incarnation_id entry, const grant_request& request) {
  const attempt_id id = IdOf(request);
  if (agent_attempt* const known = Find(id)) {
    Own(*known, entry);
    if (known->stage != attempt_stage::kGranted) {
      SendAnswerFrom(*known, known->text.count());
      return;
    }
    const agent_quote quote = {.start_in = std::max(known->told_seat - now, microseconds::zero()),
                               .run_for = known->run_for,
                               .cached_tokens = known->cached_tokens};
    known->expected = now + Bounded(request.expected_in);
    Offer(*known, quote, LifetimeOf(*known, quote));
    return;
  }
  const refusal_reason earlier = ledger.RefusalOf(id);
  if (earlier != refusal_reason::kNone) {
    Refuse(entry, id, request.team, {.reason = earlier, .retry_after = {}});
    return;
  }
  const run_state fate = ledger.StateOf(id);
  if (fate == run_state::kRunning || fate == run_state::kFinished) {
    SendFate(entry, id, fate, "the attempt has ended");
    return;
  }
  agent_refusal refusal = Admission(request);
  agent_quote quote;
  if (refusal.reason == refusal_reason::kNone) {
    quote = policy.kind == work_kind::kPrefill ? QuotePrefill(request) : QuoteSeat(request);
    refusal = PlaceLeft(request, quote);
  }
  if (refusal.reason == refusal_reason::kNone) {
    refusal = InTime(request, quote);
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
    const run_state fate = ledger.StateOf(id);
    if (fate == run_state::kNotRun) {
      const refusal_reason earlier = ledger.RefusalOf(id);
      const bool known = earlier != refusal_reason::kNone;
      Refuse(entry, id, {}, {.reason = known ? earlier : refusal_reason::kStaleGrant});
      return;
    }
    SendFate(entry, id, fate, "the attempt has ended");
    return;
  }
  Own(*attempt, entry);
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
  changed = true;
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
    attempt.told_seat = now + Bounded(attempt.order.seat_in);
    prefills.MakeReady(attempt.id, attempt.deadline, EarliestPrefill(attempt));
  }
}

void agent_core::state::OnMessage(incarnation_id /*entry*/, const seat_update& update) {
  agent_attempt* const attempt = Find(IdOf(update));
  if (attempt == nullptr || policy.kind != work_kind::kPrefill ||
      attempt->stage != attempt_stage::kQueued) {
    return;
  }
  attempt->told_seat = now + Bounded(update.seat_in);
  prefills.MoveSeat(attempt->id, EarliestPrefill(*attempt));
  changed = true;
}

void agent_core::state::OnMessage(incarnation_id entry, const cancel_order& order) {
  const attempt_id id = IdOf(order);
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    ledger.Seal(now, id);
    Send(entry, MakeCancelled(id));
    return;
  }
  Own(*attempt, entry);
  attempt->cancel_asked = true;
  LogDecision("cancel", id, attempt->terms.team, "cancel", "the entry asks for it");
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
  // For a prefill this says that the KV cache has been read, so the engine has dropped it.
  memory.Confirm(attempt->id);
  changed = true;
  Erase(attempt->id);
}

void agent_core::state::OnMessage(incarnation_id entry, const resume& request) {
  const attempt_id id = IdOf(request);
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    const bool sealed_here = ledger.RefusalOf(id) != refusal_reason::kNone;
    const run_state fate = ledger.StateOf(id);
    const bool unproved = fate == run_state::kNotRun && !sealed_here;
    SendFate(entry, id, unproved ? run_state::kUnknown : fate, "nothing is kept of the attempt");
    return;
  }
  Own(*attempt, entry);
  if (attempt->stage == attempt_stage::kGranted) {
    DropGrant(*attempt, refusal_reason::kSealed);
    SendFate(entry, id, run_state::kNotRun, "the attempt had not started");
    return;
  }
  SendAnswerFrom(*attempt, request.next_offset);
}

}  // namespace jacinthspool
