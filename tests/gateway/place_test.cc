#include <doctest/doctest.h>

#include "src/gateway/slot_dispatcher.h"
#include "tests/gateway/bare_context.h"

namespace jacinthspool {
namespace {

constexpr double kLimitPerSecond = 50;

/// A request that waits again as soon as its first place is granted.
struct repeated_wait {
  bare_context gateway;
  slot_dispatcher slots{gateway.context};
  backend_record server = gateway.Publish("plain", engine_stage::kNone, 1);
  queued_place place;
  bool handed_out = false;
  int early = 0;
  int granted = 0;
  int late = 0;

  repeated_wait() {
    ApplyPeerLimits(
        gateway.context,
        {{.backend = server.id, .per_second = kLimitPerSecond, .stated = timer_service::now()}});
    gateway.clock.FireAfter(milliseconds(30));
  }
  [[nodiscard]] static slot_request Wanted() {
    const instant soon = timer_service::now() + seconds(5);
    return {.service = "plain", .on_time_until = soon, .latest_start = soon};
  }
  void Wait() {
    place = slots.Enqueue(Wanted(), {.on_ready =
                                         [this] {
                                           early += handed_out ? 0 : 1;
                                           ++granted;
                                           RecordSend(gateway.context, server);
                                           WaitAgain();
                                         },
                                     .on_rejected = [](std::string_view) {}});
    handed_out = true;
  }
  void WaitAgain() {
    place = slots.Enqueue(Wanted(),
                          {.on_ready = [this] { ++late; }, .on_rejected = [](std::string_view) {}});
  }
  void Withdraw() { place = {}; }
  void PassTime() {
    for (int i = 0; i < 5; ++i) {
      gateway.clock.FireAfter(milliseconds(15));
    }
  }
};

TEST_CASE("a place that is granted while it is handed out does not hide a newer one") {
  repeated_wait request;
  request.Wait();
  CHECK(request.early == 0);
  while (request.granted == 0) {
    request.gateway.clock.FireAfter(milliseconds(5));
  }
  SUBCASE("the request ends and is called no more") {
    request.Withdraw();
    request.PassTime();
    CHECK(request.late == 0);
    CHECK_FALSE(request.slots.HasWaiting("plain"));
  }
  SUBCASE("the newer one is granted") {
    request.PassTime();
    CHECK(request.late == 1);
  }
}

}  // namespace
}  // namespace jacinthspool
