#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Messages of agents, handed to the request and part that they belong to.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;
using entry_detail::Sane;

namespace {

/// Hands each type of message on; `state` is the entry's.
template <typename State>
struct message_visitor {
  using request = typename State::request;
  using part = typename State::part;

  State& self;
  const agent_message& from;
  request* r;

  /// Runs `action` when the attempt is current and was ordered at this agent.
  template <typename Action>
  void WithPart(attempt_number attempt, Action action) const {
    part* p = r == nullptr ? nullptr : State::PartOf(*r, from, attempt);
    if (p == nullptr || !p->ordered()) {
      return;
    }
    p->heard = self.now;
    p->probes = 0;
    p->lost_at.reset();
    action(*p);
  }

  /// The same for what only the decode agent, or the service's, may send.
  template <typename Action>
  void WithSeat(attempt_number attempt, work_kind kind, Action action) const {
    WithPart(attempt, [&](part& p) {
      if (p.kind == kind) {
        p.phase = part_phase::kStarted;
        action();
      }
    });
  }

  void operator()(const heartbeat& beat) const { self.NoteLoad(from.backend, beat.load.get()); }
  void operator()(const grant_offer& offer) const { self.TakeOffer(from, offer); }
  void operator()(const refused& no) const { self.TakeRefusal(r, from, no); }
  void operator()(const started& begun) const {
    WithPart(begun.attempt, [](part& p) { p.phase = part_phase::kStarted; });
  }
  void operator()(const seat_update& moved) const {
    part* p = r == nullptr ? nullptr : State::PartOf(*r, from, moved.attempt);
    if (p != nullptr && p->kind == work_kind::kDecode) {
      p->start_at = self.now + Sane(moved.seat_in);
      self.TakeSeatMove(*r, *p, moved);
    }
  }
  void operator()(const prefill_done& done) const {
    WithPart(done.attempt, [&](part& p) {
      if (p.kind == work_kind::kPrefill && !r->kv.has_value()) {
        p.phase = part_phase::kStarted;
        self.TakePrefill(*r, done);
      }
    });
  }
  void operator()(const piece& next) const {
    WithSeat(next.attempt, work_kind::kDecode, [&] { self.TakePiece(*r, next); });
  }
  void operator()(const answer_end& end) const {
    if (r == nullptr) {
      self.AcknowledgeAgain(from.backend, end);
      return;
    }
    WithSeat(end.attempt, work_kind::kDecode, [&] { self.TakeEnd(*r, end); });
  }
  void operator()(const call_answer& answer) const {
    WithSeat(answer.attempt, work_kind::kCall, [&] { self.TakeAnswer(*r, answer); });
  }
  void operator()(const answer_failed& failed) const {
    WithPart(failed.attempt, [&](part& p) {
      self.PartFailed(
          *r, p.kind, failed.ran, failed.detail,
          {.reason = self.ReasonOf(*r, failed), .retry_after = Sane(failed.retry_after)});
    });
  }
  void operator()(const cancelled& gone) const {
    self.agents.at(from.backend)
        .uncancelled.erase({.request = gone.request, .attempt = gone.attempt});
    WithPart(gone.attempt, [&](part& p) {
      self.PartFailed(*r, p.kind, run_state::kUnknown, "cancelled by the agent", {});
    });
  }
  void operator()(const sealed& answer) const {
    WithPart(answer.attempt, [&](part& p) { self.TakeSealed(*r, p, answer.state); });
  }
  /// The rest is not meant for entries, or is dealt with by the daemon.
  template <typename Other>
  void operator()(const Other& /*body*/) const {}
};

}  // namespace

void entry_core::state::Take(const agent_message& received) {
  if (!IsUp(received.backend, received.incarnation)) {
    return;
  }
  const std::optional<request_id> id = RequestOf(received.body);
  request* r = id.has_value() ? Find(*id) : nullptr;
  std::visit(message_visitor<state>{*this, received, r}, received.body);
  if (request* left = id.has_value() ? Find(*id) : nullptr) {
    Arm(*left);
  }
}

void entry_core::state::TakeRefusal(request* r, const agent_message& from, const refused& no) {
  NoteLoad(from.backend, no.load.get());
  if (r == nullptr) {
    return;
  }
  const entry_detail::refusal why{.reason = no.reason, .retry_after = Sane(no.retry_after)};
  const bool seeking = no.attempt == r->attempt && r->seeking.has_value();
  quote* asked = seeking ? r->seeking->Find(from.backend, from.incarnation) : nullptr;
  if (asked != nullptr) {
    if (asked->state != quote_state::kOffered) {
      asked->state = quote_state::kRefused;
      asked->reason = no.reason;
      r->NoteRefusal(why);
      Settle(*r);
    }
    return;
  }
  part* p = PartOf(*r, from, no.attempt);
  const bool done = p != nullptr && p->kind == work_kind::kPrefill && r->kv.has_value();
  if (p != nullptr && !done) {
    PartFailed(*r, p->kind, run_state::kNotRun, "refused: " + entry_detail::ReasonName(no.reason),
               why);
  }
}

/// Work that was withdrawn since its deadline passed in the queue is not worth a retry.
refusal_reason entry_core::state::ReasonOf(const request& r, const answer_failed& failed) const {
  const bool late = failed.ran == run_state::kNotRun && !r.asked.patient && now >= r.late_at;
  return late && r.tries == 1 ? refusal_reason::kDeadlineMissed : refusal_reason::kBackendDown;
}

/// Tells the prefill's agent when the decode engine can take the KV cache.
void entry_core::state::TakeSeatMove(request& r, const part& p, const seat_update& moved) {
  const bool waits = r.prefill.has_value() && r.prefill->attempt == p.attempt && !r.kv.has_value();
  if (waits) {
    Send(r.prefill->backend, moved);
  }
}

/// The first acknowledgement was lost with a connection.
void entry_core::state::AcknowledgeAgain(const std::string& backend, const answer_end& end) {
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
  found->second.load.queue_wait = Sane(load->queue_wait);
  found->second.ordered_since_load = 0;
}

entry_core::state::part* entry_core::state::PartOf(request& r, const agent_message& from,
                                                   attempt_number attempt) {
  for (std::optional<part>* held : {&r.seat, &r.prefill}) {
    if (held->has_value() && (*held)->backend == from.backend &&
        (*held)->incarnation == from.incarnation && (*held)->attempt == attempt) {
      return &**held;
    }
  }
  return nullptr;
}

}  // namespace jacinthspool
