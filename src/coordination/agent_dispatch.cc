#include <algorithm>
#include <cctype>
#include <memory>
#include <string_view>
#include <utility>

#include "src/coordination/agent_state.h"
#include "src/coordination/from_seconds.h"

/// \file
/// \brief Decides what goes to the backend server, and when.

namespace jacinthspool {
namespace {

/// Work that the prefill engine has in hand before it gets more.
constexpr microseconds kEngineBacklog = milliseconds(10);
/// One that is computed, and one that follows it without a gap.
constexpr std::size_t kPrefillsInHand = 2;
/// A seat that moves by more is told to its entry.
constexpr microseconds kSeatTolerance = milliseconds(25);
constexpr microseconds kReplanEvery = milliseconds(50);
/// Guess for an engine to confirm that it has released an attempt.
constexpr microseconds kReleaseTime = milliseconds(20);

constexpr std::string_view kKeyField = "Idempotency-Key";

/// \brief Passes the caller's idempotency key on to the service, unless the call has it already.
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
    DispatchSeats();
  }
}

void agent_core::state::DispatchPrefills() {
  const std::size_t most = std::min<std::size_t>(policy.max_running, kPrefillsInHand);
  while (running.size() < most && (running.empty() || engine_free - now <= kEngineBacklog)) {
    // The next in order has the first claim on memory that becomes free.
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
  LogDecision("prefill_order", attempt.id, attempt.terms.team, config.backend, "next in its share",
              {.start_in = {}, .run_for = attempt.run_for, .cached_tokens = attempt.cached_tokens});
  Run(attempt);
  effects.emplace_back(
      order_prefill{.id = attempt.id,
                    .engine_request = std::exchange(attempt.order.engine_request, {}),
                    .priority = attempt.terms.priority});
}

void agent_core::state::DispatchSeats() {
  // Room of earlier seats stays reserved for them, whether they have started or not.
  auto free_pieces = static_cast<std::int64_t>(memory.free());
  auto free_places = static_cast<std::int64_t>(RoomNow().free_places);
  std::vector<attempt_id> ready;
  for (const auto& [virtual_start, id] : seats) {
    const agent_attempt& attempt = attempts.at(id);
    free_pieces -= PiecesOf(attempt.terms);
    free_places -= 1;
    if (free_pieces < 0 || free_places < 0) {
      break;
    }
    if (attempt.stage == attempt_stage::kQueued) {
      ready.push_back(id);
    }
  }
  for (const attempt_id& id : ready) {
    OrderSeat(attempts.at(id));
  }
}

void agent_core::state::OrderSeat(agent_attempt& attempt) {
  if (!memory.Hold(attempt.id)) {
    return;
  }
  seat_shares.Serve(attempt.virtual_start);
  RemoveSeat(attempt);
  LogDecision("place", attempt.id, attempt.terms.team, config.backend, "its room is free");
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
  attempt.began = now;
  running.insert(attempt.id);
  SetDue(attempt, std::nullopt);
}

void agent_core::state::InsertSeat(agent_attempt& attempt) {
  const std::string& team = attempt.terms.team;
  attempt.virtual_start = seat_shares.Charge(team, SeatWork(attempt.terms, attempt.run_for));
  seats.emplace(attempt.virtual_start, attempt.id);
  ++seats_of_team[team];
}

void agent_core::state::RemoveSeat(const agent_attempt& attempt) {
  if (seats.erase({attempt.virtual_start, attempt.id}) == 0) {
    return;
  }
  const auto position = seats_of_team.find(attempt.terms.team);
  if (--position->second == 0) {
    seats_of_team.erase(position);
  }
}

double agent_core::state::SeatWork(const grant_request& request, microseconds run_for) const {
  return std::max(PiecesOf(request), 1U) * std::chrono::duration<double>(run_for).count();
}

seat_room agent_core::state::RoomNow() const {
  const auto used = static_cast<std::uint32_t>(running.size());
  return {.free_pieces = memory.free(),
          .free_places = used < policy.max_running ? policy.max_running - used : 0};
}

std::vector<predicted_release> agent_core::state::Releases() const {
  std::vector<predicted_release> releases;
  releases.reserve(running.size());
  for (const attempt_id& id : running) {
    const agent_attempt& attempt = attempts.at(id);
    const bool decode = policy.kind == work_kind::kDecode;
    instant end = attempt.began + attempt.run_for;
    if (decode && attempt.text.count() > 0) {
      const auto left = static_cast<std::int64_t>(attempt.terms.output_tokens) -
                        static_cast<std::int64_t>(attempt.text.count());
      end = now + policy.token_time * std::max<std::int64_t>(left, 1);
    }
    if (attempt.stage == attempt_stage::kReleasing) {
      end = now + kReleaseTime;
    }
    releases.push_back(
        {.at = std::max(end, now + milliseconds(1)), .pieces = PiecesOf(attempt.terms)});
  }
  return releases;
}

std::vector<waiting_seat> agent_core::state::Seats() const {
  std::vector<waiting_seat> waiting;
  waiting.reserve(seats.size() + 1);
  for (const auto& [virtual_start, id] : seats) {
    const agent_attempt& attempt = attempts.at(id);
    const bool queued = attempt.stage == attempt_stage::kQueued;
    waiting.push_back({.id = id,
                       .pieces = PiecesOf(attempt.terms),
                       .earliest = queued ? now : std::max(attempt.expected, now),
                       .run_for = attempt.run_for});
  }
  return waiting;
}

void agent_core::state::TellSeats() {
  if (policy.kind != work_kind::kDecode || seats.empty()) {
    return;
  }
  const std::vector<waiting_seat> waiting = Seats();
  const std::vector<instant> plan = PlanSeats(now, RoomNow(), Releases(), waiting);
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    agent_attempt& attempt = attempts.at(waiting[index].id);
    if (attempt.stage != attempt_stage::kGranted || plan[index] == instant::max()) {
      continue;
    }
    if (plan[index] > now) {
      next_replan = now + kReplanEvery;
    }
    const instant told = std::max(attempt.told_seat, now);
    const microseconds moved = plan[index] > told ? plan[index] - told : told - plan[index];
    if (moved <= kSeatTolerance) {
      continue;
    }
    attempt.told_seat = plan[index];
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
      attempt.told_seat - std::max(usable, microseconds::zero()) - attempt.run_for;
  if (earliest <= now) {
    return std::nullopt;
  }
  return earliest;
}

microseconds agent_core::state::TransferTime(std::uint32_t tokens) const {
  return FromSeconds(tokens * policy.kv_bytes_per_token / std::max(policy.link_bytes_per_s, 1.0));
}

}  // namespace jacinthspool
