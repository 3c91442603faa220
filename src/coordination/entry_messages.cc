#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Dispatches messages of agents to the request and part that they belong to.

namespace jacinthspool {

using entry_detail::ClampReported;
using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;

namespace {

/// Dispatches by message type; `State` is entry_core::state.
template <typename State>
struct message_visitor {
  using request = typename State::request;
  using part = typename State::part;

  State& self;
  const agent_message& from;
  request* r;

  /// Runs `action` when the part exists and was ordered from this agent.
  template <typename Action>
  void WithPart(attempt_number attempt, Action action) const {
    part* p = r == nullptr ? nullptr : State::PartOf(*r, from, attempt);
    if (p == nullptr || !p->ordered()) {
      return;
    }
    p->last_progress = self.now;
    p->probes = 0;
    p->disconnected_at.reset();
    action(*p);
  }

  /// As WithPart, for messages that only the agent of a decode or a call may send.
  template <typename Action>
  void WithReservation(attempt_number attempt, work_kind kind, Action action) const {
    WithPart(attempt, [&](part& p) {
      if (p.kind == kind) {
        p.phase = part_phase::kStarted;
        action();
      }
    });
  }

  void operator()(const heartbeat& beat) const { self.NoteLoad(from.backend, beat.load.get()); }
  void operator()(const grant_offer& offer) const { self.HandleOffer(from, offer); }
  void operator()(const refused& answer) const { self.HandleRefusal(r, from, answer); }
  void operator()(const started& body) const {
    WithPart(body.attempt, [](part& p) { p.phase = part_phase::kStarted; });
  }
  void operator()(const seat_update& update) const {
    part* p = r == nullptr ? nullptr : State::PartOf(*r, from, update.attempt);
    if (p != nullptr && p->kind == work_kind::kDecode) {
      p->start_at = self.now + ClampReported(update.seat_in);
      self.ForwardSeatUpdate(*r, *p, update);
    }
  }
  void operator()(const prefill_done& done) const {
    WithPart(done.attempt, [&](part& p) {
      if (p.kind == work_kind::kPrefill && !r->kv.has_value()) {
        p.phase = part_phase::kStarted;
        self.HandlePrefillDone(*r, done);
      }
    });
  }
  void operator()(const piece& next) const {
    WithReservation(next.attempt, work_kind::kDecode, [&] { self.HandlePiece(*r, next); });
  }
  void operator()(const answer_end& end) const {
    if (r == nullptr) {
      self.RepeatAcknowledgement(from.backend, end);
      return;
    }
    WithReservation(end.attempt, work_kind::kDecode, [&] { self.HandleEnd(*r, end); });
  }
  void operator()(const call_answer& answer) const {
    WithReservation(answer.attempt, work_kind::kCall, [&] { self.HandleCallAnswer(*r, answer); });
  }
  void operator()(const answer_failed& failed) const {
    WithPart(failed.attempt, [&](part& p) {
      self.HandlePartFailure(
          *r, p.kind, failed.ran, failed.detail,
          {.reason = self.ReasonOf(*r, failed), .retry_after = ClampReported(failed.retry_after)});
    });
  }
  void operator()(const cancelled& confirmed) const {
    self.agents.at(from.backend)
        .pending_cancels.erase({.request = confirmed.request, .attempt = confirmed.attempt});
    WithPart(confirmed.attempt, [&](part& p) {
      self.HandlePartFailure(*r, p.kind, run_state::kUnknown, "cancelled by the agent", {});
    });
  }
  void operator()(const sealed& answer) const {
    WithPart(answer.attempt, [&](part& p) { self.HandleSealed(*r, p, answer.state); });
  }
  /// Other messages are not for entries or are handled by the daemon.
  template <typename Other>
  void operator()(const Other& /*body*/) const {}
};

}  // namespace

void entry_core::state::HandleMessage(const agent_message& received) {
  if (!IsUp(received.backend, received.incarnation)) {
    return;
  }
  const std::optional<request_id> id = RequestOf(received.body);
  request* r = id.has_value() ? Find(*id) : nullptr;
  std::visit(message_visitor<state>{*this, received, r}, received.body);
  if (request* remaining = id.has_value() ? Find(*id) : nullptr) {
    ScheduleTimer(*remaining);
  }
}

void entry_core::state::HandleRefusal(request* r, const agent_message& from,
                                      const refused& answer) {
  NoteLoad(from.backend, answer.load.get());
  if (r == nullptr) {
    return;
  }
  const entry_detail::refusal why{.reason = answer.reason,
                                  .retry_after = ClampReported(answer.retry_after)};
  const bool searching = answer.attempt == r->attempt && r->active_search.has_value();
  quote* candidate = searching ? r->active_search->Find(from.backend, from.incarnation) : nullptr;
  if (candidate != nullptr) {
    if (candidate->state != quote_state::kOffered) {
      candidate->state = quote_state::kRefused;
      candidate->reason = answer.reason;
      r->NoteRefusal(why);
      UpdateSearch(*r);
    }
    return;
  }
  part* p = PartOf(*r, from, answer.attempt);
  const bool done = p != nullptr && p->kind == work_kind::kPrefill && r->kv.has_value();
  if (p != nullptr && !done) {
    HandlePartFailure(*r, p->kind, run_state::kNotRun,
                      "refused: " + entry_detail::ReasonName(answer.reason), why);
  }
}

/// Work that was withdrawn because its deadline passed in the queue is not retried.
refusal_reason entry_core::state::ReasonOf(const request& r, const answer_failed& failed) const {
  const bool late = failed.ran == run_state::kNotRun && !r.submitted.patient && now >= r.deadline;
  return late && r.counted_attempts == 1 ? refusal_reason::kDeadlineMissed
                                         : refusal_reason::kBackendDown;
}

/// Forwards the new decode start to the prefill agent.
void entry_core::state::ForwardSeatUpdate(request& r, const part& p, const seat_update& update) {
  const bool waits = r.prefill.has_value() && r.prefill->attempt == p.attempt && !r.kv.has_value();
  if (waits) {
    Send(r.prefill->backend, update);
  }
}

/// Acknowledges again: the first acknowledgement was lost with its connection.
void entry_core::state::RepeatAcknowledgement(const std::string& backend, const answer_end& end) {
  answer_ack ack;
  ack.request = end.request;
  ack.attempt = end.attempt;
  ack.next_offset = end.end_offset;
  ack.whole = true;
  Send(backend, ack);
}

void entry_core::state::NoteLoad(const std::string& backend, const agent_load* load) {
  const auto found = agents.find(backend);
  if (load == nullptr || found == agents.end()) {
    return;
  }
  found->second.load = *load;
  found->second.load.queue_wait = ClampReported(load->queue_wait);
  found->second.ordered_since_load = 0;
}

entry_core::state::part* entry_core::state::PartOf(request& r, const agent_message& from,
                                                   attempt_number attempt) {
  for (std::optional<part>* held : {&r.reservation, &r.prefill}) {
    if (held->has_value() && (*held)->backend == from.backend &&
        (*held)->incarnation == from.incarnation && (*held)->attempt == attempt) {
      return &**held;
    }
  }
  return nullptr;
}

}  // namespace jacinthspool
