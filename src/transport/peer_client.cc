#include <sodium.h>

#include <algorithm>
#include <utility>

#include "src/telemetry/log.h"
#include "src/transport/peer.h"
#include "src/transport/peer_link.h"

namespace jacinthspool {
namespace {

/// \returns A random duration between one half of `longest` and `longest`.
microseconds Jittered(microseconds longest) {
  const auto half = static_cast<std::uint32_t>(longest.count() / 2);
  return longest / 2 + microseconds(randombytes_uniform(half + 1));
}

}  // namespace

struct peer_client::state {
  options settings;
  std::shared_ptr<const peer_handlers> handlers;
  microseconds backoff;
  timer_subscription retry;
  std::shared_ptr<peer_link> link;
  bool failure_logged = false;

  explicit state(options the_settings)
      : settings(std::move(the_settings)),
        handlers(std::make_shared<peer_handlers>(std::move(settings.handlers))),
        backoff(settings.first_backoff) {}
  state(const state&) = delete;
  state& operator=(const state&) = delete;

  ~state() {
    if (link != nullptr) {
      link->Abandon();
    }
  }

  void Connect() {
    link = peer_link::Connect(
        {.loop = settings.loop,
         .timers = settings.timers,
         .keys = settings.keys,
         .identity = settings.identity,
         .handlers = handlers,
         .max_queued_bytes = settings.max_queued_bytes,
         .handshake_timeout = settings.connect_timeout,
         .on_ended = [this](peer_link&, bool was_up,
                            const std::string& reason) { OnEnded(was_up, reason); }},
        settings.address);
  }

  void OnEnded(bool was_up, const std::string& reason) {
    if (was_up) {
      backoff = settings.first_backoff;
      failure_logged = false;
    }
    LogFailure(was_up, reason);
    link.reset();
    retry = settings.timers.After(Jittered(backoff), [this](instant) { Connect(); });
    backoff = std::min(backoff * 2, settings.last_backoff);
  }

  /// Logs only the first of consecutive failures.
  void LogFailure(bool was_up, const std::string& reason) {
    if (!std::exchange(failure_logged, true)) {
      Log(log_level::kWarning, was_up ? "peer_lost" : "peer_unreachable",
          {{"remote", settings.address}, {"reason", reason}});
    }
  }
};

peer_client::peer_client(options settings) : state_(std::make_unique<state>(std::move(settings))) {
  state_->Connect();
}

peer_client::~peer_client() = default;

peer_connection* peer_client::connection() const {
  const bool is_up = state_->link != nullptr && state_->link->is_up();
  return is_up ? state_->link.get() : nullptr;
}

}  // namespace jacinthspool
