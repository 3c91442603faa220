#include <doctest/doctest.h>

#include <cstdlib>
#include <sstream>

#include "tests/gateway/crashing_fleet.h"

namespace jacinthspool {
namespace {

using place = crashing_fleet::place;
using testing::crash_rule;

void CheckRule(crashing_fleet& fleet) {
  fleet.Finish();
  const crash_rule& rule = fleet.rule;
  MESSAGE("seed " << fleet.settings.seed << ": " << rule.crashes() << " engines ended, "
                  << rule.late_sends() << " late sends; sound requests begun: "
                  << rule.before().begun << " of " << rule.before().sent << " before, "
                  << rule.after().begun << " of " << rule.after().sent << " after");
  CHECK(rule.crashes() > 0);
  CHECK_FALSE(rule.overspent());
  CHECK(rule.before().sent >= crash_rule::kLeastRequests);
  CHECK(rule.after().sent >= crash_rule::kLeastRequests);
  CHECK_FALSE(rule.holds_sound_back());
}

TEST_CASE("requests with one part in their prompts do not end engine after engine") {
  crashing_fleet fleet({.bad_parts = {place::kMiddle}});
  fleet.Run(seconds(2));
  fleet.SendBad();
  fleet.Run(milliseconds(10500));
  CheckRule(fleet);
}

TEST_CASE("one request that is sent again and again does not end engine after engine") {
  crashing_fleet fleet({.bad_parts = {place::kWholeRequest}});
  fleet.Run(seconds(2));
  fleet.SendBad();
  fleet.Run(milliseconds(10500));
  CheckRule(fleet);
}

TEST_CASE("engines that end for another cause leave no sound request held back") {
  crashing_fleet fleet(
      {.decode_engines = 12, .first_event_after = 4, .sound_interval = milliseconds(8)});
  fleet.Run(seconds(2));
  for (int wave = 0; wave < 3; ++wave) {
    fleet.EndHalf();
    fleet.Run(seconds(2));
  }
  REQUIRE(fleet.ended_before_event > crash_rule::kCrashes);
  fleet.Run(seconds(2));
  const instant back = timer_service::now();
  fleet.Run(seconds(2));
  fleet.Finish();
  const crash_rule::tally after = fleet.rule.SoundBetween(back, instant::max());
  MESSAGE(fleet.ended_before_event << " engines ended before an event; " << after.begun << " of "
                                   << after.sent << " sound requests begun after the waves");
  CHECK(after.sent >= crash_rule::kLeastRequests);
  CHECK(after.begun == after.sent);
}

/// For manual runs: CRASH_FLEET="FIRST COUNT GATEWAYS ENGINES PLACES SECONDS DISTURBED" (PLACES: f,
/// m or l a bad part, w a bad request; DISTURBED 1: gateways are stopped and cut off, 2: prefill
/// engines end too).
TEST_CASE("further fleets from CRASH_FLEET") {
  const char* requested = std::getenv("CRASH_FLEET");
  if (requested == nullptr) {
    return;
  }
  std::istringstream text(requested);
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  int gateways = 30;
  int engines = 60;
  std::string places = "m";
  int length = 12;
  int disturbed = 0;
  text >> first >> count >> gateways >> engines >> places >> length >> disturbed;
  std::vector<place> bad;
  for (const char each : places) {
    bad.push_back(each == 'f'   ? place::kFirst
                  : each == 'm' ? place::kMiddle
                  : each == 'w' ? place::kWholeRequest
                                : place::kLastShared);
  }
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    crashing_fleet fleet({.gateways = gateways,
                          .decode_engines = engines,
                          .prefill_engines = std::max(2, engines / 4),
                          .bad_parts = bad,
                          .prefill_ends = disturbed >= 2,
                          .seed = seed});
    fleet.Run(seconds(3));
    fleet.SendBad();
    for (int second = 0; second < length; second += 2) {
      const std::size_t stopped = fleet.random() % fleet.members.size();
      const std::size_t cut = (stopped + 1) % fleet.members.size();
      if (disturbed > 0) {
        fleet.Kill(stopped);
        fleet.Cut(cut, true);
      }
      fleet.Run(seconds(2));
      if (disturbed > 0) {
        fleet.Return(stopped);
        fleet.Cut(cut, false);
      }
    }
    CheckRule(fleet);
  }
}

TEST_CASE("the rule on parts that end servers") {
  const instant start = timer_service::now();
  crash_rule rule;
  const auto crash = [&](int times) {
    for (int i = 0; i < times; ++i) {
      rule.OnCrash(1, start + seconds(10));
    }
  };
  const auto send = [&](int times, milliseconds after, const char* gateway = "g") {
    for (int i = 0; i < times; ++i) {
      rule.OnSend(gateway, 1, start + seconds(10) + after);
    }
  };
  const auto sound = [&](int times, seconds at, int begun) {
    for (int i = 0; i < times; ++i) {
      rule.OnSound("g", start + at, i < begun);
    }
  };
  SUBCASE("allows any number of sends before the fifth crash is known to all") {
    crash(4);
    send(9, seconds(5));
    crash(1);
    send(9, seconds(3));
    CHECK_FALSE(rule.overspent());
  }
  SUBCASE("allows three sends from then on, of all gateways in touch together") {
    crash(6);
    rule.Excuse("cut", start + seconds(20));
    send(9, milliseconds(3001), "cut");
    send(2, milliseconds(3001), "a");
    send(1, seconds(4), "b");
    CHECK_FALSE(rule.overspent());
    SUBCASE("and no fourth") {
      send(1, seconds(60), "c");
      CHECK(rule.overspent());
    }
    SUBCASE("nor one of a gateway that is in touch again") {
      send(1, seconds(10), "cut");
      CHECK(rule.overspent());
    }
  }
  SUBCASE("wants half of the sound requests to begin") {
    sound(20, seconds(9), 20);
    crash(5);
    sound(50, seconds(15), 0);
    CHECK_FALSE(rule.holds_sound_back());
    SUBCASE("and breaks below") {
      sound(20, seconds(16), 9);
      CHECK(rule.holds_sound_back());
    }
    SUBCASE("and holds at half") {
      sound(20, seconds(16), 10);
      CHECK_FALSE(rule.holds_sound_back());
    }
  }
}

}  // namespace
}  // namespace jacinthspool
