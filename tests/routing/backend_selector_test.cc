#include "jacinthspool/routing/backend_selector.h"

#include <doctest/doctest.h>

#include <random>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kSeed = 17;

std::map<std::string, backend_record> Servers(int count) {
  std::map<std::string, backend_record> made;
  for (int i = 0; i < count; ++i) {
    const std::string id = "b" + std::to_string(i);
    made[id] = {.id = id, .service = "s", .data_centre = "dc"};
  }
  return made;
}

/// Simulates requests one after the other; server `failing` fails the fraction `share` of its own.
/// \returns The number of failures.
int CountFailures(backend_selector& selector, const std::string& failing, double share,
                  instant start) {
  std::mt19937_64 random(kSeed);
  std::uniform_real_distribution<double> chance;
  int failures = 0;
  for (int i = 0; i < 400; ++i) {
    const instant now = start + milliseconds(20) * i;
    const backend_record* chosen =
        selector.Choose({.service = "s", .repeatable = true}, now, random());
    REQUIRE(chosen != nullptr);
    const bool fails = chosen->id == failing && chance(random) < share;
    failures += fails ? 1 : 0;
    selector.OnStarted(chosen->id, 1);
    selector.OnEnded(chosen->id, 1, fails ? attempt_result::kFailed : attempt_result::kGood,
                     milliseconds(10), now + milliseconds(10));
  }
  return failures;
}

TEST_CASE("a server that fails part of its requests gets few of them") {
  const instant start{seconds(100)};
  backend_selector selector({.data_centre = "dc"});
  selector.Update(Servers(4));
  // A quarter of 400 requests would be 100, of which 45 fail.
  CHECK(CountFailures(selector, "b1", 0.45, start) < 20);

  SUBCASE("a recovered server gets its share of the requests again") {
    std::mt19937_64 random(kSeed);
    int chosen = 0;
    for (int i = 0; i < 400; ++i) {
      const instant now = start + seconds(30) + milliseconds(20) * i;
      const std::string id =
          selector.Choose({.service = "s", .repeatable = true}, now, random())->id;
      chosen += id == "b1" ? 1 : 0;
      selector.OnStarted(id, 1);
      selector.OnEnded(id, 1, attempt_result::kGood, milliseconds(10), now + milliseconds(10));
    }
    CHECK(chosen > 50);
  }
}

TEST_CASE("errors common to all servers eject at most one of them") {
  const instant start{seconds(100)};
  backend_selector selector({.data_centre = "dc"});
  selector.Update(Servers(3));
  for (int i = 0; i < 300; ++i) {
    const instant now = start + milliseconds(20) * i;
    const std::string id = "b" + std::to_string(i % 3);
    selector.OnStarted(id, 1);
    selector.OnEnded(id, 1, i % 10 < 3 ? attempt_result::kFailed : attempt_result::kGood,
                     milliseconds(10), now);
    CHECK(selector.ejected(now) <= 1);
  }
}

TEST_CASE("an unreachable server is ejected, then probed by repeatable requests first") {
  const instant start{seconds(100)};
  backend_selector selector({.data_centre = "dc", .min_ejection = seconds(1)});
  selector.Update(Servers(4));
  selector.OnStarted("b0", 1);
  selector.OnEnded("b0", 1, attempt_result::kUnreachable, {}, start);
  for (std::uint64_t random = 0; random < 20; ++random) {
    CHECK(selector.Choose({.service = "s", .repeatable = true}, start, random)->id != "b0");
    CHECK(selector.Choose({.service = "s"}, start + milliseconds(1500), random)->id != "b0");
  }

  SUBCASE("at most half of the servers are ejected") {
    for (const char* id : {"b1", "b2", "b3"}) {
      selector.OnStarted(id, 1);
      selector.OnEnded(id, 1, attempt_result::kUnreachable, {}, start);
    }
    CHECK(selector.Choose({.service = "s"}, start, 0) != nullptr);
  }
}

TEST_CASE("leaving, excluded, busy servers and those of another stage are not chosen") {
  const instant now{seconds(100)};
  backend_selector selector({.data_centre = "dc"});
  auto servers = Servers(3);
  servers["b0"].leaving = true;
  servers["b1"].stage = engine_stage::kDecode;
  selector.Update(servers);
  const std::set<std::string> tried = {"b2"};
  CHECK(selector.Choose({.service = "s"}, now, 0)->id == "b2");
  CHECK(selector.Choose({.service = "s", .tried = &tried}, now, 0) == nullptr);
  CHECK(selector.Choose({.service = "s", .stage = engine_stage::kDecode}, now, 0)->id == "b1");
  selector.SetBusy("b1", now + milliseconds(50));
  CHECK(selector.Choose({.service = "s", .stage = engine_stage::kDecode, .only_free = true}, now,
                        0) == nullptr);
  selector.ClearBusy("b1");
  CHECK(selector.Choose({.service = "s", .stage = engine_stage::kDecode, .only_free = true}, now,
                        0) != nullptr);
}

TEST_CASE("a server that is backing off is not chosen, even when it is the only one") {
  const instant now{seconds(100)};
  backend_selector selector({.data_centre = "dc"});
  selector.Update(Servers(2));
  selector.SetBackOff("b0", now + seconds(3));
  CHECK(selector.Choose({.service = "s"}, now, 0)->id == "b1");
  CHECK_FALSE(selector.BackOffEnd("s", engine_stage::kNone, now));
  selector.SetBackOff("b1", now + seconds(2));
  CHECK(selector.Choose({.service = "s"}, now, 0) == nullptr);
  CHECK(selector.BackOffEnd("s", engine_stage::kNone, now) == now + seconds(2));
  CHECK(selector.Choose({.service = "s"}, now + seconds(2), 0)->id == "b1");

  SUBCASE("a shorter back-off does not end a longer one") {
    selector.SetBackOff("b1", now + seconds(1));
    CHECK(selector.backing_off("b1", now + milliseconds(1500)));
  }
  SUBCASE("the back-off does not apply to another incarnation") {
    backend_record next = Servers(1)["b0"];
    next.started_ms = 5;
    selector.Update(next);
    CHECK(selector.Choose({.service = "s"}, now, 0)->id == "b0");
  }
}

TEST_CASE("a record that was found wrong is not used") {
  const instant now{seconds(100)};
  backend_selector selector({.data_centre = "dc", .wrong_record_pause = seconds(5)});
  auto servers = Servers(1);
  selector.Update(servers);
  selector.MarkRecordWrong("b0", now);
  CHECK(selector.Choose({.service = "s"}, now, 0) == nullptr);

  SUBCASE("until a newer record is published") {
    servers["b0"].published = 9;
    selector.Update(servers);
    CHECK(selector.Choose({.service = "s"}, now, 0) != nullptr);
  }
  SUBCASE("for a limited time only, since it may be correct after all") {
    CHECK(selector.Choose({.service = "s"}, now + seconds(5), 0) != nullptr);
  }
}

TEST_CASE("a failing server gets no requests because the others have reached their limits") {
  const instant start{seconds(100)};
  backend_selector selector({});
  std::map<std::string, backend_record> servers;
  for (const char* id : {"failing", "limited-1", "limited-2"}) {
    servers[id] = {.id = id, .service = "plain"};
  }
  selector.Update(servers);
  selector.OnStarted("failing", 1);
  selector.OnEnded("failing", 1, attempt_result::kUnreachable, {}, start);
  send_limiter limiter({.gateway = "g"});
  limiter.fleet().OnReport({.name = "g", .made = start});
  for (const char* id : {"limited-1", "limited-2"}) {
    limiter.limits().OnReply(id, 0, rate_limited{2}, start, start);
  }
  limiter.Update(servers, start);
  const placement wanted{.service = "plain", .limiter = &limiter};
  CHECK(selector.Choose(wanted, start, 1) == nullptr);
  const auto capacity = selector.LimitedCapacity(wanted, start);
  REQUIRE(capacity);
  CHECK(capacity->per_second > 3);
  REQUIRE(capacity->ready);
  CHECK(selector.Choose(wanted, *capacity->ready, 1) != nullptr);
}

}  // namespace
}  // namespace jacinthspool
