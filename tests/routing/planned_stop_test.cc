#include "jacinthspool/routing/planned_stop.h"

#include <doctest/doctest.h>

#include "jacinthspool/routing/request_deadline.h"

namespace jacinthspool {
namespace {

const instant kSignal{seconds(100)};

TEST_CASE("the timetable of a planned stop") {
  SUBCASE("accepts requests until the load balancer has noticed, and answers all in time") {
    const planned_stop stop({.begun = kSignal, .grace = seconds(8)});
    CHECK(stop.accepts_until() == kSignal + milliseconds(2500));
    CHECK(stop.answered_by() == kSignal + milliseconds(7400));
    CHECK(stop.exits_by() == kSignal + milliseconds(7700));
  }
  SUBCASE("leaves time for the last answers however short the grace period is") {
    for (const milliseconds grace : {milliseconds(100), milliseconds(1000), milliseconds(4000)}) {
      const planned_stop stop({.begun = kSignal, .grace = grace});
      CHECK(kSignal < stop.accepts_until());
      CHECK(stop.accepts_until() < stop.answered_by());
      CHECK(stop.answered_by() < stop.exits_by());
      CHECK(stop.exits_by() < kSignal + grace);
      CHECK(stop.answered_by() - kSignal >= grace * 5 / 6);
    }
  }
}

TEST_CASE("the earliest deadline of a request decides") {
  request_time_limits limits{.received = kSignal, .route_timeout = seconds(5)};

  SUBCASE("the route's alone") {
    CHECK(EarliestDeadline(limits) ==
          request_deadline{kSignal + seconds(5), deadline_cause::kRoute});
  }
  SUBCASE("the caller's, also when both are equal") {
    limits.caller_waits = seconds(5);
    CHECK(EarliestDeadline(limits) ==
          request_deadline{kSignal + seconds(5), deadline_cause::kCaller});
  }
  SUBCASE("the end of the process, only when it comes first") {
    limits.caller_waits = seconds(9);
    limits.process_end = kSignal + seconds(5);
    CHECK(EarliestDeadline(limits).cause == deadline_cause::kRoute);
    limits.process_end = kSignal + milliseconds(4999);
    CHECK(EarliestDeadline(limits) ==
          request_deadline{kSignal + milliseconds(4999), deadline_cause::kProcessEnd});
  }
}

TEST_CASE("a request is sent only if it is expected to end before the process") {
  request_time_limits limits{.received = kSignal, .route_timeout = seconds(60)};
  CHECK(EndsBeforeStop(limits, seconds(50), kSignal));
  limits.process_end = kSignal + seconds(3);
  CHECK(EndsBeforeStop(limits, seconds(3), kSignal));
  CHECK_FALSE(EndsBeforeStop(limits, seconds(3), kSignal + milliseconds(1)));
  CHECK_FALSE(EndsBeforeStop(limits, seconds(4), kSignal));
}

}  // namespace
}  // namespace jacinthspool
