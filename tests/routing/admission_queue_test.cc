#include "jacinthspool/routing/admission_queue.h"

#include <doctest/doctest.h>

#include <map>
#include <set>

namespace jacinthspool {
namespace {

constexpr milliseconds kObjective = milliseconds(650);
constexpr milliseconds kLatestStart = milliseconds(3350);

reservation_request RequestAt(instant now) {
  return {.service = "s",
          .tokens = 4000,
          .on_time_until = now + kObjective,
          .latest_start = now + kLatestStart};
}

TEST_CASE("requests are admitted in order of arrival, those still on time before late ones") {
  const instant start{seconds(100)};
  admission_queue queue({});
  const auto first = queue.Add(RequestAt(start), start);
  const instant later = start + milliseconds(700);
  const auto second = queue.Add(RequestAt(later), later);
  CHECK(queue.Next(start) == first);
  CHECK(queue.Next(later) == second);

  SUBCASE("a resumed request is admitted first") {
    reservation_request resumed = RequestAt(later);
    resumed.resumes = true;
    const auto third = queue.Add(resumed, later);
    CHECK(queue.Next(later) == third);
  }
  SUBCASE("a request that no engine may take leaves its turn to the next") {
    CHECK(queue.Next(later, {*second}) == first);
    CHECK_FALSE(queue.Next(later, {*first, *second}));
  }
  SUBCASE("a request in progress is skipped") {
    queue.SetInProgress(*second, true);
    CHECK(queue.Next(later) == first);
    queue.SetInProgress(*second, false);
    CHECK(queue.Next(later) == second);
  }
  SUBCASE("a request expires at its latest start") {
    CHECK(queue.Expire(start + kLatestStart) == std::vector<std::uint64_t>{*first});
    CHECK(queue.size() == 1);
  }
}

/// Simulates four seconds of twice the load that the engines have memory for.
struct burst_simulation {
  int on_time = 0;
  int late = 0;
  int rejected_on_arrival = 0;
  int expired = 0;

  burst_simulation() {
    const instant start{seconds(100)};
    constexpr milliseconds kReservationEvery = milliseconds(50);
    constexpr milliseconds kRequestEvery = milliseconds(25);
    admission_queue queue({});
    for (milliseconds at{0}; at < seconds(8); at += milliseconds(5)) {
      const instant now = start + at;
      if (at < seconds(4) && at % kRequestEvery == milliseconds(0)) {
        rejected_on_arrival += queue.Add(RequestAt(now), now) ? 0 : 1;
      }
      expired += static_cast<int>(queue.Expire(now).size());
      const auto next = queue.Next(now);
      if (next && at % kReservationEvery == milliseconds(0)) {
        ++(admission_queue::IsLate(*queue.Find(*next), now) ? late : on_time);
        queue.OnReserved(*next, now);
      }
    }
  }
};

TEST_CASE("in a burst of twice the load most reservations go to requests that are still on time") {
  const burst_simulation burst;
  // 80 reservations become free during the burst of 160 requests.
  CHECK(burst.on_time >= 75);
  CHECK(burst.on_time + burst.late >= 120);
  CHECK(burst.on_time + burst.late + burst.rejected_on_arrival + burst.expired == 160);

  SUBCASE("most requests that cannot be served are rejected on arrival") {
    CHECK(burst.rejected_on_arrival >= burst.expired);
  }
}

}  // namespace
}  // namespace jacinthspool
