#include "jacinthspool/impl/prefill_queue.h"

#include <doctest/doctest.h>

#include <set>

namespace jacinthspool {
namespace {

const instant kNow{seconds(100)};

attempt_id Attempt(std::uint64_t counter) {
  return {.request = {.incarnation = 1, .counter = counter}, .attempt = 1};
}

prefill_job Job(std::uint64_t counter, const std::string& team, std::uint8_t priority = 1,
                microseconds deadline_in = seconds(1)) {
  return {.id = Attempt(counter),
          .team = team,
          .priority = priority,
          .deadline = kNow + deadline_in,
          .work = milliseconds(100),
          .not_before = {}};
}

void Add(prefill_queue& queue, const prefill_job& job) {
  queue.Reserve(job);
  queue.MakeReady(job.id, job.deadline, job.not_before);
}

std::uint64_t PopCounter(prefill_queue& queue, instant now = kNow) {
  const std::optional<prefill_job> job = queue.Pop(now);
  return job ? job->id.request.counter : 0;
}

TEST_CASE("the prefill queue selects the next prefill") {
  prefill_queue queue({.capacity = 8});
  queue.shares().SetWeight("turnevo", 1);
  queue.shares().SetWeight("lumanara", 1);

  SUBCASE("within a team the order is by priority, then by deadline") {
    Add(queue, Job(1, "turnevo", 2, milliseconds(1)));
    Add(queue, Job(2, "turnevo", 1, seconds(2)));
    Add(queue, Job(3, "turnevo", 1, seconds(1)));
    CHECK(PopCounter(queue) == 3);
    CHECK(PopCounter(queue) == 2);
    CHECK(PopCounter(queue) == 1);
    CHECK(PopCounter(queue) == 0);
  }
  SUBCASE("a reserved job is not eligible before MakeReady") {
    queue.Reserve(Job(1, "turnevo"));
    CHECK(PopCounter(queue) == 0);
    CHECK(queue.size() == 1);
  }
  SUBCASE("an overloaded team leaves the other team its share") {
    for (std::uint64_t counter = 1; counter <= 4; ++counter) {
      Add(queue, Job(counter, "turnevo", 0, milliseconds(counter)));
    }
    CHECK(queue.Admits("turnevo") == prefill_queue::admission::kTeamShare);
    CHECK(queue.Admits("lumanara") == prefill_queue::admission::kAdmitted);
    CHECK(PopCounter(queue) == 1);
    CHECK(PopCounter(queue) == 2);
    Add(queue, Job(11, "lumanara", 3));
    Add(queue, Job(12, "lumanara", 3));
    CHECK(PopCounter(queue) == 11);
    const std::set<std::uint64_t> next = {PopCounter(queue), PopCounter(queue)};
    CHECK(next == std::set<std::uint64_t>{3, 12});
    CHECK(PopCounter(queue) == 4);
  }
  SUBCASE("the capacity applies to all teams together") {
    queue.set_capacity(2);
    Add(queue, Job(1, "turnevo"));
    Add(queue, Job(2, "lumanara"));
    CHECK(queue.Admits("lumanara") == prefill_queue::admission::kFull);
    queue.Remove(Attempt(1));
    CHECK(queue.Admits("turnevo") == prefill_queue::admission::kAdmitted);
  }
  SUBCASE("a job whose KV cache would expire before its decode start is skipped") {
    prefill_job early = Job(1, "turnevo", 0);
    early.not_before = kNow + milliseconds(300);
    Add(queue, early);
    Add(queue, Job(2, "turnevo", 3));
    CHECK(PopCounter(queue) == 2);
    CHECK(PopCounter(queue) == 0);
    CHECK(queue.next_eligible(kNow) == kNow + milliseconds(300));
    SUBCASE("it becomes eligible at its earliest start") {
      CHECK(PopCounter(queue, kNow + milliseconds(300)) == 1);
    }
    SUBCASE("it becomes eligible when the earliest start is removed") {
      queue.UpdateNotBefore(Attempt(1), std::nullopt);
      CHECK(PopCounter(queue) == 1);
    }
  }
  SUBCASE("the predicted wait includes the work ahead") {
    Add(queue, Job(1, "turnevo", 1));
    Add(queue, Job(2, "lumanara", 1));
    CHECK(queue.WaitOf("turnevo", 2, kNow) == milliseconds(200));
    CHECK(queue.WaitOf("turnevo", 0, kNow) == milliseconds(10));
  }
}

}  // namespace
}  // namespace jacinthspool
