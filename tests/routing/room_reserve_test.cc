#include "jacinthspool/routing/room_reserve.h"

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

seat_claim ClaimOf(double tokens, instant now) {
  return {.service = "s", .tokens = tokens, .on_time_until = now + kObjective};
}

TEST_CASE("a claim of the usual size needs no room beside it") {
  const instant now{seconds(100)};
  room_reserve reserve({});
  for (int i = 0; i < 100; ++i) {
    reserve.Learn(ClaimOf(3000, now));
  }
  CHECK(reserve.Beside(ClaimOf(3000, now), kEngineTokens, now) == doctest::Approx(0));
  CHECK(reserve.Beside(ClaimOf(1000, now), kEngineTokens, now) == doctest::Approx(0));

  SUBCASE("a larger one needs more, the larger it is") {
    CHECK(reserve.Beside(ClaimOf(5000, now), kEngineTokens, now) == doctest::Approx(3000));
    CHECK(reserve.Beside(ClaimOf(6000, now), kEngineTokens, now) == doctest::Approx(4500));
  }
  SUBCASE("but never more than a late one, and never more than an empty engine has") {
    CHECK(reserve.Beside(ClaimOf(16000, now), kEngineTokens, now) == doctest::Approx(5200));
    CHECK(reserve.Beside(ClaimOf(25000, now), kEngineTokens, now) == doctest::Approx(1000));
    CHECK(reserve.Beside(ClaimOf(30000, now), kEngineTokens, now) == doctest::Approx(0));
  }
  SUBCASE("a late one needs a fifth of the engine, whatever its size") {
    const instant late = now + kObjective + milliseconds(1);
    CHECK(reserve.Beside(ClaimOf(1000, now), kEngineTokens, late) == doctest::Approx(5200));
  }
  SUBCASE("a caller who has a part of the answer needs none") {
    seat_claim resumed = ClaimOf(9000, now);
    resumed.resumes = true;
    CHECK(reserve.Beside(resumed, kEngineTokens, now + seconds(9)) == doctest::Approx(0));
  }
  SUBCASE("an engine of unknown size reserves nothing") {
    CHECK(reserve.Beside(ClaimOf(9000, now), 0, now) == doctest::Approx(0));
  }
}

TEST_CASE("the first claim of a service is taken for usual") {
  const instant now{seconds(100)};
  const room_reserve reserve({});
  CHECK(reserve.Beside(ClaimOf(9000, now), kEngineTokens, now) == doctest::Approx(0));
}

/// Twenty engines, and callers with prompts of unlike sizes. Each claim asks an
/// engine drawn at random every 25 ms, as gateways that know nothing of each
/// other do, and gives up after a second.
struct played_hour {
  int asked = 0;
  int on_time = 0;
  int largest_asked = 0;
  int largest_served = 0;

  played_hour(double load, bool reserves) {
    constexpr milliseconds kStep = milliseconds(25);
    constexpr milliseconds kPatience = seconds(1);
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
    room_reserve reserve({});
    std::mt19937_64 random(kSeed);
    std::lognormal_distribution<double> sizes(std::log(3300), 0.5);
    const double per_step = load * kEngines * kEngineTokens / kMeanTokens *
                            std::chrono::duration<double>(kStep) /
                            std::chrono::duration<double>(kRun);
    std::poisson_distribution<int> arrivals(per_step);
    std::vector<double> free(kEngines, kEngineTokens);
    std::vector<run> runs;
    std::vector<seat_claim> waiting;
    for (instant now = start; now < start + seconds(60); now += kStep) {
      std::erase_if(runs, [&](const run& each) {
        if (each.end > now) {
          return false;
        }
        free[each.engine] += each.tokens;
        return true;
      });
      for (int i = arrivals(random); i > 0; --i) {
        seat_claim claim = ClaimOf(std::min(sizes(random), 8000.0), now);
        claim.last_use = now + kPatience;
        reserve.Learn(claim);
        ++asked;
        largest_asked += claim.tokens > kLarge ? 1 : 0;
        waiting.push_back(claim);
      }
      std::erase_if(waiting, [&](const seat_claim& claim) {
        const std::size_t engine = random() % kEngines;
        const double beside = reserves ? reserve.Beside(claim, kEngineTokens, now) : 0;
        if (free[engine] < claim.tokens + beside) {
          return claim.last_use < now;
        }
        free[engine] -= claim.tokens;
        runs.push_back({.end = now + kRun, .engine = engine, .tokens = claim.tokens});
        on_time += now <= claim.on_time_until ? 1 : 0;
        largest_served += claim.tokens > kLarge ? 1 : 0;
        return true;
      });
    }
  }
};

TEST_CASE("when memory is short, more callers are answered on time") {
  const played_hour open(1.5, false);
  const played_hour reserved(1.5, true);
  REQUIRE(open.asked > 2500);
  CHECK(reserved.on_time > open.on_time * 1.1);
}

TEST_CASE("while there is room, large prompts are let in like the others") {
  const played_hour calm(0.5, true);
  CHECK(calm.on_time > calm.asked * 0.99);
  CHECK(calm.largest_served > calm.largest_asked * 0.98);
}

}  // namespace
}  // namespace jacinthspool
