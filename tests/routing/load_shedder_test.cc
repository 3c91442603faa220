#include "jacinthspool/routing/load_shedder.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 41;
constexpr milliseconds kObjective = milliseconds(300);

/// Simulates 10 s of requests to one server that takes 10 ms for each in turn.
struct overload_simulation {
  int on_time = 0;
  int late = 0;
  int rejected = 0;

  overload_simulation(double load, bool shedding) {
    const instant start{seconds(100)};
    constexpr milliseconds kWork = milliseconds(10);
    constexpr std::size_t kQueue = 60;
    load_shedder shedder({});
    std::mt19937_64 random(kSeed);
    std::exponential_distribution<double> gap(load / 10.0);
    instant free_at = start;
    std::deque<std::pair<instant, instant>> running;  // end, begin
    for (double at = 0; at < 10000; at += gap(random)) {
      const instant now = start + microseconds(static_cast<std::int64_t>(at * 1000));
      while (!running.empty() && running.front().first <= now) {
        const auto [end, begin] = running.front();
        shedder.OnAnswer("s", end - begin, kObjective, end);
        running.pop_front();
      }
      if ((shedding && !shedder.Admit("s", random(), now)) || running.size() >= kQueue) {
        ++rejected;
        if (running.size() >= kQueue) {
          shedder.OnFull("s", now);
        }
        continue;
      }
      free_at = std::max(free_at, now) + kWork;
      running.emplace_back(free_at, now);
      ++(free_at - now <= kObjective ? on_time : late);
    }
  }
};

TEST_CASE("an overloaded service answers admitted requests on time") {
  const overload_simulation queued(1.5, false);
  const overload_simulation shed(1.5, true);
  // The server has capacity for 1,000 of the 1,500 requests.
  CHECK(queued.on_time < 200);
  CHECK(shed.on_time > 800);
  CHECK(shed.late < 100);
}

TEST_CASE("no request is rejected while the service keeps up") {
  const overload_simulation calm(0.6, true);
  CHECK(calm.rejected == 0);
  CHECK(calm.late == 0);
}

TEST_CASE("some requests are always admitted, and the rejected share decays without answers") {
  const instant start{seconds(100)};
  load_shedder shedder({});
  for (int i = 0; i < 10; ++i) {
    shedder.OnAnswer("s", seconds(1), kObjective, start);
  }
  std::mt19937_64 random(kSeed);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    admitted += shedder.Admit("s", random(), start) ? 1 : 0;
  }
  CHECK(admitted > 400);
  CHECK(admitted < 600);
  CHECK(shedder.rejected_share("s", start + seconds(10)) < 0.05);
}

}  // namespace
}  // namespace jacinthspool
