#include <algorithm>
#include <utility>
#include <vector>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Connection loss, reconnection and silence of agents; retries of unconfirmed cancels.

namespace jacinthspool {

using entry_detail::part_phase;
using entry_detail::quote;
using entry_detail::quote_state;

namespace {

/// Unanswered probes after which a part counts as lost.
constexpr std::uint32_t kMaxProbes = 2;

}  // namespace

void entry_core::state::HandleAgentUp(const agent_up& event) {
  agent_view& agent = agents[event.backend];
  const bool replaced = agent.incarnation != event.incarnation;
  if (replaced) {
    agent.pending_cancels.clear();
    agent.load = {};
  }
  agent.up = true;
  agent.incarnation = event.incarnation;
  agent.down_at.reset();
  agent.ordered_since_load = 0;
  for (const attempt_id& id : agent.pending_cancels) {
    cancel_order order;
    order.request = id.request;
    order.attempt = id.attempt;
    Send(event.backend, order);
  }
  const std::vector<request_id> users(agent.users.begin(), agent.users.end());
  for (const request_id& id : users) {
    request* affected = Find(id);
    if (replaced && affected != nullptr) {
      MarkQuotesUnanswered(*affected, event.backend);
    }
    for (const work_kind kind : {work_kind::kDecode, work_kind::kPrefill}) {
      request* r = Find(id);
      if (r == nullptr) {
        break;
      }
      std::optional<part>& held = kind == work_kind::kPrefill ? r->prefill : r->reservation;
      if (!held.has_value() || held->backend != event.backend) {
        continue;
      }
      if (held->incarnation != event.incarnation) {
        HandlePartLoss(*r, held->kind, "the agent was restarted");
      } else if (held->ordered()) {
        Reconnect(*r, *held);
      }
    }
    if (request* remaining = Find(id)) {
      ScheduleTimer(*remaining);
    }
  }
}

void entry_core::state::HandleAgentDown(const agent_down& event) {
  const auto found = agents.find(event.backend);
  if (found == agents.end() || !found->second.up) {
    return;
  }
  found->second.up = false;
  found->second.down_at = now;
  if (!found->second.pending_cancels.empty() && !retry_cancels_at.has_value()) {
    retry_cancels_at = now + policy.lease;
  }
  const std::vector<request_id> users(found->second.users.begin(), found->second.users.end());
  for (const request_id& id : users) {
    request* r = Find(id);
    if (r == nullptr) {
      continue;
    }
    for (std::optional<part>* held : {&r->reservation, &r->prefill}) {
      if (held->has_value() && (*held)->backend == event.backend && (*held)->ordered()) {
        (*held)->disconnected_at = now;
      }
    }
    MarkQuotesUnanswered(*r, event.backend);
    if (request* remaining = Find(id)) {
      ScheduleTimer(*remaining);
    }
  }
}

/// Replies and offers of an agent are invalid once its connection is lost.
void entry_core::state::MarkQuotesUnanswered(request& r, const std::string& backend) {
  if (!r.active_search.has_value()) {
    return;
  }
  for (quote& candidate : r.active_search->quotes) {
    const bool declined = candidate.state == quote_state::kRefused;
    if (candidate.backend == backend && !declined) {
      candidate.state = quote_state::kNoReply;
    }
  }
  UpdateSearch(r);
}

/// The same incarnation has reconnected: requests what was missed. For a request that is not
/// idempotent, seals the attempt to learn whether it started.
void entry_core::state::Reconnect(request& r, part& p) {
  p.disconnected_at.reset();
  p.last_progress = now;
  p.probes = 0;
  if (p.kind == work_kind::kPrefill && r.kv.has_value()) {
    return;
  }
  if (!r.submitted.repeatable) {
    SendSeal(p, r.submitted.id);
    return;
  }
  if (p.phase == part_phase::kOrdered) {
    SendStart(r, p);
  }
  SendResume(r, p);
}

/// No progress of a part for the length of a lease: probes the agent, then treats the part as lost.
void entry_core::state::Probe(request& r, part& p) {
  if (p.probes >= kMaxProbes) {
    HandlePartLoss(r, p.kind, "no progress and no reply");
    return;
  }
  ++p.probes;
  p.last_progress = now;
  if (p.probes == 1) {
    SendResume(r, p);
  } else {
    SendSeal(p, r.submitted.id);
  }
}

void entry_core::state::SendResume(const request& r, const part& p) {
  resume ask;
  ask.request = r.submitted.id;
  ask.attempt = p.attempt;
  ask.next_offset = p.kind == work_kind::kDecode ? r.answer.next_offset() : 0;
  Send(p.backend, ask);
}

void entry_core::state::SendSeal(const part& p, const request_id& id) {
  seal ask;
  ask.request = id;
  ask.attempt = p.attempt;
  Send(p.backend, ask);
}

void entry_core::state::HandlePartLoss(request& r, work_kind kind, const std::string& detail) {
  std::optional<part>& lost = kind == work_kind::kPrefill ? r.prefill : r.reservation;
  if (kind == work_kind::kPrefill && r.kv.has_value()) {
    // The engine may still hold the KV cache. If it does not, the transfer fails.
    DropPart(r, lost);
    return;
  }
  HandlePartFailure(r, kind, run_state::kUnknown, detail, {});
}

/// \remark Not called for messages of another incarnation than the one that issued the grant.
void entry_core::state::HandleSealed(request& r, part& p, run_state ran) {
  const bool proof = p.phase == part_phase::kOrdered && p.grant.incarnation == p.incarnation;
  switch (ran) {
    case run_state::kRunning:
    case run_state::kFinished:
      p.phase = part_phase::kStarted;
      SendResume(r, p);
      return;
    case run_state::kNotRun:
      HandlePartFailure(r, p.kind, proof ? run_state::kNotRun : run_state::kUnknown,
                        "sealed before it started",
                        {.reason = refusal_reason::kSealed, .retry_after = policy.reply_timeout});
      return;
    default:
      HandlePartFailure(r, p.kind, run_state::kUnknown, "the agent does not know how far it came",
                        {});
  }
}

void entry_core::state::CancelAttempt(const std::string& backend, incarnation_id incarnation,
                                      const attempt_id& id) {
  const auto found = agents.find(backend);
  if (found == agents.end() || found->second.incarnation != incarnation) {
    return;
  }
  found->second.pending_cancels.insert(id);
  if (!retry_cancels_at.has_value()) {
    retry_cancels_at = now + policy.lease;
  }
  SendCancel(backend, id);
}

void entry_core::state::SendCancel(const std::string& backend, const attempt_id& id) {
  cancel_order order;
  order.request = id.request;
  order.attempt = id.attempt;
  Send(backend, order);
}

void entry_core::state::RetryCancels() {
  retry_cancels_at.reset();
  ForgetDisconnectedAgents();
  for (const auto& [backend, agent] : agents) {
    for (const attempt_id& id : agent.pending_cancels) {
      retry_cancels_at = now + policy.lease;
      SendCancel(backend, id);
    }
  }
}

/// An agent cancels the work of an entry when its lease expires. After two leases without a
/// connection there is nothing left to cancel.
void entry_core::state::ForgetDisconnectedAgents() {
  for (auto& [backend, agent] : agents) {
    if (!agent.up && agent.down_at.has_value() && *agent.down_at + (2 * policy.lease) <= now) {
      agent.pending_cancels.clear();
    }
  }
}

}  // namespace jacinthspool
