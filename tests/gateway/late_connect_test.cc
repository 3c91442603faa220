#include <doctest/doctest.h>

#include "tests/gateway/fake_platform.h"
#include "tests/transport/loop_step.h"

namespace jacinthspool {
namespace {

/// Longer than the gateway waits for a connection, and shorter than the route's timeout.
constexpr milliseconds kStandstill = milliseconds(450);
constexpr milliseconds kRouteTimeout = milliseconds(800);

TEST_CASE(
    "a gateway stands still while it opens the connection for a request that must not run twice") {
  stepped_timers clock;
  fake_platform platform(clock.timers);
  platform.Configure(kRouteTimeout);
  scripted_backend& first = platform.AddBackend("plain");
  first.script = &scripted_backend::Serve;
  std::vector<scripted_backend*> servers = {&first};
  const auto requests = [&] {
    std::size_t count = 0;
    for (const scripted_backend* each : servers) {
      count += each->requests.size();
    }
    return count;
  };
  std::string_view answer;
  std::size_t runs = 0;
  SUBCASE("and another server is free: the request reaches one server") {
    scripted_backend& second = platform.AddBackend("plain");
    second.script = &scripted_backend::Serve;
    servers.push_back(&second);
    answer = "HTTP/1.1 200";
    runs = 1;
  }
  SUBCASE("and there is no other server: the request is refused and reaches none") {
    answer = "HTTP/1.1 503";
  }
  fake_caller caller(platform);
  caller.Send("/once/");
  const instant sent = timer_service::now();
  while (platform.client.connections_opened() == 0 && timer_service::now() - sent < seconds(5)) {
    RunOnce(platform.loop);
  }
  // The kernel establishes the connection meanwhile.
  clock.FireAfter(kStandstill);
  CHECK(caller.Receives(answer));
  const instant answered = timer_service::now();
  caller.Wait([&] { return timer_service::now() - answered > milliseconds(50); });
  CHECK(requests() == runs);
  CHECK(platform.client.bytes_after_end() == 0);
}

}  // namespace
}  // namespace jacinthspool
