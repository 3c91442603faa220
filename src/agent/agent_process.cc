#include "src/agent/agent_process.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>
#include <variant>

#include "src/agent/agent_settings.h"
#include "src/settings/finding_log.h"
#include "src/telemetry/decision_log.h"
#include "src/telemetry/log.h"
#include "src/transport/incarnation.h"

namespace jacinthspool {
namespace {

/// Orders are held back if the core last read the clock longer ago than this: the process was
/// suspended in between, and the work may have expired.
constexpr microseconds kMaxClockAge = milliseconds(50);
/// Time between the end of all work and the exit, in which the last messages are sent.
constexpr microseconds kFlushTime = milliseconds(200);

agent_core::options CoreOptions(const process_settings& process, incarnation_id incarnation) {
  return {
      .incarnation = incarnation,
      .backend = process.backend->name,
      .policy = {},
      .started = boot_clock::now(),
      .started_wall = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now())};
}

}  // namespace

agent_process::agent_process(std::shared_ptr<const process_settings> process,
                             std::string process_file)
    : process_(std::move(process)),
      process_file_(std::move(process_file)),
      incarnation_(NewIncarnation()),
      timers_(loop_),
      client_(loop_),
      core_(CoreOptions(*process_, incarnation_)),
      core_clock_(boot_clock::now()),
      store_({.on_change =
                  [this](const std::shared_ptr<const settings_snapshot>& settings) {
                    ApplySettings(*settings);
                  },
              .on_findings = LogFindings}),
      links_({.store = store_,
              .on_event = [this](const agent_event& event) { HandleEvent(event); }}) {}

bool agent_process::Start(std::string& error) {
  if (!keys_.Load(process_->key_file, error)) {
    return false;
  }
  // No grants until the backend server is known to run no work of an earlier process.
  HandleEvent(backend_report{.up = false});
  peers_ = peer_server::Listen({.loop = loop_,
                                .timers = timers_,
                                .keys = keys_,
                                .address = process_->peer_listen,
                                .identity = {.role = "agent",
                                             .name = process_->backend->name,
                                             .data_centre = process_->data_centre,
                                             .incarnation = incarnation_},
                                .handlers = links_.Handlers()},
                               error);
  if (peers_ == nullptr) {
    return false;
  }
  if (!process_->listen.empty()) {
    http_ = http_server::Listen(
        {.loop = loop_,
         .address = process_->listen,
         .on_request = [this](const std::shared_ptr<http_exchange>& exchange) { Serve(exchange); }},
        error);
    if (http_ == nullptr) {
      return false;
    }
  }
  loop_.OnSignal(SIGTERM, [this] { StartPlannedStop(); });
  loop_.OnSignal(SIGINT, [this] { StartPlannedStop(); });
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  source_ =
      std::make_unique<settings_source>(settings_source::options{.loop = loop_,
                                                                 .timers = timers_,
                                                                 .client = client_,
                                                                 .store = store_,
                                                                 .process = process_,
                                                                 .process_file = process_file_});
  vms_ = std::make_unique<vm_watch>(vm_watch::options{
      .timers = timers_,
      .client = client_,
      .address = process_->vm_list,
      .names = {process_->name, process_->backend->name},
      .on_state = [this](bool leaving) { SetDraining(drain_reason::kVmList, leaving); }});
  Log(log_level::kInfo, "agent_started",
      {{"backend", process_->backend->name},
       {"incarnation", incarnation_},
       {"peer_listen", process_->peer_listen}});
  return true;
}

void agent_process::Run() { loop_.Run(); }

void agent_process::HandleEvent(const agent_event& event) {
  core_clock_ = boot_clock::now();
  metrics_.RecordEvent(core_clock_, event);
  effects_.Add(core_.Handle(core_clock_, event));
  if (executing_) {
    return;
  }
  executing_ = true;
  ExecuteEffects();
  executing_ = false;
  ScheduleWakeup();
  StopWhenIdle();
}

void agent_process::ExecuteEffects() {
  while (!effects_.empty()) {
    if (ClockIsStaleFor(effects_.front())) {
      // Process expiry first: the core may withdraw queued orders.
      core_clock_ = boot_clock::now();
      effects_.Add(core_.Handle(core_clock_, time_passed{}));
      continue;
    }
    const agent_effect effect = effects_.Pop();
    std::visit([this](const auto& chosen) { Execute(chosen); }, effect);
  }
}

bool agent_process::ClockIsStaleFor(const agent_effect& effect) const {
  return OrderedAttempt(effect).has_value() && boot_clock::now() - core_clock_ > kMaxClockAge;
}

void agent_process::Execute(const send_to_entry& effect) { links_.Send(effect.entry, effect.body); }

void agent_process::Execute(const order_prefill& order) {
  metrics_.RecordOrder(core_clock_, order.id);
  std::visit([&](const auto& client) { client->Prefill(order); }, *backend_);
}

void agent_process::Execute(const order_decode& order) {
  metrics_.RecordOrder(core_clock_, order.id);
  std::visit([&](const auto& client) { client->Decode(order); }, *backend_);
}

void agent_process::Execute(const order_call& order) {
  metrics_.RecordOrder(core_clock_, order.id);
  std::visit([&](const auto& client) { client->Call(order); }, *backend_);
}

void agent_process::Execute(const order_release& order) {
  std::visit([&](const auto& client) { client->Release(order); }, *backend_);
}

void agent_process::Execute(const log_decision& effect) {
  metrics_.Count(effect.made);
  LogDecision(effect.made);
}

void agent_process::ScheduleWakeup() {
  const std::optional<instant> next = core_.next_wakeup();
  if (next == scheduled_wakeup_) {
    return;
  }
  scheduled_wakeup_ = next;
  if (!next) {
    wakeup_timer_.Cancel();
    return;
  }
  const microseconds delay = std::max(*next - boot_clock::now(), microseconds::zero());
  wakeup_timer_ = timers_.After(delay, [this](instant) {
    scheduled_wakeup_.reset();
    HandleEvent(time_passed{});
  });
}

void agent_process::ApplySettings(const settings_snapshot& settings) {
  const std::string& backend = process_->backend->name;
  const timing_settings& timing = *settings.operators->timing;
  const pool_settings* const pool = settings.FindPoolOfBackend(backend);
  agent_policy policy = PolicyFor(settings, backend);
  engine_timeout_ = milliseconds(timing.engine_timeout_ms);
  links_.set_resync(milliseconds(timing.resync_ms));
  if (pool == nullptr) {
    Log(log_level::kWarning, "finding",
        {{"place", "operators:pools"}, {"text", "no pool holds backend server " + backend}});
  } else if (!kind_) {
    OpenBackend(KindOf(*pool));
  }
  if (kind_ && policy.kind != *kind_) {
    // Running work is of the old kind; the new kind takes effect after a restart.
    Log(log_level::kWarning, "finding",
        {{"place", "operators:pools"},
         {"text", "the pool's kind has changed; restart the agent to apply it"}});
    policy.kind = *kind_;
    policy.shares.clear();
  }
  if (backend_) {
    std::visit([&](const auto& client) { client->set_timeout(engine_timeout_); }, *backend_);
  }
  HandleEvent(policy_changed{.policy = std::move(policy)});
  SetDraining(drain_reason::kSettings, IsLeaving(settings, backend));
  const microseconds heartbeat_interval = milliseconds(timing.heartbeat_ms);
  if (heartbeat_interval != heartbeat_interval_) {
    heartbeat_interval_ = heartbeat_interval;
    heartbeat_timer_ = timers_.Every(heartbeat_interval_, [this](instant) { SendHeartbeats(); });
  }
}

void agent_process::OpenBackend(work_kind kind) {
  kind_ = kind;
  backend_options options{.loop = loop_,
                          .timers = timers_,
                          .client = client_,
                          .address = process_->backend->address,
                          .incarnation = incarnation_,
                          .timeout = engine_timeout_,
                          .on_event =
                              [this](const agent_event& event) {
                                const bool report = std::holds_alternative<backend_report>(event);
                                if (!superseded_ || !report) {
                                  HandleEvent(event);
                                }
                              },
                          .on_superseded = [this] { OnSuperseded(); }};
  if (kind == work_kind::kCall) {
    backend_.emplace(std::make_unique<service_client>(std::move(options)));
  } else {
    backend_.emplace(std::make_unique<engine_client>(std::move(options)));
  }
}

void agent_process::OnSuperseded() {
  if (std::exchange(superseded_, true)) {
    return;
  }
  Log(log_level::kError, "superseded",
      {{"text", "a newer agent controls this backend server; this agent accepts no new work"}});
  loop_.Post([this] { HandleEvent(backend_report{.up = false}); });
}

void agent_process::SetDraining(drain_reason reason, bool leaving) {
  if (!drain_.Set(reason, leaving)) {
    return;
  }
  HandleEvent(draining_changed{.leaving = drain_.leaving()});
  SendHeartbeats();
}

void agent_process::StartPlannedStop() {
  Log(log_level::kInfo, "stop_requested", nlohmann::json::object());
  SetDraining(drain_reason::kPlannedStop, true);
  StopWhenIdle();
}

bool agent_process::AllWorkEnded() const {
  if (core_.unacknowledged() > 0) {
    return false;
  }
  if (core_.idle()) {
    return true;
  }
  // A backend server that is down cannot confirm releases, so pending releases are not awaited.
  const agent_load load = core_.load(boot_clock::now());
  const bool busy =
      backend_ && std::visit([](const auto& client) { return client->busy(); }, *backend_);
  return !load.backend_up && !busy && load.queued == 0 && load.pieces_granted == 0;
}

void agent_process::StopWhenIdle() {
  if (!drain_.stopping() || !AllWorkEnded()) {
    stop_timer_.Cancel();
    return;
  }
  if (!stop_timer_.active()) {
    stop_timer_ = timers_.After(kFlushTime, [this](instant) {
      Log(log_level::kInfo, "stopped", nlohmann::json::object());
      loop_.Stop();
    });
  }
}

void agent_process::Reload() {
  std::string error;
  if (!keys_.Load(process_->key_file, error)) {
    Log(log_level::kWarning, "finding", {{"place", process_->key_file}, {"text", error}});
  }
  source_->Reload();
}

void agent_process::SendHeartbeats() { links_.SendHeartbeats(core_.load(boot_clock::now())); }

}  // namespace jacinthspool
