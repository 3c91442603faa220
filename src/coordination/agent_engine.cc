#include <algorithm>
#include <utility>

#include "src/coordination/agent_state.h"

/// \file
/// \brief Events of the backend server. Late events, of attempts that no longer run, are ignored.

namespace jacinthspool {

void agent_core::state::On(const engine_prefilled& event) {
  agent_attempt* const attempt = Find(event.id);
  if (attempt == nullptr || policy.kind != work_kind::kPrefill) {
    return;
  }
  if (attempt->stage != attempt_stage::kRunning) {
    return;
  }
  prefixes.RecordServed(attempt->terms.prefix_hashes, event.cached_tokens);
  const bool last = running.size() == 1;
  engine_free = last ? now : std::max(engine_free, now);
  const microseconds life = event.kv.expires_in;
  attempt->kv_expires = now + (life > microseconds::zero() ? Bounded(life) : policy.kv_life);
  prefill_done done;
  done.request = event.id.request;
  done.attempt = event.id.attempt;
  done.kv = std::make_shared<kv_handle>(event.kv);
  done.kv->expires_in = attempt->kv_expires - now;
  done.prompt_tokens = event.prompt_tokens;
  done.cached_tokens = event.cached_tokens;
  End(*attempt, run_state::kFinished, std::move(done));
}

void agent_core::state::On(const engine_piece& event) {
  agent_attempt* const attempt = Find(event.id);
  if (attempt == nullptr || attempt->stage != attempt_stage::kRunning) {
    return;
  }
  const std::uint64_t offset = attempt->text.count();
  if (attempt->text.Add(event.text)) {
    SendPiece(*attempt, offset);
  }
}

/// Finds the running attempt that its backend server has answered. For an attempt
/// that is being released, the answer confirms the release and is discarded.
agent_attempt* agent_core::state::FindAnswered(attempt_id id, work_kind kind) {
  agent_attempt* const attempt = Find(id);
  if (attempt == nullptr) {
    return nullptr;
  }
  if (attempt->stage == attempt_stage::kReleasing) {
    Released(*attempt);
    return nullptr;
  }
  const bool expected = attempt->stage == attempt_stage::kRunning && policy.kind == kind;
  return expected ? attempt : nullptr;
}

void agent_core::state::On(const engine_finished& event) {
  agent_attempt* const attempt = FindAnswered(event.id, work_kind::kDecode);
  if (attempt == nullptr) {
    return;
  }
  answer_end end;
  end.request = event.id.request;
  end.attempt = event.id.attempt;
  end.end_offset = attempt->text.count();
  end.finish_reason = event.finish_reason;
  end.prompt_tokens = event.prompt_tokens;
  end.completion_tokens = event.completion_tokens;
  End(*attempt, run_state::kFinished, std::move(end));
}

void agent_core::state::On(const service_answered& event) {
  agent_attempt* const attempt = FindAnswered(event.id, work_kind::kCall);
  if (attempt == nullptr) {
    return;
  }
  constexpr int kAverageOver = 8;
  call_time += (now - attempt->ordered_at - call_time) / kAverageOver;
  call_answer answer;
  answer.request = event.id.request;
  answer.attempt = event.id.attempt;
  answer.status = event.status;
  for (const header_field& field : event.headers) {
    answer.headers.push_back(std::make_shared<header_field>(field));
  }
  answer.body = event.body;
  End(*attempt, run_state::kFinished, std::move(answer));
}

void agent_core::state::On(const engine_failed& event) {
  agent_attempt* const attempt = Find(event.id);
  if (attempt == nullptr || attempt->stage != attempt_stage::kRunning) {
    return;
  }
  attempt->final_state = event.ran;
  attempt->final_message = MakeFailed(event.id, event.ran, event.detail);
  SendFinalMessage(*attempt);
  LogDecision("failed", event.id, attempt->terms.team, "release", event.detail);
  StartRelease(*attempt);
}

void agent_core::state::On(const engine_released& event) {
  agent_attempt* const attempt = Find(event.id);
  if (attempt != nullptr && attempt->stage == attempt_stage::kReleasing) {
    Released(*attempt);
  }
}

void agent_core::state::On(const backend_report& event) {
  if (event.up == backend_up) {
    return;
  }
  backend_up = event.up;
  if (!backend_up) {
    prefixes.Clear();
    WithdrawAllQueued("the backend server is down");
  }
  dispatch_needed = true;
}

void agent_core::state::End(agent_attempt& attempt, run_state how, message final_message) {
  ledger.End(now, attempt.id, how);
  running.erase(attempt.id);
  attempt.stage = attempt_stage::kEnded;
  attempt.final_state = how;
  attempt.final_message = std::move(final_message);
  attempt.retained_until = now + policy.answer_retained;
  if (policy.kind == work_kind::kPrefill) {
    SetDue(attempt, attempt.kv_expires);
  } else {
    memory.ConfirmReleased(attempt.id);
    SetDue(attempt, attempt.retained_until);
  }
  SendFinalMessage(attempt);
  dispatch_needed = true;
}

}  // namespace jacinthspool
