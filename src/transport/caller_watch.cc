#include "src/transport/caller_watch.h"

#include <event2/event.h>

#include <cstdint>
#include <utility>

#include "src/transport/event_time.h"
#include "src/transport/socket_condition.h"

namespace jacinthspool {
namespace {

/// How often a socket with unread bytes is looked at.
constexpr microseconds kPollPeriod = milliseconds(200);

}  // namespace

struct caller_watch::state {
  int socket = -1;
  std::function<void()> on_gone;
  event* readable = nullptr;
  event* poll_timer = nullptr;

  ~state() {
    event_free(readable);
    event_free(poll_timer);
  }

  void Look() {
    switch (Examine(socket)) {
      case socket_condition::kQuiet:
        event_add(readable, nullptr);
        return;
      case socket_condition::kReadable: {
        // The next request is already there; until it is read, only polling tells.
        const timeval wait = ToTimeval(kPollPeriod);
        evtimer_add(poll_timer, &wait);
        return;
      }
      case socket_condition::kGone:
        std::exchange(on_gone, nullptr)();
        return;
    }
  }

  static void Wake(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    static_cast<state*>(context)->Look();
  }
};

caller_watch::caller_watch(event_loop& loop, int socket, std::function<void()> on_gone)
    : state_(std::make_unique<state>()) {
  state_->socket = socket;
  state_->on_gone = std::move(on_gone);
  state_->readable = event_new(loop.base(), socket, EV_READ, &state::Wake, state_.get());
  state_->poll_timer = evtimer_new(loop.base(), &state::Wake, state_.get());
  event_add(state_->readable, nullptr);
}

caller_watch::~caller_watch() = default;

}  // namespace jacinthspool
