#include "src/transport/reply_watchdog.h"

#include <doctest/doctest.h>

#include <string>

#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kLimit = milliseconds(100);
constexpr milliseconds kPeriod = milliseconds(20);

struct watched_reply {
  event_loop loop;
  timer_service timers{loop};
  reply_watchdog watchdog{{.timers = timers, .silence = kLimit}};
  std::string expired;
  instant start = timer_service::now();
  timer_subscription pieces;

  watched_reply() {
    watchdog.Start(kLimit, [this](const std::string& reason) { expired = reason; });
  }
  void Receive(std::size_t bytes_per_period) {
    pieces = timers.Every(
        kPeriod, [this, bytes_per_period](instant /*now*/) { watchdog.OnBytes(bytes_per_period); });
  }
  [[nodiscard]] microseconds elapsed() const { return timer_service::now() - start; }
  void RunFor(milliseconds time) {
    RunUntil(loop, [&] { return elapsed() > time || !expired.empty(); });
  }
};

TEST_CASE("a reply is given up only when it makes no progress") {
  watched_reply reply;

  SUBCASE("it does not begin in time") {
    reply.RunFor(seconds(2));
    CHECK(reply.expired == "no answer in time");
  }
  SUBCASE("it falls silent") {
    reply.watchdog.OnBytes(1U << 20U);
    reply.RunFor(seconds(2));
    CHECK(reply.expired == "the answer fell silent");
  }
  SUBCASE("it arrives at less than the least rate") {
    reply.Receive(1);
    reply.RunFor(seconds(2));
    CHECK(reply.expired == "the answer arrives too slowly");
  }
  SUBCASE("it goes on as long as it arrives at the least rate") {
    reply.Receive(reply_watchdog::kLeastBytesPerSecond * 2 / (seconds(1) / kPeriod));
    reply.RunFor(8 * kLimit);
    CHECK(reply.expired.empty());
  }
  SUBCASE("it has ended") {
    reply.watchdog.OnBytes(1);
    reply.watchdog.Cancel();
    reply.RunFor(3 * kLimit);
    CHECK(reply.expired.empty());
  }
}

}  // namespace
}  // namespace jacinthspool
