#include "jacinthspool/impl/entry_core.h"

#include <algorithm>
#include <utility>

#include "jacinthspool/impl/overloaded.h"
#include "src/coordination/entry_state.h"

namespace jacinthspool {
namespace {

/// Retry-After of an entry that has reached its limit of requests in progress.
constexpr microseconds kFullEntryRetryAfter = seconds(1);
/// Upper bound of durations reported by other processes.
constexpr microseconds kMaxReportedDuration = std::chrono::hours(1);

}  // namespace

namespace entry_detail {

microseconds ClampReported(microseconds reported) {
  return std::clamp(reported, microseconds::zero(), kMaxReportedDuration);
}

std::string ReasonName(refusal_reason reason) { return wire::EnumNamerefusal_reason(reason); }

}  // namespace entry_detail

entry_core::state::state(options initial)
    : policy(std::move(initial.policy)),
      random(initial.random_seed ^ initial.incarnation),
      budget({.percent = policy.retry_percent}) {}

entry_core::entry_core(options settings) : state_(std::make_unique<state>(std::move(settings))) {}
entry_core::~entry_core() = default;
entry_core::entry_core(entry_core&&) noexcept = default;
entry_core& entry_core::operator=(entry_core&&) noexcept = default;

entry_effects entry_core::Handle(instant now, entry_event event) {
  state& self = *state_;
  self.now = std::max(self.now, now);
  self.HandleTimers();
  std::visit(overloaded{
                 [&](caller_request& submitted) { self.Accept(std::move(submitted)); },
                 [&](const caller_disconnected& gone) { self.CancelRequest(gone.id); },
                 [&](const agent_up& up) { self.HandleAgentUp(up); },
                 [&](const agent_down& down) { self.HandleAgentDown(down); },
                 [&](const agent_message& received) { self.HandleMessage(received); },
                 [&](entry_policy_changed& changed) {
                   self.policy = std::move(changed.policy);
                   self.budget.set_percent(self.policy.retry_percent);
                 },
                 [](const entry_time_passed&) {},
             },
             event);
  return std::exchange(self.effects, {});
}

std::optional<instant> entry_core::next_wakeup() const {
  std::optional<instant> next = state_->retry_cancels_at;
  if (!state_->timers.empty()) {
    const instant first = state_->timers.begin()->first;
    next = std::min(next.value_or(first), first);
  }
  return next;
}

std::size_t entry_core::in_progress() const { return state_->requests.size(); }

bool entry_core::uses(const std::string& backend) const {
  const auto found = state_->agents.find(backend);
  return found != state_->agents.end() &&
         !(found->second.users.empty() && found->second.pending_cancels.empty());
}

bool entry_core::idle() const {
  return state_->requests.empty() &&
         std::all_of(state_->agents.begin(), state_->agents.end(),
                     [](const auto& agent) { return agent.second.pending_cancels.empty(); });
}

void entry_core::state::HandleTimers() {
  while (!timers.empty() && timers.begin()->first <= now) {
    const request_id id = timers.begin()->second;
    timers.erase(timers.begin());
    request* r = Find(id);
    if (r == nullptr) {
      continue;
    }
    r->timer_at.reset();
    HandleTimer(*r);
  }
  if (retry_cancels_at.has_value() && *retry_cancels_at <= now) {
    RetryCancels();
  }
}

/// Handles the first event that is due; ScheduleTimer schedules the others.
void entry_core::state::HandleTimer(request& r) {
  const request_id id = r.submitted.id;
  if (r.retry_at.has_value() && *r.retry_at <= now) {
    r.retry_at.reset();
    Advance(r);
  } else if (r.active_search.has_value() && r.active_search->answer_by <= now) {
    UpdateSearch(r);
  } else {
    for (std::optional<part>* held : {&r.reservation, &r.prefill}) {
      if (!held->has_value()) {
        continue;
      }
      part& p = **held;
      const std::optional<instant> due = DueOf(r, p);
      if (!due.has_value() || *due > now) {
        continue;
      }
      if (!p.ordered()) {
        RefreshReservation(r);
      } else if (p.disconnected_at.has_value()) {
        HandlePartLoss(r, p.kind, "agent not back within its lease");
      } else {
        Probe(r, p);
      }
      break;
    }
  }
  if (request* remaining = Find(id)) {
    ScheduleTimer(*remaining);
  }
}

std::optional<instant> entry_core::state::DueOf(const request& r, const part& p) const {
  if (!p.ordered()) {
    return p.refresh_at;
  }
  if (p.kind == work_kind::kPrefill && r.kv.has_value()) {
    return std::nullopt;
  }
  return p.disconnected_at.value_or(p.last_progress) + policy.lease;
}

std::optional<instant> entry_core::state::DueOf(const request& r) const {
  std::optional<instant> due = r.retry_at;
  const auto take = [&due](std::optional<instant> other) {
    if (other.has_value()) {
      due = std::min(due.value_or(*other), *other);
    }
  };
  if (r.active_search.has_value()) {
    take(r.active_search->answer_by);
  }
  if (r.reservation.has_value()) {
    take(DueOf(r, *r.reservation));
  }
  if (r.prefill.has_value()) {
    take(DueOf(r, *r.prefill));
  }
  return due;
}

/// An earlier timer is left in place: when it fires, nothing is due and it is rescheduled. This
/// avoids a timer update for each piece of a stream.
void entry_core::state::ScheduleTimer(request& r) {
  std::optional<instant> due = DueOf(r);
  if (!due.has_value() || (r.timer_at.has_value() && *r.timer_at <= *due)) {
    return;
  }
  due = std::max(*due, now + microseconds(1));
  if (r.timer_at.has_value()) {
    timers.erase({*r.timer_at, r.submitted.id});
  }
  r.timer_at = due;
  timers.emplace(*due, r.submitted.id);
}

void entry_core::state::Accept(caller_request submitted) {
  const request_id id = submitted.id;
  if (requests.contains(id)) {
    return;
  }
  if (requests.size() >= policy.max_requests) {
    request refused_one(std::move(submitted), now);
    Log(refused_one, "refuse", "", "too many requests in progress");
    Deliver(deliver_not_run{
        .id = id, .reason = refusal_reason::kQueueFull, .retry_after = kFullEntryRetryAfter});
    return;
  }
  request& r = requests.emplace(id, request(std::move(submitted), now)).first->second;
  const bool known = FindPool(r.submitted.pool) != nullptr &&
                     (r.is_call() || FindPool(r.submitted.prefill_pool) != nullptr);
  if (!known) {
    GiveUp(r, "unknown pool", {.reason = refusal_reason::kNotAllowed});
    return;
  }
  Advance(r);
  if (request* remaining = Find(id)) {
    ScheduleTimer(*remaining);
  }
}

void entry_core::state::CancelRequest(const request_id& id) {
  request* r = Find(id);
  if (r == nullptr) {
    return;
  }
  Log(*r, "cancel", "", "caller has gone");
  DropParts(*r);
  Erase(*r);
}

entry_core::state::request* entry_core::state::Find(const request_id& id) {
  const auto found = requests.find(id);
  return found == requests.end() ? nullptr : &found->second;
}

const pool_view* entry_core::state::FindPool(const std::string& name) const {
  const auto found = std::find_if(policy.pools.begin(), policy.pools.end(),
                                  [&](const pool_view& pool) { return pool.name == name; });
  return found == policy.pools.end() ? nullptr : &*found;
}

const pool_view* entry_core::state::PoolFor(const request& r, work_kind kind) const {
  return FindPool(kind == work_kind::kPrefill ? r.submitted.prefill_pool : r.submitted.pool);
}

bool entry_core::state::IsUp(const std::string& backend, incarnation_id incarnation) const {
  const auto found = agents.find(backend);
  return found != agents.end() && found->second.up && found->second.incarnation == incarnation;
}

bool entry_core::state::ReservesFirst() const {
  return !std::holds_alternative<prefill_first_policy>(policy.routing);
}

void entry_core::state::Send(const std::string& backend, message body) {
  const auto found = agents.find(backend);
  if (found != agents.end() && found->second.up) {
    effects.emplace_back(send_to_agent{.backend = backend, .body = std::move(body)});
  }
}

void entry_core::state::Log(const request& r, std::string event, std::string choice,
                            std::string reason, std::vector<decision_candidate> candidates) {
  effects.emplace_back(log_entry_decision{.made = {.event = std::move(event),
                                                   .request = r.submitted.id,
                                                   .attempt = r.attempt,
                                                   .team = r.submitted.team,
                                                   .candidates = std::move(candidates),
                                                   .choice = std::move(choice),
                                                   .reason = std::move(reason)}});
}

void entry_core::state::AddUser(const request& r, const std::string& backend) {
  agents[backend].users.insert(r.submitted.id);
}

/// Called when a part or a quote at the agent has ended.
void entry_core::state::RemoveUser(const request& r, const std::string& backend) {
  const auto still = [&backend](const std::optional<part>& p) {
    return p.has_value() && p->backend == backend;
  };
  const auto found = agents.find(backend);
  if (found != agents.end() && !still(r.reservation) && !still(r.prefill)) {
    found->second.users.erase(r.submitted.id);
  }
}

microseconds entry_core::state::TimeUntil(instant then) const {
  return std::max(microseconds::zero(), then - now);
}

}  // namespace jacinthspool
