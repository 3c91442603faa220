#include <doctest/doctest.h>

#include <string>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

// Guards against the use of an attempt that its caller's reset has ended.
TEST_CASE("a caller that resets as a long answer is begun ends only its own request") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  for (int round = 0; round < 20; ++round) {
    fake_caller caller(platform);
    caller.Send(round % 2 == 0 ? "/once/" : "/again/");
    REQUIRE(caller.Wait([&] { return server.answers.size() == 1; }));
    any_answer& answer = *server.answers.front();
    answer.Begin(200, scripted_backend::Genuine(server.requests.front()));
    answer.Send(std::string(60'000, 'x'));
    const instant sent = timer_service::now();
    caller.Wait([&] { return timer_service::now() - sent > milliseconds(30); });
    // Both are there when the gateway looks again, the bytes first.
    answer.Send(std::string(60'000, 'x'));
    caller.socket.Reset();
    CHECK(RunUntil(platform.loop, [&] { return platform.router.in_progress() == 0; }));
    server.requests.clear();
    server.answers.clear();
  }
  fake_caller next(platform);
  next.Send("/once/");
  REQUIRE(next.Wait([&] { return server.answers.size() == 1; }));
  server.answers.front()->Reply(200, scripted_backend::Genuine(server.requests.front()), "served");
  CHECK(next.Receives("served"));
}

}  // namespace
}  // namespace jacinthspool
