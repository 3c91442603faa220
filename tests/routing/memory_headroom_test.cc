#include "jacinthspool/routing/memory_headroom.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <random>
#include <vector>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 43;
constexpr double kEngineTokens = 26000;
constexpr milliseconds kObjective = milliseconds(600);

reservation_request RequestOf(double tokens, instant now) {
  return {.service = "s", .tokens = tokens, .on_time_until = now + kObjective};
}

TEST_CASE("a request of the mean size requires no headroom") {
  const instant now{seconds(100)};
  memory_headroom reserve({});
  for (int i = 0; i < 100; ++i) {
    reserve.Learn(RequestOf(3000, now));
  }
  CHECK(reserve.RequiredHeadroom(RequestOf(3000, now), kEngineTokens, now) == doctest::Approx(0));
  CHECK(reserve.RequiredHeadroom(RequestOf(1000, now), kEngineTokens, now) == doctest::Approx(0));

  SUBCASE("the headroom grows with the excess over the mean size") {
    CHECK(reserve.RequiredHeadroom(RequestOf(5000, now), kEngineTokens, now) ==
          doctest::Approx(3000));
    CHECK(reserve.RequiredHeadroom(RequestOf(6000, now), kEngineTokens, now) ==
          doctest::Approx(4500));
  }
  SUBCASE(
      "the headroom is limited to that of a late request and to the free memory of an empty "
      "engine") {
    CHECK(reserve.RequiredHeadroom(RequestOf(16000, now), kEngineTokens, now) ==
          doctest::Approx(5200));
    CHECK(reserve.RequiredHeadroom(RequestOf(25000, now), kEngineTokens, now) ==
          doctest::Approx(1000));
    CHECK(reserve.RequiredHeadroom(RequestOf(30000, now), kEngineTokens, now) ==
          doctest::Approx(0));
  }
  SUBCASE("a late request requires a fifth of the engine, whatever its size") {
    const instant late = now + kObjective + milliseconds(1);
    CHECK(reserve.RequiredHeadroom(RequestOf(1000, now), kEngineTokens, late) ==
          doctest::Approx(5200));
  }
  SUBCASE("a resumed request requires no headroom") {
    reservation_request resumed = RequestOf(9000, now);
    resumed.resumes = true;
    CHECK(reserve.RequiredHeadroom(resumed, kEngineTokens, now + seconds(9)) == doctest::Approx(0));
  }
  SUBCASE("an engine of unknown size requires no headroom") {
    CHECK(reserve.RequiredHeadroom(RequestOf(9000, now), 0, now) == doctest::Approx(0));
  }
}

TEST_CASE("the first request of a service counts as one of the mean size") {
  const instant now{seconds(100)};
  const memory_headroom reserve({});
  CHECK(reserve.RequiredHeadroom(RequestOf(9000, now), kEngineTokens, now) == doctest::Approx(0));
}

/// Simulates twenty engines and requests of different sizes. Each request tries a
/// random engine every 25 ms, as independent gateways do, and is withdrawn after a
/// second.
struct overload_simulation {
  int requests = 0;
  int on_time = 0;
  int large_requests = 0;
  int large_served = 0;

  overload_simulation(double load, bool with_headroom) {
    constexpr milliseconds kStep = milliseconds(25);
    constexpr milliseconds kLatestStart = seconds(1);
    constexpr milliseconds kRun = milliseconds(3500);
    constexpr std::size_t kEngines = 20;
    constexpr double kMeanTokens = 3750;
    constexpr double kLarge = 6000;
    struct run {
      instant end;
      std::size_t engine;
      double tokens;
    };
    const instant start{seconds(100)};
    memory_headroom reserve({});
    std::mt19937_64 random(kSeed);
    std::lognormal_distribution<double> sizes(std::log(3300), 0.5);
    const double per_step = load * kEngines * kEngineTokens / kMeanTokens *
                            std::chrono::duration<double>(kStep) /
                            std::chrono::duration<double>(kRun);
    std::poisson_distribution<int> arrivals(per_step);
    std::vector<double> free(kEngines, kEngineTokens);
    std::vector<run> runs;
    std::vector<reservation_request> waiting;
    for (instant now = start; now < start + seconds(60); now += kStep) {
      std::erase_if(runs, [&](const run& each) {
        if (each.end > now) {
          return false;
        }
        free[each.engine] += each.tokens;
        return true;
      });
      for (int i = arrivals(random); i > 0; --i) {
        reservation_request request = RequestOf(std::min(sizes(random), 8000.0), now);
        request.latest_start = now + kLatestStart;
        reserve.Learn(request);
        ++requests;
        large_requests += request.tokens > kLarge ? 1 : 0;
        waiting.push_back(request);
      }
      std::erase_if(waiting, [&](const reservation_request& request) {
        const std::size_t engine = random() % kEngines;
        const double headroom =
            with_headroom ? reserve.RequiredHeadroom(request, kEngineTokens, now) : 0;
        if (free[engine] < request.tokens + headroom) {
          return request.latest_start < now;
        }
        free[engine] -= request.tokens;
        runs.push_back({.end = now + kRun, .engine = engine, .tokens = request.tokens});
        on_time += now <= request.on_time_until ? 1 : 0;
        large_served += request.tokens > kLarge ? 1 : 0;
        return true;
      });
    }
  }
};

TEST_CASE("when memory is short, headroom lets more requests be answered on time") {
  const overload_simulation open(1.5, false);
  const overload_simulation reserved(1.5, true);
  REQUIRE(open.requests > 2500);
  CHECK(reserved.on_time > open.on_time * 1.1);
}

TEST_CASE("while memory is free, large requests are admitted like the others") {
  const overload_simulation calm(0.5, true);
  CHECK(calm.on_time > calm.requests * 0.99);
  CHECK(calm.large_served > calm.large_requests * 0.98);
}

}  // namespace
}  // namespace jacinthspool
