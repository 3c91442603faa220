#include <algorithm>
#include <memory>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Steps of an attempt: start orders, prefill, pieces and the end of the answer.

namespace jacinthspool {

using entry_detail::ClampReported;
using entry_detail::part_phase;

namespace {

/// Number of pieces after which they are acknowledged, so that the agent stops retaining them.
constexpr std::uint64_t kAckEvery = 64;

}  // namespace

void entry_core::state::StartCall(request& r) { SendStart(r, *r.reservation); }

void entry_core::state::StartPrefill(request& r) { SendStart(r, *r.prefill); }

void entry_core::state::StartDecode(request& r) {
  if (!IsUp(r.reservation->backend, r.reservation->incarnation)) {
    DropPart(r, r.reservation);
    Advance(r);
    return;
  }
  r.answer.Replace(r.reservation->attempt);
  r.first_offset = r.answer.next_offset();
  r.end.reset();
  SendStart(r, *r.reservation);
}

/// Sends the start order of a part. Also resends it when it may have been lost; starts are
/// idempotent.
void entry_core::state::SendStart(request& r, part& p) {
  start_order order;
  order.request = r.submitted.id;
  order.attempt = p.attempt;
  order.grant = p.grant;
  order.deadline_in = TimeUntil(r.deadline);
  if (r.is_call()) {
    order.call = std::make_shared<call_request>(*r.submitted.call);
  } else {
    order.engine_request = r.submitted.engine_request;
  }
  if (p.kind == work_kind::kPrefill && r.reservation.has_value()) {
    order.seat_in = TimeUntil(r.reservation->start_at);
  }
  if (p.kind == work_kind::kDecode) {
    order.kv = std::make_shared<kv_handle>(*r.kv);
    order.kv->expires_in = TimeUntil(r.kv_expires_at);
    order.first_offset = r.first_offset;
  }
  if (p.phase == part_phase::kGranted) {
    p.phase = part_phase::kOrdered;
  }
  p.last_progress = now;
  p.probes = 0;
  Send(p.backend, std::move(order));
}

void entry_core::state::HandlePrefillDone(request& r, const prefill_done& done) {
  r.may_have_run = true;
  if (done.kv == nullptr) {
    HandlePartFailure(r, work_kind::kPrefill, run_state::kFinished, "prefill without a KV cache",
                      {});
    return;
  }
  r.kv = *done.kv;
  r.kv_expires_at = now + ClampReported(done.kv->expires_in);
  r.prompt_tokens = done.prompt_tokens;
  Advance(r);
}

void entry_core::state::HandlePiece(request& r, const piece& next) {
  const std::uint64_t before = r.answer.next_offset();
  for (std::string& text : r.answer.Take(next.attempt, next.offset, next.text)) {
    Deliver(deliver_piece{.id = r.submitted.id, .text = std::move(text)});
  }
  AcknowledgePrefill(r);
  if (r.answer.overflowed() && before == r.answer.next_offset()) {
    r.answer.ClearOverflow();
    SendResume(r, *r.reservation);
  }
  if (r.answer.complete()) {
    Complete(r);
  } else if (r.answer.next_offset() >= r.acknowledged_offset + kAckEvery) {
    r.acknowledged_offset = r.answer.next_offset();
    Acknowledge(r, *r.reservation, false);
  }
}

void entry_core::state::HandleEnd(request& r, const answer_end& end) {
  if (!r.answer.End(end.attempt, end.end_offset)) {
    HandlePartFailure(r, r.reservation->kind, run_state::kUnknown,
                      "the answer's end contradicts its pieces", {});
    return;
  }
  r.end = end;
  AcknowledgePrefill(r);
  if (r.answer.complete()) {
    Complete(r);
  }
}

/// The decode engine has read the KV cache, so the prefill agent can release it.
void entry_core::state::AcknowledgePrefill(request& r) {
  if (!r.prefill.has_value()) {
    return;
  }
  Acknowledge(r, *r.prefill, true);
  const std::string backend = r.prefill->backend;
  r.prefill.reset();
  RemoveUser(r, backend);
}

void entry_core::state::Complete(request& r) {
  const answer_end& end = *r.end;
  Deliver(deliver_end{.id = r.submitted.id,
                      .finish_reason = end.finish_reason,
                      .prompt_tokens = end.prompt_tokens != 0 ? end.prompt_tokens : r.prompt_tokens,
                      .completion_tokens = end.completion_tokens});
  Acknowledge(r, *r.reservation, true);
  budget.RecordSuccess(now, r.submitted.team);
  Erase(r);
}

void entry_core::state::HandleCallAnswer(request& r, const call_answer& answer) {
  if (!r.is_call()) {
    return;
  }
  deliver_call answered{.id = r.submitted.id, .status = answer.status, .headers = {}, .body = {}};
  for (const auto& field : answer.headers) {
    if (field != nullptr) {
      answered.headers.push_back(*field);
    }
  }
  answered.body = answer.body;
  Deliver(std::move(answered));
  Acknowledge(r, *r.reservation, true);
  budget.RecordSuccess(now, r.submitted.team);
  Erase(r);
}

void entry_core::state::Acknowledge(const request& r, const part& p, bool whole) {
  answer_ack ack;
  ack.request = r.submitted.id;
  ack.attempt = p.attempt;
  ack.next_offset = r.answer.next_offset();
  ack.whole = whole;
  Send(p.backend, ack);
}

}  // namespace jacinthspool
