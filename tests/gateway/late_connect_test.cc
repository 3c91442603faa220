#include <doctest/doctest.h>

#include "tests/gateway/fake_platform.h"
#include "tests/transport/loop_step.h"

namespace jacinthspool {
namespace {

/// Longer than the gateway waits for a connection, and shorter than the route's timeout.
constexpr milliseconds kStandstill = milliseconds(450);
constexpr milliseconds kRouteTimeout = milliseconds(800);

TEST_CASE("a request that must not run twice reaches one server although the gateway stood still") {
  stepped_timers clock;
  fake_platform platform(clock.timers);
  platform.Configure(kRouteTimeout);
  scripted_backend& first = platform.AddBackend("plain");
  scripted_backend& second = platform.AddBackend("plain");
  first.script = second.script = &scripted_backend::Serve;
  fake_caller caller(platform);
  caller.Send("/once/");
  while (platform.client.connections_opened() == 0) {
    RunOnce(platform.loop);
  }
  // The kernel establishes the connection meanwhile.
  clock.FireAfter(kStandstill);
  CHECK(caller.Receives("HTTP/1.1 200"));
  const instant answered = timer_service::now();
  caller.Wait([&] { return timer_service::now() - answered > milliseconds(50); });
  CHECK(first.requests.size() + second.requests.size() == 1);
}

TEST_CASE(
    "a request that was refused as not run reaches no server although the gateway stood still") {
  stepped_timers clock;
  fake_platform platform(clock.timers);
  platform.Configure(kRouteTimeout);
  scripted_backend& server = platform.AddBackend("plain");
  server.script = &scripted_backend::Serve;
  fake_caller caller(platform);
  caller.Send("/once/");
  while (platform.client.connections_opened() == 0) {
    RunOnce(platform.loop);
  }
  clock.FireAfter(kStandstill);
  CHECK(caller.Receives("HTTP/1.1 503"));
  const instant answered = timer_service::now();
  caller.Wait([&] { return timer_service::now() - answered > milliseconds(50); });
  CHECK(server.requests.empty());
}

}  // namespace
}  // namespace jacinthspool
