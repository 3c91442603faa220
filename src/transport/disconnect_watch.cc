#include "src/transport/disconnect_watch.h"

#include <event2/event.h>

#include <cstdint>
#include <utility>

#include "src/transport/event_time.h"
#include "src/transport/socket_condition.h"

namespace jacinthspool {
namespace {

/// Interval at which a socket with unread bytes is polled for a close.
constexpr microseconds kPollPeriod = milliseconds(200);

}  // namespace

struct disconnect_watch::state {
  int socket = -1;
  std::function<void()> on_closed;
  event* readable = nullptr;
  event* poll_timer = nullptr;

  ~state() {
    event_free(readable);
    event_free(poll_timer);
  }

  void CheckSocket() {
    switch (PollCondition(socket)) {
      case socket_condition::kIdle:
        event_add(readable, nullptr);
        return;
      case socket_condition::kReadable: {
        // The next request has already arrived. Until it is read, the socket stays readable, so a
        // close can only be detected by polling.
        const timeval wait = ToTimeval(kPollPeriod);
        evtimer_add(poll_timer, &wait);
        return;
      }
      case socket_condition::kClosed:
        std::exchange(on_closed, nullptr)();
        return;
    }
  }

  static void OnEvent(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<state*>(context)->CheckSocket();
  }
};

disconnect_watch::disconnect_watch(event_loop& loop, int socket, std::function<void()> on_closed)
    : state_(std::make_unique<state>()) {
  state_->socket = socket;
  state_->on_closed = std::move(on_closed);
  state_->readable = event_new(loop.base(), socket, EV_READ, &state::OnEvent, state_.get());
  state_->poll_timer = evtimer_new(loop.base(), &state::OnEvent, state_.get());
  event_add(state_->readable, nullptr);
}

disconnect_watch::~disconnect_watch() = default;

}  // namespace jacinthspool
