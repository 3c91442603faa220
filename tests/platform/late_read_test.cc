#include <doctest/doctest.h>

#include <string>

#include "platform/store_watch.h"
#include "tests/platform/counting_listener.h"
#include "tests/transport/loop_step.h"
#include "tests/transport/loop_until.h"
#include "tests/transport/raw_socket.h"

namespace jacinthspool::platform {
namespace {

TEST_CASE("a read of the store that was given up while connecting is not sent later") {
  event_loop loop;
  stepped_timers clock;
  const raw_socket store = raw_socket::Listen();
  counting_listener listener;
  store_watch watch({.loop = loop,
                     .timers = clock.timers,
                     .publisher = "127.0.0.1:" + std::to_string(store.port()),
                     .change_bound = milliseconds(90)});
  watch.Start(listener);
  SUBCASE("as the time for connecting has passed") { clock.FireAfter(milliseconds(550)); }
  SUBCASE("as the time for its answer has passed as well") { clock.FireAfter(milliseconds(1050)); }
  REQUIRE(listener.lost == 1);
  // The reads of the configuration and of the servers.
  const raw_socket peers[] = {store.Accept(), store.Accept()};
  for (const raw_socket& peer : peers) {
    std::string received;
    CHECK(RunUntil(loop, [&] { return !peer.Read(received) || !received.empty(); }));
    CHECK(received.empty());
  }
}

}  // namespace
}  // namespace jacinthspool::platform
