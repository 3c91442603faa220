#include "jacinthspool/routing/slot_queue.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

const instant kStart{seconds(100)};

slot_request Request(std::uint32_t priority, milliseconds on_time = milliseconds(500),
                     milliseconds latest = seconds(2)) {
  return {.service = "plain",
          .claim = {.priority = {.tenant = priority, .route = priority}},
          .on_time_until = kStart + on_time,
          .latest_start = kStart + latest};
}

TEST_CASE("the most urgent request gets the next slot of its service") {
  slot_queue queue({});
  const auto late = queue.Add(Request(0, milliseconds(-1)));
  const auto low = queue.Add(Request(2));
  const auto first = queue.Add(Request(1));
  const auto second = queue.Add(Request(1));
  slot_request resumed = Request(2, milliseconds(-1));
  resumed.resumes = true;
  const auto resumes = queue.Add(resumed);
  CHECK_FALSE(queue.Next("other", kStart));
  CHECK(queue.Waiting("plain") == 5);
  for (const std::uint64_t expected : {resumes, first, second, low, late}) {
    CHECK(queue.Next("plain", kStart) == expected);
    queue.Remove(expected);
  }
  CHECK_FALSE(queue.Next("plain", kStart));
}

TEST_CASE("requests that get no slot in time are rejected at once") {
  slot_queue queue({});
  const slot_pace pace{.next = kStart + milliseconds(200), .per_second = 2};
  const auto waits = queue.Add(Request(1, seconds(1), milliseconds(900)));
  CHECK(queue.RemoveHopeless("plain", pace, kStart).empty());

  SUBCASE("on arrival") {
    const auto hopeless = queue.Add(Request(1, seconds(1), milliseconds(600)));
    CHECK(queue.RemoveHopeless("plain", pace, kStart) == std::vector{hopeless});
  }
  SUBCASE("when more urgent ones displace them") {
    queue.Add(Request(0));
    CHECK(queue.RemoveHopeless("plain", pace, kStart).empty());
    queue.Add(Request(0));
    CHECK(queue.RemoveHopeless("plain", pace, kStart) == std::vector{waits});
    CHECK(queue.Waiting("plain") == 2);
  }
  SUBCASE("all of them without a pace") {
    CHECK(queue.RemoveHopeless("plain", std::nullopt, kStart) == std::vector{waits});
    CHECK_FALSE(queue.ReserveReturn("plain", std::nullopt, kStart));
  }
}

TEST_CASE("rejected callers return one after the other, after those that wait") {
  slot_queue queue({});
  const slot_pace pace{.next = kStart + milliseconds(200), .per_second = 2};
  queue.Add(Request(1));
  CHECK(queue.ReserveReturn("plain", pace, kStart) == kStart + milliseconds(700));
  CHECK(queue.ReserveReturn("plain", pace, kStart) == kStart + milliseconds(1200));
  CHECK(queue.ReserveReturn("plain", pace, kStart) == kStart + milliseconds(1700));
  for (int i = 0; i < 20; ++i) {
    CHECK(queue.ReserveReturn("plain", pace, kStart) <= kStart + seconds(4));
  }
}

}  // namespace
}  // namespace jacinthspool
