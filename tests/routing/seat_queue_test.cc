#include "jacinthspool/routing/seat_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace jacinthspool {
namespace {

constexpr milliseconds kObjective = milliseconds(650);
constexpr milliseconds kPatience = milliseconds(3350);

seat_claim ClaimAt(instant now) {
  return {.service = "s",
          .tokens = 4000,
          .on_time_until = now + kObjective,
          .last_use = now + kPatience};
}

TEST_CASE("claims are tried in order, those still in time before late ones") {
  const instant start{seconds(100)};
  seat_queue queue({});
  const auto first = queue.Add(ClaimAt(start), start);
  const instant later = start + milliseconds(700);
  const auto second = queue.Add(ClaimAt(later), later);
  CHECK(queue.Next(start) == first);
  CHECK(queue.Next(later) == second);

  SUBCASE("but a caller who has a part of the answer goes first") {
    seat_claim resumed = ClaimAt(later);
    resumed.resumes = true;
    const auto third = queue.Add(resumed, later);
    CHECK(queue.Next(later) == third);
  }
  SUBCASE("one that is being tried is passed over") {
    queue.SetTrying(*second, true);
    CHECK(queue.Next(later) == first);
    queue.SetTrying(*second, false);
    CHECK(queue.Next(later) == second);
  }
  SUBCASE("and each is given up when its last use has passed") {
    CHECK(queue.Expire(start + kPatience) == std::vector<std::uint64_t>{*first});
    CHECK(queue.size() == 1);
  }
}

/// Plays twice the load that the engines can take for four seconds.
struct played_burst {
  int on_time = 0;
  int late = 0;
  int refused_at_once = 0;
  int refused_later = 0;

  played_burst() {
    const instant start{seconds(100)};
    constexpr milliseconds kSeatEvery = milliseconds(50);
    constexpr milliseconds kClaimEvery = milliseconds(25);
    seat_queue queue({});
    for (milliseconds at{0}; at < seconds(8); at += milliseconds(5)) {
      const instant now = start + at;
      if (at < seconds(4) && at % kClaimEvery == milliseconds(0)) {
        refused_at_once += queue.Add(ClaimAt(now), now) ? 0 : 1;
      }
      refused_later += static_cast<int>(queue.Expire(now).size());
      const auto next = queue.Next(now);
      if (next && at % kSeatEvery == milliseconds(0)) {
        ++(seat_queue::IsLate(*queue.Find(*next), now) ? late : on_time);
        queue.OnSeated(*next, now);
      }
    }
  }
};

TEST_CASE("in a burst of twice the load most seats go to callers who are still in time") {
  const played_burst burst;
  // 80 seats fall free during the burst of 160 claims.
  CHECK(burst.on_time >= 75);
  CHECK(burst.on_time + burst.late >= 120);
  CHECK(burst.on_time + burst.late + burst.refused_at_once + burst.refused_later == 160);

  SUBCASE("and those who can't be served are told when they come") {
    CHECK(burst.refused_at_once >= burst.refused_later);
  }
}

}  // namespace
}  // namespace jacinthspool
