#include <doctest/doctest.h>

#include <thread>

#include "src/transport/timer_service.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

TEST_CASE("a timer that is started late in a long loop iteration runs its whole delay") {
  constexpr milliseconds kDelay = milliseconds(50);
  event_loop loop;
  timer_service timers{loop};
  instant started{};
  instant fired{};
  timer_subscription timer;
  loop.Post([&] {
    std::this_thread::sleep_for(2 * kDelay);
    started = timer_service::now();
    timer = timers.After(kDelay, [&](instant now) { fired = now; });
  });
  REQUIRE(RunUntil(loop, [&] { return fired != instant{}; }));
  CHECK(fired - started >= kDelay);
}

}  // namespace
}  // namespace jacinthspool
