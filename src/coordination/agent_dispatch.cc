#include <algorithm>
#include <cctype>
#include <memory>
#include <string_view>
#include <utility>

#include "src/coordination/agent_state.h"
#include "src/coordination/from_seconds.h"

/// \file
/// \brief Selects the attempts to send to the backend server.

namespace jacinthspool {
namespace {

/// Ordered work below which a prefill engine gets the next prefill.
constexpr microseconds kEngineBacklog = milliseconds(10);
/// One prefill that runs and one that follows it without idle time.
constexpr std::size_t kMaxOrderedPrefills = 2;
/// The entry is notified when a predicted start moves by more than this.
constexpr microseconds kStartTolerance = milliseconds(25);
constexpr microseconds kReplanInterval = milliseconds(50);
/// Assumed time until an engine confirms the release of an attempt.
constexpr microseconds kExpectedReleaseTime = milliseconds(20);

constexpr std::string_view kKeyField = "Idempotency-Key";

/// \brief Adds the caller's idempotency key to the headers of a call that has none.
void AddKey(const std::string& key, call_request& call) {
  const auto same_name = [](const std::shared_ptr<header_field>& field) {
    return field != nullptr && std::equal(field->name.begin(), field->name.end(), kKeyField.begin(),
                                          kKeyField.end(), [](char left, char right) {
                                            return std::tolower(static_cast<unsigned char>(left)) ==
                                                   std::tolower(static_cast<unsigned char>(right));
                                          });
  };
  if (key.empty() || std::any_of(call.headers.begin(), call.headers.end(), same_name)) {
    return;
  }
  auto field = std::make_shared<header_field>();
  field->name = kKeyField;
  field->value = key;
  call.headers.push_back(std::move(field));
}

}  // namespace

void agent_core::state::Dispatch() {
  next_replan.reset();
  if (!backend_up) {
    return;
  }
  if (policy.kind == work_kind::kPrefill) {
    DispatchPrefills();
  } else {
    DispatchReservations();
  }
}

void agent_core::state::DispatchPrefills() {
  const std::size_t most = std::min<std::size_t>(policy.max_running, kMaxOrderedPrefills);
  while (running.size() < most && (running.empty() || engine_free - now <= kEngineBacklog)) {
    // The next job in order has priority for freed memory: no later job overtakes it.
    const prefill_job* const next = prefills.Peek(now);
    if (next == nullptr || !memory.Hold(next->id)) {
      return;
    }
    const std::optional<prefill_job> job = prefills.Pop(now);
    OrderPrefill(attempts.at(job->id));
  }
  if (running.size() < most && prefills.size() > 0) {
    next_replan = engine_free - kEngineBacklog;
  }
}

void agent_core::state::OrderPrefill(agent_attempt& attempt) {
  engine_free = std::max(engine_free, now) + attempt.run_for;
  LogDecision("prefill_order", attempt.id, attempt.terms.team, config.backend,
              "first in fair-share order",
              {.start_in = {}, .run_for = attempt.run_for, .cached_tokens = attempt.cached_tokens});
  Run(attempt);
  effects.emplace_back(
      order_prefill{.id = attempt.id,
                    .engine_request = std::exchange(attempt.order.engine_request, {}),
                    .priority = attempt.terms.priority});
}

void agent_core::state::DispatchReservations() {
  // Earlier reservations keep their capacity, whether or not they have started.
  auto free_pieces = static_cast<std::int64_t>(memory.free());
  auto free_slots = static_cast<std::int64_t>(FreeCapacity().free_slots);
  std::vector<attempt_id> ready;
  for (const auto& [virtual_start, id] : reservations) {
    const agent_attempt& attempt = attempts.at(id);
    free_pieces -= PiecesOf(attempt.terms);
    free_slots -= 1;
    if (free_pieces < 0 || free_slots < 0) {
      break;
    }
    if (attempt.stage == attempt_stage::kQueued) {
      ready.push_back(id);
    }
  }
  for (const attempt_id& id : ready) {
    OrderReserved(attempts.at(id));
  }
}

void agent_core::state::OrderReserved(agent_attempt& attempt) {
  if (!memory.Hold(attempt.id)) {
    return;
  }
  reservation_shares.AdvanceTo(attempt.virtual_start);
  RemoveReservation(attempt);
  LogDecision("place", attempt.id, attempt.terms.team, config.backend,
              "memory and a batch slot are free");
  Run(attempt);
  start_order& order = attempt.order;
  if (policy.kind == work_kind::kDecode) {
    kv_handle kv = *order.kv;
    kv.expires_in = attempt.kv_expires - now;
    effects.emplace_back(order_decode{.id = attempt.id,
                                      .engine_request = std::exchange(order.engine_request, {}),
                                      .kv = std::move(kv),
                                      .transfer_timeout = policy.transfer_timeout,
                                      .priority = attempt.terms.priority});
    return;
  }
  AddKey(attempt.terms.idempotency_key, *order.call);
  const bool limited = attempt.deadline != instant::max();
  effects.emplace_back(
      order_call{.id = attempt.id,
                 .call = std::move(*order.call),
                 .deadline_in = limited ? attempt.deadline - now : microseconds::zero(),
                 .priority = attempt.terms.priority});
}

void agent_core::state::Run(agent_attempt& attempt) {
  attempt.stage = attempt_stage::kRunning;
  attempt.ordered_at = now;
  running.insert(attempt.id);
  SetDue(attempt, std::nullopt);
}

void agent_core::state::InsertReservation(agent_attempt& attempt) {
  const std::string& team = attempt.terms.team;
  attempt.virtual_start =
      reservation_shares.Charge(team, ReservationWork(attempt.terms, attempt.run_for));
  reservations.emplace(attempt.virtual_start, attempt.id);
  ++reservations_by_team[team];
}

void agent_core::state::RemoveReservation(const agent_attempt& attempt) {
  if (reservations.erase({attempt.virtual_start, attempt.id}) == 0) {
    return;
  }
  const auto position = reservations_by_team.find(attempt.terms.team);
  if (--position->second == 0) {
    reservations_by_team.erase(position);
  }
}

double agent_core::state::ReservationWork(const grant_request& request,
                                          microseconds run_for) const {
  return std::max(PiecesOf(request), 1U) * std::chrono::duration<double>(run_for).count();
}

free_capacity agent_core::state::FreeCapacity() const {
  const auto used = static_cast<std::uint32_t>(running.size());
  return {.free_pieces = memory.free(),
          .free_slots = used < policy.max_running ? policy.max_running - used : 0};
}

std::vector<predicted_release> agent_core::state::PredictedReleases() const {
  std::vector<predicted_release> releases;
  releases.reserve(running.size());
  for (const attempt_id& id : running) {
    const agent_attempt& attempt = attempts.at(id);
    const bool decode = policy.kind == work_kind::kDecode;
    instant end = attempt.ordered_at + attempt.run_for;
    if (decode && attempt.text.count() > 0) {
      const auto remaining = static_cast<std::int64_t>(attempt.terms.output_tokens) -
                             static_cast<std::int64_t>(attempt.text.count());
      end = now + policy.token_time * std::max<std::int64_t>(remaining, 1);
    }
    if (attempt.stage == attempt_stage::kReleasing) {
      end = now + kExpectedReleaseTime;
    }
    releases.push_back(
        {.at = std::max(end, now + milliseconds(1)), .pieces = PiecesOf(attempt.terms)});
  }
  return releases;
}

std::vector<pending_reservation> agent_core::state::PendingReservations() const {
  std::vector<pending_reservation> waiting;
  waiting.reserve(reservations.size() + 1);
  for (const auto& [virtual_start, id] : reservations) {
    const agent_attempt& attempt = attempts.at(id);
    const bool queued = attempt.stage == attempt_stage::kQueued;
    waiting.push_back({.id = id,
                       .pieces = PiecesOf(attempt.terms),
                       .earliest = queued ? now : std::max(attempt.expected_start, now),
                       .run_for = attempt.run_for});
  }
  return waiting;
}

void agent_core::state::SendSeatUpdates() {
  if (policy.kind != work_kind::kDecode || reservations.empty()) {
    return;
  }
  const std::vector<pending_reservation> waiting = PendingReservations();
  const std::vector<instant> plan =
      PlanReservations(now, FreeCapacity(), PredictedReleases(), waiting);
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    agent_attempt& attempt = attempts.at(waiting[index].id);
    if (attempt.stage != attempt_stage::kGranted || plan[index] == instant::max()) {
      continue;
    }
    if (plan[index] > now) {
      next_replan = now + kReplanInterval;
    }
    const instant announced = std::max(attempt.announced_start, now);
    const microseconds moved =
        plan[index] > announced ? plan[index] - announced : announced - plan[index];
    if (moved <= kStartTolerance) {
      continue;
    }
    attempt.announced_start = plan[index];
    seat_update update;
    update.request = attempt.id.request;
    update.attempt = attempt.id.attempt;
    update.seat_in = plan[index] - now;
    Send(attempt.owner, update);
  }
}

std::optional<instant> agent_core::state::EarliestPrefill(const agent_attempt& attempt) const {
  const microseconds usable = policy.kv_life - TransferTime(attempt.terms.prompt_tokens);
  const instant earliest =
      attempt.announced_start - std::max(usable, microseconds::zero()) - attempt.run_for;
  if (earliest <= now) {
    return std::nullopt;
  }
  return earliest;
}

microseconds agent_core::state::TransferTime(std::uint32_t tokens) const {
  return FromSeconds(tokens * policy.kv_bytes_per_token / std::max(policy.link_bytes_per_s, 1.0));
}

}  // namespace jacinthspool
