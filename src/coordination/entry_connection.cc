#include <algorithm>
#include <utility>
#include <vector>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Agents that go, come back or stay silent, and cancels until they are confirmed.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;

namespace {

/// Questions that an agent may leave unanswered before its part counts as lost.
constexpr std::uint32_t kMaxProbes = 2;

}  // namespace

void entry_core::state::TakeUp(const agent_up& event) {
  agent_view& agent = agents[event.backend];
  const bool replaced = agent.incarnation != event.incarnation;
  if (replaced) {
    agent.uncancelled.clear();
    agent.load = {};
  }
  agent.up = true;
  agent.incarnation = event.incarnation;
  agent.down_at.reset();
  agent.ordered_since_load = 0;
  for (const attempt_id& id : agent.uncancelled) {
    cancel_order order;
    order.request = id.request;
    order.attempt = id.attempt;
    Send(event.backend, order);
  }
  const std::vector<request_id> users(agent.users.begin(), agent.users.end());
  for (const request_id& id : users) {
    request* asking = Find(id);
    if (replaced && asking != nullptr) {
      SilenceQuotes(*asking, event.backend);
    }
    for (const work_kind kind : {work_kind::kDecode, work_kind::kPrefill}) {
      request* r = Find(id);
      if (r == nullptr) {
        break;
      }
      std::optional<part>& held = kind == work_kind::kPrefill ? r->prefill : r->seat;
      if (!held.has_value() || held->backend != event.backend) {
        continue;
      }
      if (held->incarnation != event.incarnation) {
        PartLost(*r, held->kind, "the agent was restarted");
      } else if (held->ordered()) {
        Reconnect(*r, *held);
      }
    }
    if (request* left = Find(id)) {
      Arm(*left);
    }
  }
}

void entry_core::state::TakeDown(const agent_down& event) {
  const auto found = agents.find(event.backend);
  if (found == agents.end() || !found->second.up) {
    return;
  }
  found->second.up = false;
  found->second.down_at = now;
  if (!found->second.uncancelled.empty() && !repeat_cancels_at.has_value()) {
    repeat_cancels_at = now + policy.lease;
  }
  const std::vector<request_id> users(found->second.users.begin(), found->second.users.end());
  for (const request_id& id : users) {
    request* r = Find(id);
    if (r == nullptr) {
      continue;
    }
    for (std::optional<part>* held : {&r->seat, &r->prefill}) {
      if (held->has_value() && (*held)->backend == event.backend && (*held)->ordered()) {
        (*held)->lost_at = now;
      }
    }
    SilenceQuotes(*r, event.backend);
    if (request* left = Find(id)) {
      Arm(*left);
    }
  }
}

/// The agent's answers and offers are gone with its connection.
void entry_core::state::SilenceQuotes(request& r, const std::string& backend) {
  if (!r.seeking.has_value()) {
    return;
  }
  for (quote& asked : r.seeking->quotes) {
    const bool declined = asked.state == quote_state::kRefused;
    if (asked.backend == backend && !declined) {
      asked.state = quote_state::kSilent;
    }
  }
  Settle(r);
}

/// The same incarnation is back: asks for what was missed.
void entry_core::state::Reconnect(request& r, part& p) {
  p.lost_at.reset();
  p.heard = now;
  p.probes = 0;
  if (p.kind == work_kind::kPrefill && r.kv.has_value()) {
    return;
  }
  if (!r.asked.repeatable) {
    AskWithSeal(p, r.asked.id);
    return;
  }
  if (p.phase == part_phase::kOrdered) {
    SendStart(r, p);
  }
  AskWithResume(r, p);
}

/// The agent was silent about a part for a lease: asks, and at last takes it for lost.
void entry_core::state::Probe(request& r, part& p) {
  if (p.probes >= kMaxProbes) {
    PartLost(r, p.kind, "no progress and no reply");
    return;
  }
  ++p.probes;
  p.heard = now;
  if (p.probes == 1) {
    AskWithResume(r, p);
  } else {
    AskWithSeal(p, r.asked.id);
  }
}

void entry_core::state::AskWithResume(const request& r, const part& p) {
  resume ask;
  ask.request = r.asked.id;
  ask.attempt = p.attempt;
  ask.next_offset = p.kind == work_kind::kDecode ? r.answer.next_offset() : 0;
  Send(p.backend, ask);
}

void entry_core::state::AskWithSeal(const part& p, const request_id& id) {
  seal ask;
  ask.request = id;
  ask.attempt = p.attempt;
  Send(p.backend, ask);
}

void entry_core::state::PartLost(request& r, work_kind kind, const std::string& detail) {
  std::optional<part>& lost = kind == work_kind::kPrefill ? r.prefill : r.seat;
  if (kind == work_kind::kPrefill && r.kv.has_value()) {
    // The engine may still hold the KV cache; the transfer will show.
    DropPart(r, lost);
    return;
  }
  PartFailed(r, kind, run_state::kUnknown, detail, {});
}

/// \remark Messages of another incarnation than the grant's do not get here.
void entry_core::state::TakeSealed(request& r, part& p, run_state ran) {
  const bool proof = p.phase == part_phase::kOrdered && p.grant.incarnation == p.incarnation;
  switch (ran) {
    case run_state::kRunning:
    case run_state::kFinished:
      p.phase = part_phase::kStarted;
      AskWithResume(r, p);
      return;
    case run_state::kNotRun:
      PartFailed(r, p.kind, proof ? run_state::kNotRun : run_state::kUnknown,
                 "sealed before it started",
                 {.reason = refusal_reason::kSealed, .retry_after = policy.reply_timeout});
      return;
    default:
      PartFailed(r, p.kind, run_state::kUnknown, "the agent does not know how far it came", {});
  }
}

void entry_core::state::CancelAttempt(const std::string& backend, incarnation_id incarnation,
                                      const attempt_id& id) {
  const auto found = agents.find(backend);
  if (found == agents.end() || found->second.incarnation != incarnation) {
    return;
  }
  found->second.uncancelled.insert(id);
  if (!repeat_cancels_at.has_value()) {
    repeat_cancels_at = now + policy.lease;
  }
  SendCancel(backend, id);
}

void entry_core::state::SendCancel(const std::string& backend, const attempt_id& id) {
  cancel_order order;
  order.request = id.request;
  order.attempt = id.attempt;
  Send(backend, order);
}

void entry_core::state::RepeatCancels() {
  repeat_cancels_at.reset();
  ForgetGoneAgents();
  for (const auto& [backend, agent] : agents) {
    for (const attempt_id& id : agent.uncancelled) {
      repeat_cancels_at = now + policy.lease;
      SendCancel(backend, id);
    }
  }
}

/// An agent drops what belongs to an entry that was silent for a lease, so
/// nothing is left to cancel at one that has been away for two.
void entry_core::state::ForgetGoneAgents() {
  for (auto& [backend, agent] : agents) {
    if (!agent.up && agent.down_at.has_value() && *agent.down_at + (2 * policy.lease) <= now) {
      agent.uncancelled.clear();
    }
  }
}

}  // namespace jacinthspool
