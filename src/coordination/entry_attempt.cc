#include <algorithm>
#include <memory>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief One attempt: start orders, prefill, pieces and the end of the answer.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::Sane;

namespace {

/// Pieces after which the agent is told that they need not be kept.
constexpr std::uint64_t kAckEvery = 64;

}  // namespace

void entry_core::state::StartCall(request& r) { SendStart(r, *r.seat); }

void entry_core::state::StartPrefill(request& r) { SendStart(r, *r.prefill); }

void entry_core::state::StartDecode(request& r) {
  if (!IsUp(r.seat->backend, r.seat->incarnation)) {
    DropPart(r, r.seat);
    Advance(r);
    return;
  }
  r.answer.Replace(r.seat->attempt);
  r.first_offset = r.answer.next_offset();
  r.end.reset();
  SendStart(r, *r.seat);
}

/// Orders the start of a part; the same order again when it may have been lost.
void entry_core::state::SendStart(request& r, part& p) {
  start_order order;
  order.request = r.asked.id;
  order.attempt = p.attempt;
  order.grant = p.grant;
  order.deadline_in = Until(r.late_at);
  if (r.is_call()) {
    order.call = std::make_shared<call_request>(*r.asked.call);
  } else {
    order.engine_request = r.asked.engine_request;
  }
  if (p.kind == work_kind::kPrefill && r.seat.has_value()) {
    order.seat_in = Until(r.seat->start_at);
  }
  if (p.kind == work_kind::kDecode) {
    order.kv = std::make_shared<kv_handle>(*r.kv);
    order.kv->expires_in = Until(r.kv_gone_at);
    order.first_offset = r.first_offset;
  }
  if (p.phase == part_phase::kGranted) {
    p.phase = part_phase::kOrdered;
  }
  p.heard = now;
  p.probes = 0;
  Send(p.backend, std::move(order));
}

void entry_core::state::TakePrefill(request& r, const prefill_done& done) {
  r.may_have_run = true;
  if (done.kv == nullptr) {
    PartFailed(r, work_kind::kPrefill, run_state::kFinished, "prefill without a KV cache", {});
    return;
  }
  r.kv = *done.kv;
  r.kv_gone_at = now + Sane(done.kv->expires_in);
  r.prompt_tokens = done.prompt_tokens;
  Advance(r);
}

void entry_core::state::TakePiece(request& r, const piece& next) {
  const std::uint64_t before = r.answer.next_offset();
  for (std::string& text : r.answer.Take(next.attempt, next.offset, next.text)) {
    Deliver(deliver_piece{.id = r.asked.id, .text = std::move(text)});
  }
  AcknowledgePrefill(r);
  if (r.answer.overflowed() && before == r.answer.next_offset()) {
    r.answer.ClearOverflow();
    AskWithResume(r, *r.seat);
  }
  if (r.answer.complete()) {
    Complete(r);
  } else if (r.answer.next_offset() >= r.acked_offset + kAckEvery) {
    r.acked_offset = r.answer.next_offset();
    Acknowledge(r, *r.seat, false);
  }
}

void entry_core::state::TakeEnd(request& r, const answer_end& end) {
  if (!r.answer.End(end.attempt, end.end_offset)) {
    PartFailed(r, r.seat->kind, run_state::kUnknown, "the answer's end contradicts its pieces", {});
    return;
  }
  r.end = end;
  AcknowledgePrefill(r);
  if (r.answer.complete()) {
    Complete(r);
  }
}

/// The decode engine has read the KV cache: the prefill's agent may forget it.
void entry_core::state::AcknowledgePrefill(request& r) {
  if (!r.prefill.has_value()) {
    return;
  }
  Acknowledge(r, *r.prefill, true);
  const std::string backend = r.prefill->backend;
  r.prefill.reset();
  Unuses(r, backend);
}

void entry_core::state::Complete(request& r) {
  const answer_end& end = *r.end;
  Deliver(deliver_end{.id = r.asked.id,
                      .finish_reason = end.finish_reason,
                      .prompt_tokens = end.prompt_tokens != 0 ? end.prompt_tokens : r.prompt_tokens,
                      .completion_tokens = end.completion_tokens});
  Acknowledge(r, *r.seat, true);
  budget.Earn(now, r.asked.team);
  Erase(r);
}

void entry_core::state::TakeAnswer(request& r, const call_answer& answer) {
  if (!r.is_call()) {
    return;
  }
  deliver_call answered{.id = r.asked.id, .status = answer.status, .headers = {}, .body = {}};
  for (const auto& field : answer.headers) {
    if (field != nullptr) {
      answered.headers.push_back(*field);
    }
  }
  answered.body = answer.body;
  Deliver(std::move(answered));
  Acknowledge(r, *r.seat, true);
  budget.Earn(now, r.asked.team);
  Erase(r);
}

void entry_core::state::Acknowledge(const request& r, const part& p, bool whole) {
  answer_ack ack;
  ack.request = r.asked.id;
  ack.attempt = p.attempt;
  ack.next_offset = r.answer.next_offset();
  ack.whole = whole;
  Send(p.backend, ack);
}

}  // namespace jacinthspool
