#include "src/gateway/gateway_daemon.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "jacinthspool/routing/planned_stop.h"
#include "src/cli/exit_code.h"
#include "src/coordination/from_seconds.h"
#include "src/gateway/gateway.h"
#include "src/gateway/peer_exchange.h"
#include "src/telemetry/log.h"
#include "src/transport/http1_server.h"
#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kStopCheckPeriod = milliseconds(50);

/// Owns the components of one gateway process.
class gateway_daemon {
 public:
  gateway_daemon(std::shared_ptr<const process_settings> process, std::string process_file,
                 gateway_platform platform)
      : process_(std::move(process)),
        process_file_(std::move(process_file)),
        platform_(std::move(platform)),
        client_({.loop = loop_, .timers = timers_}),
        gateway_({.loop = loop_,
                  .timers = timers_,
                  .client = client_,
                  .dialect = *platform_.dialect,
                  .data_centre = process_->data_centre,
                  .name = process_->name,
                  .started = timer_service::now(),
                  .on_limits = [this](const edge_limits& limits) { callers_->SetLimits(limits); },
                  .confirm_list = [this] { discovery_->ConfirmBackends(); }}) {}

  bool Start(std::string& error) {
    const gateway_settings& settings = *process_->gateway;
    gateway_.ApplySettings(settings);
    callers_ =
        http1_server::Listen({.loop = loop_,
                              .timers = timers_,
                              .address = process_->listen,
                              .on_request =
                                  [this](http1_request request, http1_responder answer) {
                                    gateway_.HandleRequest(std::move(request), std::move(answer));
                                  },
                              .on_held =
                                  [this](const http1_server::held_bytes& held) {
                                    gateway_.bytes().Set(held_kind::kIncoming, held.incoming);
                                    gateway_.bytes().Set(held_kind::kUnsent, held.unsent);
                                  },
                              .may_begin_body =
                                  [this](std::optional<std::uint64_t> length) {
                                    return gateway_.bytes().MayBeginBody(length);
                                  }},
                             error);
    ready_ =
        !callers_
            ? nullptr
            : http1_server::Listen(
                  {.loop = loop_,
                   .timers = timers_,
                   .address = settings.ready_listen,
                   .on_request =
                       [this](const http1_request& /*request*/, http1_responder answer) {
                         std::move(answer).Reply(
                             ready() ? http_status::kOk : http_status::kServiceUnavailable, {}, "");
                       }},
                  error);
    peers_ = std::make_unique<peer_exchange>(
        peer_exchange::options{.loop = loop_,
                               .timers = timers_,
                               .client = client_,
                               .owner = gateway_,
                               .listen = settings.snapshot_listen,
                               .name = process_->name,
                               .peers = process_->peers,
                               .read_backend = [this](const std::string& id, auto on_read) {
                                 discovery_->ReadBackend(id, std::move(on_read));
                               }});
    if (!callers_ || !ready_ || !peers_->Start(error) || !StartMetrics(settings, error)) {
      return false;
    }
    discovery_ =
        platform_.open_discovery({.loop = loop_,
                                  .timers = timers_,
                                  .publisher = settings.publisher,
                                  .change_bound = FromMilliseconds(settings.change_bound_ms),
                                  .heartbeat = FromMilliseconds(settings.heartbeat_ms),
                                  .confirm_bound = FromMilliseconds(settings.key_bound_ms)});
    discovery_->Start(gateway_);
    loop_.OnSignal(SIGTERM, [this] { Stop(); });
    loop_.OnSignal(SIGHUP, [this] { Reload(); });
    Log(log_level::kInfo, "started",
        {{"role", "gateway"}, {"listen", process_->listen}, {"publisher", settings.publisher}});
    return true;
  }

  void Run() { loop_.Run(); }

 private:
  [[nodiscard]] bool ready() const { return gateway_.can_route() && !stop_; }

  bool StartMetrics(const gateway_settings& settings, std::string& error) {
    if (settings.metrics_listen.empty()) {
      return true;
    }
    metrics_ = http1_server::Listen(
        {.loop = loop_,
         .timers = timers_,
         .address = settings.metrics_listen,
         .on_request =
             [this](const http1_request& /*request*/, http1_responder answer) {
               gateway_.metrics().Set("gateway_requests_in_progress", {},
                                      static_cast<double>(gateway_.in_progress()));
               gateway_.metrics().Set("gateway_held_answer_bytes", {},
                                      static_cast<double>(gateway_.held_answer_bytes()));
               for (const held_kind kind : {held_kind::kIncoming, held_kind::kRequest,
                                            held_kind::kIncomplete, held_kind::kUnsent}) {
                 gateway_.metrics().Set("gateway_held_bytes",
                                        {{"kind", std::string(ToString(kind))}},
                                        static_cast<double>(gateway_.bytes().held(kind)));
               }
               gateway_.metrics().Set("gateway_byte_budget", {},
                                      static_cast<double>(gateway_.bytes().limit().value_or(0)));
               gateway_.metrics().Set("gateway_bytes_after_end", {},
                                      static_cast<double>(client_.bytes_after_end()));
               gateway_.metrics().Set(
                   "gateway_configuration_age_seconds", {},
                   std::chrono::duration<double>(gateway_.configuration_age(timer_service::now()))
                       .count());
               std::move(answer).Reply(http_status::kOk,
                                       {{"Content-Type", "text/plain; version=0.0.4"}},
                                       gateway_.metrics().Render());
             }},
        error);
    return metrics_ != nullptr;
  }

  void Stop() {
    if (stop_) {
      return;
    }
    const instant begun = timer_service::now();
    stop_.emplace(planned_stop::options{.begun = begun,
                                        .grace = FromSeconds(process_->gateway->stop_grace_s)});
    Log(log_level::kInfo, "stopping",
        {{"in_progress", callers_->in_progress()},
         {"accepts_for_ms", (stop_->accepts_until() - begun) / milliseconds(1)},
         {"answers_for_ms", (stop_->answered_by() - begun) / milliseconds(1)}});
    callers_->CloseAfterAnswers();
    gateway_.BeginStop(*stop_);
    stop_check_ = timers_.Every(kStopCheckPeriod, [this](instant now) { ContinueStop(now); });
  }

  void ContinueStop(instant now) {
    if (now < stop_->accepts_until()) {
      return;
    }
    callers_->StopAccepting();
    gateway_.RejectNewRequests();
    if (now >= stop_->answered_by()) {
      callers_->RejectIncomplete(http_status::kServiceUnavailable);
    }
    if (callers_->closed() || now >= stop_->exits_by()) {
      Log(log_level::kInfo, "stopped",
          {{"in_progress", callers_->in_progress()}, {"open", !callers_->closed()}});
      loop_.Stop();
    }
  }

  /// \param next_start What the next start does if the file stays as it is.
  static void ReportRefused(const findings& found, std::string_view next_start) {
    for (const finding& each : found) {
      Log(log_level::kError, "reload_refused",
          {{"place", each.place}, {"reason", each.text}, {"next_start", next_start}});
    }
  }

  /// Reads the settings file again; settings that need a restart are not applied.
  void Reload() {
    std::ifstream file(process_file_);
    std::stringstream text;
    text << file.rdbuf();
    findings found;
    findings replaced;
    const auto next = ParseProcess(text.str(), process_file_, found, &replaced);
    if (next) {
      CheckRole(*next, process_role::kGateway, process_file_, found);
    }
    ReportRefused(found, "fails");
    ReportRefused(replaced, "uses the default");
    gateway_.metrics().Set("gateway_settings_refused", {},
                           static_cast<double>(found.size() + replaced.size()));
    if (!next || !found.empty() || !replaced.empty()) {
      return;
    }
    process_ = next;
    gateway_.ApplySettings(*process_->gateway);
    Log(log_level::kInfo, "reloaded", {});
  }

  std::shared_ptr<const process_settings> process_;
  std::string process_file_;
  gateway_platform platform_;
  event_loop loop_;
  timer_service timers_{loop_};
  http1_client client_;
  gateway gateway_;
  std::unique_ptr<http1_server> callers_;
  std::unique_ptr<http1_server> ready_;
  std::unique_ptr<http1_server> metrics_;
  std::unique_ptr<peer_exchange> peers_;
  std::unique_ptr<discovery_source> discovery_;
  timer_subscription stop_check_;
  std::optional<planned_stop> stop_;
};

}  // namespace

int RunGateway(std::shared_ptr<const process_settings> process, const std::string& process_file,
               gateway_platform platform) {
  OpenLog({.process = process->name, .file = process->log_file});
  gateway_daemon daemon(std::move(process), process_file, std::move(platform));
  std::string error;
  if (!daemon.Start(error)) {
    std::fprintf(stderr, "%s: %s\n", process_file.c_str(), error.c_str());
    return kExitCannotStart;
  }
  daemon.Run();
  return kExitOk;
}

}  // namespace jacinthspool
