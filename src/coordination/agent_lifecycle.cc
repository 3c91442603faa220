#include <algorithm>
#include <utility>
#include <vector>

#include "src/coordination/agent_state.h"

/// \file
/// \brief Policy changes, and expiry, cancellation and removal of attempts.

namespace jacinthspool {
namespace {

constexpr double kPercent = 100.0;

}  // namespace

void agent_core::state::On(const policy_changed& event) {
  policy = event.policy;
  ApplyPolicy();
  dispatch_needed = true;
}

void agent_core::state::On(const draining_changed& event) {
  if (leaving == event.leaving) {
    return;
  }
  leaving = event.leaving;
  LogDecision("leaving", {}, "", leaving ? "takes no new work" : "takes new work", "");
}

void agent_core::state::On(const time_passed& /*event*/) {}

void agent_core::state::ApplyPolicy() {
  memory.set_total(policy.pieces);
  leases.set_lease(policy.lease);
  prefills.set_capacity(policy.max_queued);
  ledger.set_retention(policy.key_retained);
  prefills.shares().ClearWeights();
  reservation_shares.ClearWeights();
  for (const agent_policy::team_share& share : policy.shares) {
    prefills.shares().SetWeight(share.team, share.percent / kPercent);
    reservation_shares.SetWeight(share.team, share.percent / kPercent);
  }
}

void agent_core::state::Expire() {
  ledger.Expire(now);
  for (const incarnation_id entry : leases.Expire(now)) {
    LoseLease(entry);
  }
  for (const attempt_id& id : grants.Expire(now)) {
    if (agent_attempt* const attempt = Find(id)) {
      LogDecision("expired", id, attempt->terms.team, "drop",
                  "the grant expired before a start order arrived");
      RemoveFromQueues(*attempt);
      Erase(id);
    }
  }
  while (!timeouts.empty() && timeouts.begin()->first <= now) {
    agent_attempt& attempt = attempts.at(timeouts.begin()->second);
    SetDue(attempt, std::nullopt);
    ExpireDue(attempt);
  }
}

void agent_core::state::ExpireDue(agent_attempt& attempt) {
  switch (attempt.stage) {
    case attempt_stage::kQueued: {
      const bool decode = policy.kind == work_kind::kDecode;
      WithdrawQueued(attempt, decode ? "the KV cache expired before its room was free"
                                     : "the deadline passed in the queue");
      return;
    }
    case attempt_stage::kReleasing:
      StartRelease(attempt);
      return;
    case attempt_stage::kEnded:
      ExpireEnded(attempt);
      return;
    case attempt_stage::kGranted:
    case attempt_stage::kRunning:
      return;
  }
}

void agent_core::state::ExpireEnded(agent_attempt& attempt) {
  // The engine frees a KV cache by itself when it expires.
  memory.ConfirmReleased(attempt.id);
  dispatch_needed = true;
  if (attempt.acknowledged || attempt.retained_until <= now) {
    Erase(attempt.id);
    return;
  }
  SetDue(attempt, attempt.retained_until);
}

void agent_core::state::LoseLease(incarnation_id entry) {
  connected.erase(entry);
  const auto position = owned.find(entry);
  if (position == owned.end()) {
    return;
  }
  const attempt_set lost = position->second;
  for (const attempt_id& id : lost) {
    agent_attempt& attempt = attempts.at(id);
    LogDecision("lease_lost", id, attempt.terms.team, "cancel",
                "no message from the entry within its lease");
    attempt.acknowledged = true;
    Stop(attempt);
  }
}

void agent_core::state::Stop(agent_attempt& attempt) {
  const attempt_id id = attempt.id;
  switch (attempt.stage) {
    case attempt_stage::kGranted:
      DropGrant(attempt, refusal_reason::kSealed);
      break;
    case attempt_stage::kQueued:
      ledger.Withdraw(now, id);
      RemoveFromQueues(attempt);
      break;
    case attempt_stage::kRunning:
      attempt.final_state = run_state::kUnknown;
      attempt.final_message.reset();
      StartRelease(attempt);
      return;
    case attempt_stage::kReleasing:
      return;
    case attempt_stage::kEnded:
      if (attempt.kv_expires != instant::max() && attempt.kv_expires > now &&
          policy.kind == work_kind::kPrefill) {
        StartRelease(attempt);
        return;
      }
      break;
  }
  if (agent_attempt* const remaining = Find(id)) {
    if (remaining->cancel_requested) {
      Send(remaining->owner, MakeCancelled(id));
    }
    Erase(id);
  }
}

void agent_core::state::WithdrawQueued(agent_attempt& attempt, const std::string& why) {
  const attempt_id id = attempt.id;
  ledger.Withdraw(now, id);
  RemoveFromQueues(attempt);
  Send(attempt.owner, MakeFailed(id, run_state::kNotRun, why, RetryAfterFull()));
  LogDecision("withdraw", id, attempt.terms.team, "", why);
  Erase(id);
}

void agent_core::state::WithdrawAllQueued(const std::string& why) {
  std::vector<attempt_id> queued;
  for (const auto& [id, attempt] : attempts) {
    if (attempt.stage == attempt_stage::kQueued) {
      queued.push_back(id);
    }
  }
  std::sort(queued.begin(), queued.end());
  for (const attempt_id& id : queued) {
    WithdrawQueued(attempts.at(id), why);
  }
}

void agent_core::state::StartRelease(agent_attempt& attempt) {
  attempt.stage = attempt_stage::kReleasing;
  running.insert(attempt.id);
  memory.StartRelease(attempt.id);
  SetDue(attempt, now + policy.cancel_retry_interval);
  effects.emplace_back(order_release{.id = attempt.id});
}

void agent_core::state::Released(agent_attempt& attempt) {
  const attempt_id id = attempt.id;
  ledger.End(now, id, attempt.final_state);
  memory.ConfirmReleased(id);
  running.erase(id);
  dispatch_needed = true;
  if (attempt.cancel_requested) {
    Send(attempt.owner, MakeCancelled(id));
    Erase(id);
    return;
  }
  if (attempt.acknowledged || !attempt.final_message) {
    Erase(id);
    return;
  }
  attempt.stage = attempt_stage::kEnded;
  attempt.kv_expires = instant::max();
  attempt.retained_until = now + policy.answer_retained;
  SetDue(attempt, attempt.retained_until);
}

void agent_core::state::DropGrant(agent_attempt& attempt, refusal_reason reason) {
  const attempt_id id = attempt.id;
  const bool cancel_requested = attempt.cancel_requested;
  const incarnation_id owner = attempt.owner;
  grants.Drop(id);
  ledger.Seal(now, id, reason);
  RemoveFromQueues(attempt);
  Erase(id);
  if (cancel_requested) {
    Send(owner, MakeCancelled(id));
  }
}

void agent_core::state::RemoveFromQueues(const agent_attempt& attempt) {
  if (reservations.contains({attempt.virtual_start, attempt.id})) {
    reservation_shares.Refund(attempt.terms.team, ReservationWork(attempt.terms, attempt.run_for));
  }
  RemoveReservation(attempt);
  prefills.Remove(attempt.id);
  memory.Withdraw(attempt.id);
  dispatch_needed = true;
}

void agent_core::state::SetOwner(agent_attempt& attempt, incarnation_id entry) {
  if (attempt.owner == entry) {
    owned[entry].insert(attempt.id);
    return;
  }
  const auto earlier = owned.find(attempt.owner);
  if (earlier != owned.end()) {
    earlier->second.erase(attempt.id);
    if (earlier->second.empty()) {
      owned.erase(earlier);
    }
  }
  attempt.owner = entry;
  owned[entry].insert(attempt.id);
}

void agent_core::state::SetDue(agent_attempt& attempt, std::optional<instant> at) {
  if (attempt.due) {
    timeouts.erase({*attempt.due, attempt.id});
  }
  attempt.due = at;
  if (at) {
    timeouts.emplace(*at, attempt.id);
  }
}

agent_attempt* agent_core::state::Find(attempt_id id) {
  const auto position = attempts.find(id);
  return position == attempts.end() ? nullptr : &position->second;
}

void agent_core::state::Erase(attempt_id id) {
  const auto position = attempts.find(id);
  if (position == attempts.end()) {
    return;
  }
  agent_attempt& attempt = position->second;
  SetDue(attempt, std::nullopt);
  const auto owner_entry = owned.find(attempt.owner);
  if (owner_entry != owned.end()) {
    owner_entry->second.erase(id);
    if (owner_entry->second.empty()) {
      owned.erase(owner_entry);
    }
  }
  attempts.erase(position);
}

}  // namespace jacinthspool
