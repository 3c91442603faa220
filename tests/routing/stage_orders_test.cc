#include "jacinthspool/routing/stage_orders.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <variant>
#include <vector>

namespace jacinthspool {
namespace {

const instant kBegun = instant(seconds(1000));
constexpr microseconds kRest = seconds(3);
constexpr microseconds kInterval = seconds(20);

backend_record Engine(engine_stage stage = engine_stage::kPrefill) {
  return {.id = "i-1",
          .started_ms = 7,
          .service = "model",
          .address = "127.0.0.1:9",
          .stage = stage,
          .published = 4};
}

struct ordering {
  stage_orders orders{{.interval = kInterval, .rest_after_start = kRest}, kBegun};
  instant now = kBegun + kRest;

  order_decision Decide(const current_record& current) {
    return orders.Decide(Engine(), engine_stage::kDecode, current, now);
  }
};

TEST_CASE("an order has the position of the publisher at the read as its token") {
  ordering sidecar;
  const order_decision decision = sidecar.Decide({.record = Engine(), .at = {2, 9}});
  REQUIRE(std::holds_alternative<stage_order>(decision));
  const auto& order = std::get<stage_order>(decision);
  CHECK(order.fence == store_position(2, 9).ordinal());
  CHECK(order.backend == "i-1");
  CHECK(order.address == "127.0.0.1:9");
  CHECK(order.stage == engine_stage::kDecode);

  SUBCASE("the next one waits until the engine has had time") {
    sidecar.now += kInterval - milliseconds(1);
    CHECK_FALSE(sidecar.orders.MayAsk(sidecar.now));
    CHECK(std::holds_alternative<order_withheld>(
        sidecar.Decide({.record = Engine(), .at = {2, 12}})));
    sidecar.now += milliseconds(1);
    CHECK(sidecar.orders.MayAsk(sidecar.now));
    CHECK(std::holds_alternative<stage_order>(sidecar.Decide({.record = Engine(), .at = {2, 12}})));
  }
  SUBCASE("a publisher whose position has decreased gets none until it has risen again") {
    sidecar.now += kInterval;
    CHECK(
        std::holds_alternative<order_withheld>(sidecar.Decide({.record = Engine(), .at = {2, 8}})));
    CHECK(std::holds_alternative<stage_order>(sidecar.Decide({.record = Engine(), .at = {3, 8}})));
  }
}

TEST_CASE("no order is sent") {
  ordering sidecar;
  current_record current{.record = Engine(), .at = 9};
  SUBCASE("just after the start, when one of the process before may be on its way") {
    sidecar.now -= milliseconds(1);
    CHECK_FALSE(sidecar.orders.MayAsk(sidecar.now));
  }
  SUBCASE("to an engine that is not published") { current.record.reset(); }
  SUBCASE("to an engine that leaves") { current.record->leaving = true; }
  SUBCASE("to an engine that has changed its stage since the list") {
    current.record->stage = engine_stage::kDecode;
  }
  SUBCASE("to another incarnation") { current.record->started_ms = 8; }
  SUBCASE("to a server of another address") { current.record->address = "127.0.0.1:10"; }
  SUBCASE("without a position") { current.at = 0; }
  CHECK(std::holds_alternative<order_withheld>(sidecar.Decide(current)));
}

enum class order_step {
  kOtherWrite,
  kPublish,
  kGatewayReads,
  kListArrives,
  kAsk,
  kPublisherIsRead,
  kAnswerArrives,
  kOrderArrives,
  kKill,
  kStart,
  kTime,
  kBackUp,
  kRestore
};

/// A store, gateways whose lists lag, one engine, and a sidecar that is killed at any step.
struct order_model {
  struct listed {
    backend_record record;
    store_position at;
  };
  struct question {
    backend_record planned;
    std::optional<current_record> answer = {};  ///< Once the publisher has been read.
  };
  struct order_in_flight {
    stage_order order;
    instant arrives_by;
  };
  /// After this time an order has arrived or never will.
  static constexpr microseconds kLongestFlight = seconds(1);

  store_position store{1, 5};
  backend_record record = Engine();
  std::array<listed, 3> gateways{};
  listed copy;  ///< Of the store.
  instant now = kBegun;
  std::optional<stage_orders> sidecar;
  listed list;
  std::optional<question> asked;
  std::deque<order_in_flight> in_flight;
  std::uint64_t highest = 0;
  bool lower = false;
  int arrived = 0;

  order_model() {
    record.published = store;
    gateways.fill({record, store});
    copy = gateways[0];
    Start();
  }
  static std::size_t AnyOf(std::size_t count) { return *rc::gen::inRange<std::size_t>(0, count); }

  void Start() {
    sidecar.emplace(stage_orders::options{.interval = kInterval, .rest_after_start = kRest}, now);
    list = {};
    asked.reset();
  }
  void Publish() { record.published = ++store.revision; }
  void Ask() {
    if (sidecar && !asked && !list.record.id.empty() && sidecar->MayAsk(now)) {
      asked = question{.planned = list.record};
    }
  }
  void Read() {
    if (asked && !asked->answer) {
      asked->answer = current_record{.record = record, .at = store};
    }
  }
  void Answer() {
    if (!asked || !asked->answer) {
      return;
    }
    const order_decision decision =
        sidecar->Decide(asked->planned,
                        asked->planned.stage == engine_stage::kPrefill ? engine_stage::kDecode
                                                                       : engine_stage::kPrefill,
                        *asked->answer, now);
    if (const auto* order = std::get_if<stage_order>(&decision)) {
      in_flight.push_back({*order, now + kLongestFlight});
    }
    asked.reset();
  }
  void Arrive(std::size_t which) {
    if (which < in_flight.size()) {
      const stage_order order = in_flight[which].order;
      in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(which));
      ++arrived;
      lower = lower || order.fence < highest;
      highest = std::max(highest, order.fence);
      if (*rc::gen::inRange(0, 2) == 0) {
        record.stage = order.stage;
        Publish();
      }
    }
  }
  void Pass(microseconds time) {
    now += time;
    while (!in_flight.empty() && in_flight.front().arrives_by <= now) {
      Arrive(0);
    }
  }
  void Step() {
    using step = order_step;
    switch (*rc::gen::weightedElement<step>({{2, step::kOtherWrite},
                                             {1, step::kPublish},
                                             {3, step::kGatewayReads},
                                             {4, step::kListArrives},
                                             {6, step::kAsk},
                                             {6, step::kPublisherIsRead},
                                             {6, step::kAnswerArrives},
                                             {3, step::kOrderArrives},
                                             {1, step::kKill},
                                             {3, step::kStart},
                                             {4, step::kTime},
                                             {1, step::kBackUp},
                                             {1, step::kRestore}})) {
      case step::kOtherWrite:
        ++store.revision;
        return;
      case step::kPublish:
        Publish();
        return;
      case step::kGatewayReads:
        gateways.at(AnyOf(gateways.size())) = {record, store};
        return;
      case step::kListArrives:
        list = sidecar ? gateways.at(AnyOf(gateways.size())) : listed();
        return;
      case step::kAsk:
        Ask();
        return;
      case step::kPublisherIsRead:
        Read();
        return;
      case step::kAnswerArrives:
        Answer();
        return;
      case step::kOrderArrives:
        Arrive(AnyOf(2));
        return;
      case step::kKill:
        sidecar.reset();
        asked.reset();
        return;
      case step::kStart:
        if (!sidecar) {
          Start();
        }
        return;
      case step::kTime:
        Pass(milliseconds(*rc::gen::inRange(0, 25000)));
        return;
      case step::kBackUp:
        copy = {record, store};
        return;
      case step::kRestore:
        record = copy.record;
        store = {store.era + 1, copy.at.revision};
        return;
    }
  }
};

TEST_CASE("in any order of restarts, lists and reads no order has a lower token") {
  int orders = 0;
  CHECK(rc::check("fencing tokens", [&] {
    order_model model;
    const int steps = *rc::gen::inRange(40, 600);
    for (int i = 0; i < steps; ++i) {
      model.Step();
    }
    model.Pass(order_model::kLongestFlight);
    orders += model.arrived;
    RC_ASSERT_FALSE(model.lower);
  }));
  MESSAGE("orders that arrived: " << orders);
  CHECK(orders > 20);
}

}  // namespace
}  // namespace jacinthspool
