#include "src/transport/timer_service.h"

#include <event2/event.h>

#include <cstdint>
#include <utility>

#include "src/transport/event_time.h"

namespace jacinthspool {

struct timer_subscription::state {
  event* source = nullptr;
  bool repeats = false;
  bool active = true;
  // Shared, because an action may cancel its own subscription.
  std::shared_ptr<timer_service::callback> action;

  ~state() { event_free(source); }

  static void Fire(evutil_socket_t /*unused*/, std::int16_t /*unused*/, void* context) {
    auto* self = static_cast<state*>(context);
    const auto action = self->action;
    self->active = self->repeats;
    (*action)(timer_service::now());
  }

  static std::unique_ptr<state> Start(event_loop& loop, microseconds delay, bool repeats,
                                      timer_service::callback action) {
    auto timer = std::make_unique<state>();
    timer->repeats = repeats;
    timer->action = std::make_shared<timer_service::callback>(std::move(action));
    timer->source = event_new(loop.base(), -1, repeats ? EV_PERSIST : 0, &state::Fire, timer.get());
    const timeval wait = ToTimeval(delay);
    // The loop counts a delay from its last look at the clock, which may be long ago.
    event_base_update_cache_time(loop.base());
    event_add(timer->source, &wait);
    return timer;
  }
};

timer_subscription::timer_subscription() = default;
timer_subscription::timer_subscription(std::unique_ptr<state> timer) : state_(std::move(timer)) {}
timer_subscription::timer_subscription(timer_subscription&&) noexcept = default;
timer_subscription& timer_subscription::operator=(timer_subscription&&) noexcept = default;
timer_subscription::~timer_subscription() = default;

void timer_subscription::Cancel() { state_.reset(); }

bool timer_subscription::active() const { return state_ != nullptr && state_->active; }

timer_subscription timer_service::Every(microseconds period, callback action) {
  return timer_subscription(
      timer_subscription::state::Start(loop_, period, true, std::move(action)));
}

timer_subscription timer_service::After(microseconds delay, callback action) {
  return timer_subscription(
      timer_subscription::state::Start(loop_, delay, false, std::move(action)));
}

}  // namespace jacinthspool
