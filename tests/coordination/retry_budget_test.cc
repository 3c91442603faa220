#include "jacinthspool/impl/retry_budget.h"

#include <doctest/doctest.h>

#include "jacinthspool/impl/backoff.h"

namespace jacinthspool {
namespace {

TEST_CASE("retries consume the team's budget") {
  const instant now{};
  retry_budget budget({.percent = 10, .floor = 2, .floor_refill_interval = seconds(5), .limit = 3});

  SUBCASE("a team without successes has the minimum budget") {
    CHECK(budget.TryConsume(now, "turnevo"));
    CHECK(budget.TryConsume(now, "turnevo"));
    CHECK_FALSE(budget.TryConsume(now, "turnevo"));

    SUBCASE("budgets of teams are independent") { CHECK(budget.TryConsume(now, "lumanara")); }
    SUBCASE("the minimum refills with time") {
      CHECK_FALSE(budget.TryConsume(now + seconds(4), "turnevo"));
      CHECK(budget.TryConsume(now + seconds(5), "turnevo"));
    }
    SUBCASE("successes refill the budget") {
      for (int success = 0; success < 11; ++success) {
        budget.RecordSuccess(now, "turnevo");
      }
      CHECK(budget.TryConsume(now, "turnevo"));
      CHECK_FALSE(budget.TryConsume(now, "turnevo"));
    }
  }
  SUBCASE("the budget is limited") {
    for (int success = 0; success < 1000; ++success) {
      budget.RecordSuccess(now, "turnevo");
    }
    CHECK(budget.available(now, "turnevo") == doctest::Approx(3));
  }
}

TEST_CASE("delays double up to a limit, with jitter") {
  const backoff delays({.first = milliseconds(10), .last = milliseconds(100)});
  CHECK(delays.Delay(1, 0) == milliseconds(10));
  CHECK(delays.Delay(2, 0) == milliseconds(20));
  CHECK(delays.Delay(60, 0) == milliseconds(100));
  for (std::uint64_t random = 0; random < 50000; random += 997) {
    CHECK(delays.Delay(3, random) >= milliseconds(20));
    CHECK(delays.Delay(3, random) <= milliseconds(40));
  }
}

}  // namespace
}  // namespace jacinthspool
