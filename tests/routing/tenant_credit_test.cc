#include "jacinthspool/routing/tenant_credit.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "tests/routing/credit_fleet.h"

namespace jacinthspool {
namespace {

using testing::credit_fleet;
using design = credit_fleet::design;

/// Requests below the limit, of which this part is in large ones.
constexpr double kLarge = 0.9;

TEST_CASE("what a tenant sends below its limit is not refused") {
  for (const std::size_t gateways : {1U, 22U, 103U}) {
    for (const double rate : {36000.0, 120000.0}) {
      const double usual = rate / 1.8;
      CAPTURE(gateways);
      CAPTURE(rate);
      SUBCASE("in calm") {
        for (const design kind : {design::kLent, design::kEqualShares, design::kOneCounter}) {
          credit_fleet fleet(gateways, rate, 7, kind);
          fleet.Run(seconds(60), usual, kLarge);
          CHECK((kind == design::kEqualShares || fleet.refused_part() < 0.01));
          CHECK(fleet.worst <= 1);
        }
      }
      SUBCASE("while one gateway has all callers") {
        for (const design kind : {design::kLent, design::kEqualShares, design::kOneCounter}) {
          credit_fleet fleet(gateways, rate, 8, kind);
          fleet.callers = {gateways - 1};
          fleet.Run(seconds(60), usual, kLarge);
          CHECK((kind == design::kEqualShares || fleet.refused_part() < 0.05));
        }
      }
      SUBCASE("while the callers move") {
        credit_fleet fleet(gateways, rate, 9);
        for (int i = 0; i < 12; ++i) {
          fleet.callers = {i % gateways, (7 * i + 3) % gateways};
          fleet.Run(seconds(2), usual, kLarge);
        }
        CHECK(fleet.refused_part() < 0.05);
      }
      SUBCASE("while a third of the gateways restart, a home among them") {
        credit_fleet fleet(gateways, rate, 10);
        for (int i = 0; i < 3; ++i) {
          fleet.Run(seconds(5), usual, kLarge);
          for (std::size_t each = i; each < gateways; each += 3) {
            fleet.Restart(each, milliseconds(1500));
          }
          fleet.Run(seconds(5), usual, kLarge);
        }
        CHECK(fleet.refused_part() < 0.05);
        CHECK(fleet.worst <= 1);
      }
    }
  }
}

TEST_CASE("a loud tenant gets its limit and no more") {
  for (const std::size_t gateways : {1U, 22U, 103U}) {
    for (const design kind : {design::kLent, design::kEqualShares, design::kOneCounter}) {
      credit_fleet fleet(gateways, 36000, 11, kind);
      fleet.Run(seconds(40), 7.5 * 20000, kLarge);
      const double used = fleet.sent_tokens / (36000.0 * 41);
      CHECK(fleet.worst <= 1);
      CHECK((kind == design::kEqualShares || used > 0.95));
    }
  }
}

TEST_CASE("no gateway reaches a home") {
  for (const std::size_t gateways : {22U, 103U}) {
    credit_fleet fleet(gateways, 36000, 12);
    for (std::size_t home = 0; home < fleet.homes.size(); ++home) {
      for (std::size_t i = 0; i < gateways; ++i) {
        fleet.cut.insert({i, home});
      }
    }
    fleet.Run(seconds(30), 7.5 * 20000, kLarge);
    CHECK(fleet.worst <= 1);
    CHECK(fleet.sent_tokens > 36000 * 15);
  }
}

TEST_CASE("the sum holds whatever happens to the gateways") {
  CHECK(rc::check("views, restarts, suspensions and lowered limits", [] {
    const auto gateways = *rc::gen::element<std::size_t>(3, 22, 40);
    const auto rate = *rc::gen::element<int>(36000, 72000, 120000);
    credit_fleet fleet(gateways, rate, *rc::gen::arbitrary<std::uint16_t>());
    instant bound_from = fleet.now;
    for (const int what : *rc::gen::container<std::vector<int>>(10, rc::gen::inRange(0, 7))) {
      const auto one = *rc::gen::inRange<std::size_t>(0, gateways);
      switch (what) {
        case 0:  // A part of the gateways reaches only one home, which the others do not reach.
          fleet.cut.clear();
          for (std::size_t i = 0; i < gateways; ++i) {
            for (std::size_t home = 0; home < 3; ++home) {
              if ((i < one) == (home != one % 3) && i != home) {
                fleet.cut.insert({i, home});
              }
            }
          }
          break;
        case 1:
          fleet.cut.clear();
          break;
        case 2:
          fleet.Restart(one, milliseconds(*rc::gen::inRange(0, 3000)));
          break;
        case 3:
          for (std::size_t i = 0; i < gateways; ++i) {
            fleet.Restart(i, milliseconds(500));
          }
          break;
        case 4:  // Suspended, then it goes on with what it had.
          fleet.members[one].up = fleet.now + milliseconds(*rc::gen::inRange(100, 5000));
          break;
        case 5:
          if (fleet.of.limit.per_second > 20000) {
            fleet.SetLimit(fleet.of.limit.per_second * 0.7);
            bound_from = fleet.now + seconds(8);
          }
          break;
        default:
          fleet.callers = {one, (one + 5) % gateways};
      }
      fleet.Run(seconds(2), *rc::gen::element(0.3, 1.5, 6.0) * rate, kLarge);
      if (fleet.now >= bound_from) {
        fleet.SetBound();
      }
      RC_ASSERT(fleet.worst <= 1);
    }
  }));
}

TEST_CASE("one gateway's side") {
  const instant start(seconds(100));
  const tenant_credit::stated_limit of{
      .tenant = "t",
      .limit = {.per_second = 1000, .burst = 1000, .unit = limit_unit::kTokens},
      .version = 1};
  tenant_credit credit({.homes = {"a", "b"}});
  credit.SetGateways(4);
  const payment first = credit.Pay(of, 500, start);
  REQUIRE(std::holds_alternative<credit_needed>(first));
  const credit_needed asked = std::get<credit_needed>(first);

  SUBCASE("a refusal is remembered, and the callers return one after the other") {
    const payment refused = credit.OnAnswer(asked, {.wait = milliseconds(300), .askers = 2}, start);
    CHECK(std::get<credit_rejected>(refused).retry_after == milliseconds(300));
    const payment next = credit.Pay(of, 500, start + milliseconds(100));
    REQUIRE(std::holds_alternative<credit_rejected>(next));
    CHECK(std::get<credit_rejected>(next).retry_after == milliseconds(1200));
    CHECK(std::get<credit_rejected>(next).age == milliseconds(100));
    SUBCASE("not for smaller ones") {
      CHECK(std::holds_alternative<credit_needed>(credit.Pay(of, 200, start)));
    }
    SUBCASE("not once the limit has changed") {
      auto raised = of;
      raised.limit.per_second = 2000;
      CHECK(std::holds_alternative<credit_needed>(credit.Pay(raised, 500, start)));
    }
  }
  SUBCASE("the price of a request that did not run pays for another, for a second") {
    credit.Refund("t", 500, start);
    SUBCASE("") { CHECK(std::holds_alternative<credit_paid>(credit.Pay(of, 500, start))); }
    SUBCASE("after which it returns to its home") {
      const auto unused = credit.TakeUnused(start + milliseconds(600));
      REQUIRE(unused.size() == 1);
      CHECK(unused.front().ask.returned == 500);
    }
    SUBCASE("or is lost after a suspension") {
      CHECK(credit.TakeUnused(start + seconds(5)).empty());
      CHECK(std::holds_alternative<credit_needed>(credit.Pay(of, 500, start + seconds(5))));
    }
  }
  SUBCASE("the next home decides when one does not answer") {
    credit.OnNoAnswer(asked.home, start);
    const payment second = credit.Pay(of, 500, start);
    REQUIRE(std::holds_alternative<credit_needed>(second));
    CHECK(std::get<credit_needed>(second).home != asked.home);
    credit.OnContact(asked.home);
    CHECK(std::get<credit_needed>(credit.Pay(of, 500, start)).home == asked.home);
  }
}

TEST_CASE("the home's side") {
  const instant start(seconds(100));
  credit_lender lender("a");
  instant heard = start;
  const auto ask = [&](double price, double rate, std::uint64_t version, instant now) {
    for (; heard <= now; heard += milliseconds(500)) {
      lender.OnMember({.name = "g", .gateways = 1, .homes = {"a"}}, heard);
    }
    return lender.Lend("g",
                       {.tenant = "t",
                        .version = version,
                        .limit = {.per_second = rate, .burst = rate},
                        .price = price},
                       now);
  };
  SUBCASE("a request larger than the burst passes when the account is full, and is paid off") {
    CHECK_FALSE(ask(5000, 1000, 1, start).granted);
    CHECK(ask(5000, 1000, 1, start + seconds(2)).granted);
    const credit_answer next = ask(10, 1000, 1, start + seconds(2));
    CHECK_FALSE(next.granted);
    CHECK(next.wait == seconds(4));
    CHECK(ask(10, 1000, 1, start + seconds(6)).granted);
  }
  SUBCASE("a lower limit holds at once, and an older version does not undo it") {
    CHECK(ask(1, 100000, 1, start).granted);
    CHECK(ask(2000, 1000, 2, start + seconds(10)).wait >= milliseconds(0));
    CHECK_FALSE(ask(50000, 100000, 1, start + seconds(10)).granted);
  }
}

}  // namespace
}  // namespace jacinthspool
