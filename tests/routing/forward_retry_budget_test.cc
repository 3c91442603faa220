#include "jacinthspool/routing/forward_retry_budget.h"

#include <doctest/doctest.h>

#include <deque>

namespace jacinthspool {
namespace {

TEST_CASE("retries stay below the share of the requests plus this gateway's part of the extra") {
  const instant start{seconds(1000)};
  forward_retry_budget budget({.ratio = 0.2, .window = seconds(10), .extra = 30, .entries = 3});

  SUBCASE("without requests only the part of the extra is available") {
    int drawn = 0;
    while (budget.Draw(start, "s")) {
      ++drawn;
    }
    CHECK(drawn > 0);
    CHECK(drawn <= 10);
    CHECK(budget.left(start, "other") > 1);
  }
  SUBCASE("the limit holds in every window when all requests fail") {
    std::deque<instant> drawn;
    std::deque<instant> asked;
    for (int i = 0; i < 6000; ++i) {
      // 100 requests per second at first, 10 later.
      const instant now =
          start + (i < 3000 ? milliseconds(10) * i : seconds(30) + milliseconds(100) * (i - 3000));
      budget.CountRequest(now, "s");
      asked.push_back(now);
      while (budget.Draw(now, "s")) {
        drawn.push_back(now);
      }
      while (!drawn.empty() && drawn.front() <= now - seconds(10)) {
        drawn.pop_front();
      }
      while (asked.front() <= now - seconds(10)) {
        asked.pop_front();
      }
      REQUIRE(static_cast<double>(drawn.size()) <= 0.2 * static_cast<double>(asked.size()) + 10);
    }
  }
  SUBCASE("the extra of a new process grows over the first window") {
    forward_retry_budget young(
        {.ratio = 0.2, .window = seconds(10), .extra = 30, .started = start});
    CHECK_FALSE(young.Draw(start, "s"));
    CHECK(young.left(start + seconds(5), "s") < 15);
    CHECK(young.left(start + seconds(10), "s") == doctest::Approx(budget.left(start, "s") * 3));
  }
  SUBCASE("a retry that is charged afterwards counts like one that was drawn") {
    const double before = budget.left(start, "s");
    budget.Charge(start, "s");
    CHECK(budget.left(start, "s") == doctest::Approx(before - 1));
  }
}

}  // namespace
}  // namespace jacinthspool
