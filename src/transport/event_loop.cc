#include "src/transport/event_loop.h"

#include <event2/event.h>
#include <event2/util.h>

#include <csignal>
#include <cstdint>
#include <utility>
#include <vector>

#include "src/telemetry/log.h"
#include "src/transport/held_signals.h"

namespace jacinthspool {
namespace {

struct signal_subscription {
  event* source = nullptr;
  std::function<void()> action;
};

/// Forwards libevent's messages to the log.
void LogLibeventMessage(int severity, const char* text) {
  switch (severity) {
    case EVENT_LOG_DEBUG:
      return;
    case EVENT_LOG_MSG:
      Log(log_level::kInfo, "libevent", {{"detail", text}});
      return;
    case EVENT_LOG_WARN:
      Log(log_level::kWarning, "libevent", {{"detail", text}});
      return;
    default:
      Log(log_level::kError, "libevent", {{"detail", text}});
  }
}

event_base* NewBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

struct event_loop::state {
  event_base* base = nullptr;
  event* wake = nullptr;
  std::vector<std::function<void()>> posted;
  std::vector<std::unique_ptr<signal_subscription>> signals;

  static void RunPosted(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    auto* self = static_cast<state*>(context);
    // Actions posted by these actions run in the next iteration.
    std::vector<std::function<void()>> actions = std::exchange(self->posted, {});
    for (const auto& action : actions) {
      action();
    }
  }

  static void RunSignal(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<signal_subscription*>(context)->action();
  }
};

event_loop::event_loop() : state_(std::make_unique<state>()) {
  // A write to a closed socket is reported by its return value instead of a signal.
  (void)std::signal(SIGPIPE, SIG_IGN);
  event_set_log_callback(&LogLibeventMessage);
  state_->base = NewBase();
  state_->wake = evtimer_new(state_->base, &state::RunPosted, state_.get());
}

event_loop::~event_loop() {
  // Destroying an action may destroy objects that post further actions or use the base.
  while (!state_->posted.empty()) {
    std::exchange(state_->posted, {}).clear();
  }
  for (const auto& subscription : state_->signals) {
    event_free(subscription->source);
  }
  event_free(state_->wake);
  event_base_free(state_->base);
}

void event_loop::Run() {
  const signal_release release;
  event_base_loop(state_->base, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::Stop() { event_base_loopbreak(state_->base); }

void event_loop::Post(std::function<void()> action) {
  state_->posted.push_back(std::move(action));
  if (state_->posted.size() == 1) {
    const timeval at_once{};
    evtimer_add(state_->wake, &at_once);
  }
}

void event_loop::OnSignal(int signal_number, std::function<void()> action) {
  auto subscription = std::make_unique<signal_subscription>();
  subscription->action = std::move(action);
  subscription->source =
      evsignal_new(state_->base, signal_number, &state::RunSignal, subscription.get());
  evsignal_add(subscription->source, nullptr);
  state_->signals.push_back(std::move(subscription));
}

event_base* event_loop::base() const { return state_->base; }

}  // namespace jacinthspool
