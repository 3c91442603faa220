#include "jacinthspool/impl/agent_core.h"

#include <algorithm>
#include <utility>

#include "src/coordination/agent_state.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kPrefixBlocks = 65536;

void KeepEarlier(std::optional<instant>& next, std::optional<instant> other) {
  if (other && (!next || *other < *next)) {
    next = other;
  }
}

}  // namespace

agent_core::state::state(options initial)
    : config(std::move(initial)),
      policy(config.policy),
      grants(config.incarnation),
      ledger({.retention = policy.key_retained,
              .started = config.started.value_or(instant{}),
              .started_wall = config.started_wall,
              .clock_skew = policy.clock_skew}),
      memory(policy.pieces),
      leases(policy.lease),
      prefills({.capacity = policy.max_queued}),
      prefixes(kPrefixBlocks) {
  ApplyPolicy();
}

void agent_core::state::Advance(instant time) {
  now = std::max(now, time);
  if (!received_event) {
    received_event = true;
    if (!config.started) {
      ledger.set_started(now);
    }
  }
  Expire();
  const bool waiting = policy.kind == work_kind::kPrefill && prefills.size() > 0;
  const bool replan = next_replan && *next_replan <= now;
  dispatch_needed = dispatch_needed || waiting || replan;
}

void agent_core::state::Apply(agent_event event) {
  std::visit([this](auto& received) { On(std::move(received)); }, event);
  if (dispatch_needed) {
    dispatch_needed = false;
    Dispatch();
    SendSeatUpdates();
  }
}

std::optional<instant> agent_core::state::NextWakeup() const {
  std::optional<instant> next = grants.next_expiry();
  KeepEarlier(next, leases.next_check());
  KeepEarlier(next, ledger.next_expiry());
  KeepEarlier(next, next_replan);
  if (!timeouts.empty()) {
    KeepEarlier(next, timeouts.begin()->first);
  }
  if (backend_up) {
    KeepEarlier(next, prefills.next_eligible(now));
  }
  return next;
}

agent_load agent_core::state::Load() const {
  const bool prefill = policy.kind == work_kind::kPrefill;
  agent_load load;
  load.pieces_total = memory.total();
  load.pieces_held = memory.held();
  load.pieces_granted = memory.granted();
  load.running = static_cast<std::uint32_t>(running.size());
  load.queued = static_cast<std::uint32_t>(prefill ? prefills.size() : reservations.size());
  if (prefill) {
    load.queue_wait = std::max(engine_free - now, microseconds::zero()) + prefills.work();
  } else {
    load.queue_wait = QuoteReservation({}).start_in;
  }
  load.leaving = leaving;
  load.backend_up = backend_up;
  return load;
}

agent_core::agent_core(options settings) : state_(std::make_unique<state>(std::move(settings))) {}
agent_core::~agent_core() = default;
agent_core::agent_core(agent_core&&) noexcept = default;
agent_core& agent_core::operator=(agent_core&&) noexcept = default;

agent_effects agent_core::Handle(instant now, agent_event event) {
  state_->Advance(now);
  state_->Apply(std::move(event));
  return std::exchange(state_->effects, {});
}

std::optional<instant> agent_core::next_wakeup() const { return state_->NextWakeup(); }

agent_load agent_core::load(instant now) const {
  state_->now = std::max(state_->now, now);
  return state_->Load();
}

bool agent_core::idle() const {
  return state_->grants.size() == 0 && state_->running.empty() && state_->reservations.empty() &&
         state_->prefills.size() == 0;
}

std::size_t agent_core::unacknowledged() const {
  const auto& attempts = state_->attempts;
  return static_cast<std::size_t>(
      std::count_if(attempts.begin(), attempts.end(), [](const auto& entry) {
        return entry.second.stage == attempt_stage::kEnded && !entry.second.acknowledged;
      }));
}

}  // namespace jacinthspool
