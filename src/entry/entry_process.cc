#include "src/entry/entry_process.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "src/entry/entry_settings.h"
#include "src/settings/finding_log.h"
#include "src/telemetry/decision_log.h"
#include "src/telemetry/log.h"
#include "src/transport/incarnation.h"

/// \file
/// \brief Events, effects, settings, start and stop of the process; entry_serving.cc serves HTTP
/// requests.

namespace jacinthspool {
namespace {

/// A stream with more unsent bytes is aborted, since its caller reads too slowly.
constexpr std::size_t kMaxQueuedBytes = 4U << 20U;
/// Limit of the HTTP server; `max_body_bytes` can be raised up to it without a restart.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
/// Time between the end of all work and the exit, in which the last messages are sent.
constexpr microseconds kFlushTime = milliseconds(500);

agent_links::timing TimingOf(const timing_settings& settings) {
  return {.heartbeat = milliseconds(settings.heartbeat_ms),
          .lease = milliseconds(settings.lease_ms),
          .resync = milliseconds(settings.resync_ms),
          .connect_timeout = milliseconds(settings.connect_timeout_ms)};
}

}  // namespace

entry_process::entry_process(std::shared_ptr<const process_settings> process,
                             std::string process_file)
    : process_(std::move(process)),
      process_file_(std::move(process_file)),
      incarnation_(NewIncarnation()),
      timers_(loop_),
      client_(loop_),
      core_({.incarnation = incarnation_, .random_seed = incarnation_, .policy = {}}),
      aborter_(timers_),
      store_({.on_change =
                  [this](const std::shared_ptr<const settings_snapshot>& settings) {
                    ApplySettings(settings);
                  },
              .on_findings = LogFindings}),
      settings_(store_.current()),
      tokens_(*settings_) {}

bool entry_process::Start(std::string& error) {
  if (!keys_.Load(process_->key_file, error)) {
    return false;
  }
  http_ = http_server::Listen(
      {.loop = loop_,
       .address = process_->listen,
       .on_request = [this](const std::shared_ptr<http_exchange>& exchange) { Serve(exchange); },
       .max_body_bytes = kMaxBodyBytes},
      error);
  if (http_ == nullptr) {
    return false;
  }
  loop_.OnSignal(SIGTERM, [this] { StartPlannedStop(); });
  loop_.OnSignal(SIGINT, [this] { StartPlannedStop(); });
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  links_ = std::make_unique<agent_links>(agent_links::options{
      .loop = loop_,
      .timers = timers_,
      .keys = keys_,
      .store = store_,
      .identity = {.role = "entry",
                   .name = process_->name,
                   .data_centre = process_->data_centre,
                   .incarnation = incarnation_},
      .bootstrap_peers = process_->peers,
      .on_event = [this](entry_event event) { EnqueueEvent(std::move(event)); },
      .in_use = [this](const std::string& backend) { return core_.uses(backend); }});
  links_->SetAgents({}, TimingOf(*settings_->operators->timing));
  source_ =
      std::make_unique<settings_source>(settings_source::options{.loop = loop_,
                                                                 .timers = timers_,
                                                                 .client = client_,
                                                                 .store = store_,
                                                                 .process = process_,
                                                                 .process_file = process_file_});
  Log(log_level::kInfo, "entry_started",
      {{"listen", process_->listen}, {"port", http_->port()}, {"incarnation", incarnation_}});
  return true;
}

void entry_process::Run() { loop_.Run(); }

void entry_process::EnqueueEvent(entry_event event) {
  pending_events_.push_back(std::move(event));
  if (handling_) {
    return;
  }
  handling_ = true;
  while (!pending_events_.empty()) {
    entry_event next = std::move(pending_events_.front());
    pending_events_.pop_front();
    Handle(std::move(next));
  }
  handling_ = false;
  ScheduleWakeup();
  StopWhenIdle();
}

void entry_process::Handle(entry_event event) {
  if (const auto* received = std::get_if<agent_message>(&event)) {
    if (const auto* done = std::get_if<prefill_done>(&received->body)) {
      metrics_.Prefilled(*done);
    }
  }
  for (const entry_effect& effect : core_.Handle(timer_service::now(), std::move(event))) {
    std::visit([this](const auto& chosen) { Execute(chosen); }, effect);
  }
}

void entry_process::Execute(const send_to_agent& effect) {
  links_->Send(effect.backend, effect.body);
}

void entry_process::Execute(const deliver_piece& effect) {
  const auto found = callers_.find(effect.id);
  if (found == callers_.end()) {
    return;
  }
  metrics_.Piece(timer_service::now(), effect.id);
  found->second.Piece(effect.text);
  if (found->second.exchange()->queued_bytes() > kMaxQueuedBytes) {
    Log(log_level::kWarning, "caller_too_slow", {{"request", ToString(effect.id)}});
    found->second.exchange()->AbortStream();
    DropCaller(effect.id);
  }
}

void entry_process::Execute(const deliver_end& effect) {
  const auto found = callers_.find(effect.id);
  if (found != callers_.end()) {
    found->second.End(effect);
    Finish(effect.id, "done", true);
  }
}

void entry_process::Execute(const deliver_call& effect) {
  const auto found = callers_.find(effect.id);
  if (found != callers_.end()) {
    found->second.Answer(effect);
    Finish(effect.id, "done", true);
  }
}

void entry_process::Execute(const deliver_not_run& effect) {
  Fail(effect.id, "not_run", NotRunError(effect));
}

void entry_process::Execute(const deliver_unknown& effect) {
  Fail(effect.id, "outcome_unknown", UnknownError(effect));
}

void entry_process::Execute(const deliver_failed& effect) {
  Fail(effect.id, "incomplete", FailedError(effect));
}

void entry_process::Execute(const log_entry_decision& effect) {
  metrics_.CountDecision(effect.made);
  LogDecision(effect.made);
}

void entry_process::Fail(const request_id& id, const std::string& outcome, const api_error& error) {
  const auto found = callers_.find(id);
  if (found == callers_.end()) {
    return;
  }
  if (found->second.Fail(error)) {
    aborter_.AbortOnceSent(found->second.exchange());
  }
  Finish(id, outcome, false);
}

void entry_process::Finish(const request_id& id, const std::string& outcome, bool done) {
  metrics_.Finish(timer_service::now(), id, outcome, done);
  Log(log_level::kInfo, "outcome", {{"request", ToString(id)}, {"outcome", outcome}});
  callers_.erase(id);
}

void entry_process::DropCaller(const request_id& id) {
  if (callers_.contains(id)) {
    Finish(id, "caller_gone", false);
  }
  EnqueueEvent(caller_disconnected{id});
}

/// An early wake-up has no effect, so the timer is only moved to earlier times.
void entry_process::ScheduleWakeup() {
  const std::optional<instant> next = core_.next_wakeup();
  if (!next.has_value() || (scheduled_wakeup_.has_value() && *scheduled_wakeup_ <= *next)) {
    return;
  }
  scheduled_wakeup_ = next;
  const microseconds delay = std::max(*next - timer_service::now(), microseconds::zero());
  wakeup_timer_ = timers_.After(delay, [this](instant) {
    scheduled_wakeup_.reset();
    EnqueueEvent(entry_time_passed{});
  });
}

void entry_process::ApplySettings(const std::shared_ptr<const settings_snapshot>& settings) {
  settings_ = settings;
  tokens_ = caller_tokens(*settings);
  entry_policy policy =
      PolicyFor(*settings, {.name = process_->name, .data_centre = process_->data_centre});
  const auto agents = AgentsOf(*settings, policy);
  EnqueueEvent(entry_policy_changed{.policy = std::move(policy)});
  if (links_ != nullptr) {
    links_->SetAgents(agents, TimingOf(*settings->operators->timing));
  }
  Log(log_level::kInfo, "settings_in_force", {{"digest", store_.digest()}});
}

void entry_process::Reload() {
  std::string error;
  if (!keys_.Load(process_->key_file, error)) {
    Log(log_level::kWarning, "finding", {{"place", process_->key_file}, {"text", error}});
  }
  source_->Reload();
}

void entry_process::StartPlannedStop() {
  if (std::exchange(stopping_, true)) {
    return;
  }
  Log(log_level::kInfo, "stop_requested", {{"in_progress", core_.in_progress()}});
  http_->StopAccepting();
  StopWhenIdle();
}

/// Ends the process once no request is in progress and the agents have confirmed all cancellations.
void entry_process::StopWhenIdle() {
  const bool all_work_ended = stopping_ && core_.idle() && callers_.empty() && aborter_.idle();
  if (!all_work_ended) {
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

}  // namespace jacinthspool
