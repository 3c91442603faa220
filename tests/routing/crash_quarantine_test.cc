#include "jacinthspool/routing/crash_quarantine.h"

#include <doctest/doctest.h>

#include <string>

namespace jacinthspool {
namespace {

using parts = std::vector<crash_suspect>;

constexpr prompt_part kCaller = 1;
constexpr prompt_part kBad = 2;
const parts kBadPrompt{kCaller, kBad};
const parts kNone{};
const instant kStart(seconds(1000));

crash_quarantine Make(const std::string& gateway, bool has_peers = false) {
  return crash_quarantine({.gateway = gateway, .has_peers = has_peers, .started = kStart});
}

backend_incarnation Server(int index) { return {"i-" + std::to_string(index), 1}; }

/// A server ends under a request, and refuses connections from then on.
void Crash(crash_quarantine& seen_by, int server, const parts& prompt, instant at) {
  seen_by.OnServerEnd(Server(server), end_sign::kCut, prompt, at);
  seen_by.OnServerEnd(Server(server), end_sign::kRefused, kNone, at + milliseconds(1));
}

std::vector<crash_report> ReportsOf(const crash_quarantine& one) {
  std::vector<crash_report> all;
  for (const auto& [key, report] : one.reports()) {
    all.push_back(report);
  }
  return all;
}

void Tell(crash_quarantine& to, const crash_quarantine& from, instant now) {
  to.OnPeer(ReportsOf(from), from.Trials(), now);
  to.OnContact(now);
}

template <typename Verdict>
bool Is(const quarantine_verdict& verdict) {
  return std::holds_alternative<Verdict>(verdict);
}

/// Three servers ended under the part, a second apart; its caller has sound requests.
crash_quarantine MakeHolding() {
  crash_quarantine one = Make("g0");
  one.OnAnswer(parts{kCaller}, kStart);
  for (int i = 0; i < 3; ++i) {
    Crash(one, i, kBadPrompt, kStart + seconds(1 + i));
  }
  return one;
}

TEST_CASE("a part under which servers end one after the other is held, and its caller is not") {
  crash_quarantine one = MakeHolding();
  const instant now = kStart + seconds(4);
  const quarantine_verdict verdict = one.Check(kBadPrompt, now);
  REQUIRE(Is<request_held>(verdict));
  const auto& held = std::get<request_held>(verdict);
  CHECK(held.evidence.suspect == kBad);
  CHECK(held.evidence.servers == 3);
  CHECK(held.evidence.gateways == std::set<std::string>{"g0"});
  CHECK(held.age == seconds(1));
  CHECK(held.retry_after == seconds(19));
  CHECK(Is<request_admitted>(one.Check(parts{kCaller, 99}, now)));
  CHECK(one.MustCancel(kBadPrompt, now));
  CHECK_FALSE(one.MustCancel(parts{kCaller}, now));

  SUBCASE("a gateway that hears of it holds the part as well") {
    crash_quarantine other = Make("g1", true);
    Tell(other, one, now);
    CHECK(Is<request_held>(other.Check(kBadPrompt, now)));
    SUBCASE("and an answer that it sees clears the part at both") {
      other.OnAnswer(kBadPrompt, now);
      CHECK(other.TakeNews());
      Tell(one, other, now + milliseconds(50));
      CHECK(Is<request_admitted>(one.Check(kBadPrompt, now + milliseconds(50))));
    }
  }
  SUBCASE("crashes that each gateway has seen alone add up") {
    crash_quarantine left = Make("g1", true);
    crash_quarantine right = Make("g2", true);
    left.OnAnswer(parts{kCaller}, kStart);
    right.OnContact(kStart + seconds(4));
    Crash(left, 10, kBadPrompt, kStart + seconds(1));
    Crash(left, 11, kBadPrompt, kStart + seconds(2));
    Crash(right, 12, kBadPrompt, kStart + seconds(3));
    CHECK(Is<request_admitted>(right.Check(kBadPrompt, now)));
    CHECK(right.TakeNews());
    Tell(right, left, now);
    CHECK(Is<request_held>(right.Check(kBadPrompt, now)));
    CHECK(Is<request_admitted>(right.Check(parts{kCaller, 5}, now)));
  }
}

TEST_CASE("a held part gets few trials, each by one gateway with a single send") {
  crash_quarantine one = MakeHolding();
  instant now = kStart + seconds(23);
  CHECK(Is<request_held>(one.Check(kBadPrompt, now - milliseconds(1))));
  REQUIRE(Is<request_trial>(one.Check(kBadPrompt, now)));
  SUBCASE("a gateway without evidence of its own leaves the trial to others") {
    crash_quarantine other = Make("g1", true);
    Tell(other, one, now);
    CHECK(Is<request_held>(other.Check(kBadPrompt, now)));
  }
  one.OnTrial(kBad, now);
  CHECK(one.TakeNews());
  CHECK(Is<request_held>(one.Check(kBadPrompt, now)));
  SUBCASE("an answer ends the verdict") {
    one.OnAnswer(kBadPrompt, now + seconds(1));
    CHECK(Is<request_admitted>(one.Check(kBadPrompt, now + seconds(1))));
  }
  SUBCASE("another crash doubles the wait, and there are no more than two trials") {
    Crash(one, 3, kBadPrompt, now + seconds(1));
    CHECK(Is<request_held>(one.Check(kBadPrompt, now + seconds(60))));
    now += seconds(1) + seconds(20) * 4;
    REQUIRE(Is<request_trial>(one.Check(kBadPrompt, now)));
    one.OnTrial(kBad, now);
    for (int minutes = 0; minutes < 23 * 60; ++minutes) {
      one.Expire(now + std::chrono::minutes(minutes));
      CHECK(Is<request_held>(one.Check(kBadPrompt, now + std::chrono::minutes(minutes))));
    }
  }
}

TEST_CASE("a peer's reports cannot mislead a gateway") {
  const instant now = kStart + seconds(30);
  SUBCASE("those that name no gateway hold a part without trials") {
    crash_quarantine one = Make("g0");
    std::vector<crash_report> unnamed;
    unnamed.reserve(3);
    for (int i = 0; i < 3; ++i) {
      unnamed.push_back({.server = Server(i),
                         .sign = end_sign::kRefused,
                         .ended = kStart + seconds(i),
                         .suspects = {{kBad, {}}}});
    }
    one.OnPeer(unnamed, {}, now);
    CHECK(Is<request_held>(one.Check(kBadPrompt, now)));
  }
  SUBCASE("those that all others have dropped by their age are not told again") {
    crash_quarantine one = Make("g0", true);
    const crash_report old{.server = Server(1),
                           .sign = end_sign::kRefused,
                           .ended = now - seconds(601),
                           .gateways = {"g1"},
                           .suspects = {{kBad, {}}}};
    one.OnContact(now);
    one.OnPeer(std::vector{old}, {}, now);
    CHECK(one.reports().empty());
    CHECK_FALSE(one.TakePeerNews());
    SUBCASE("but evidence against what is held is") {
      std::vector<crash_report> all;
      for (int i = 0; i < 3; ++i) {
        all.push_back(old);
        all.back().server = Server(i);
        all.back().ended -= seconds(i);
      }
      one.OnPeer(all, {}, now);
      CHECK(one.reports().size() == 3);
      CHECK(one.TakePeerNews());
      CHECK(Is<request_held>(one.Check(kBadPrompt, now)));
    }
  }
}

TEST_CASE("a request under which two servers have ended is not sent to a third") {
  crash_quarantine one = Make("g0");
  one.OnAnswer(parts{kCaller}, kStart);
  Crash(one, 0, kBadPrompt, kStart + seconds(1));
  CHECK(one.MayRepeat(kBadPrompt, kStart + seconds(1)));
  Crash(one, 1, kBadPrompt, kStart + seconds(2));
  CHECK_FALSE(one.MayRepeat(kBadPrompt, kStart + seconds(2)));
  SUBCASE("requests whose parts are all known to be sound go on") {
    CHECK(one.MayRepeat(parts{kCaller}, kStart + seconds(2)));
  }
}

TEST_CASE("a link that is cut is not taken for a server that has ended") {
  crash_quarantine one = Make("g0");
  for (int i = 0; i < 5; ++i) {
    const instant at = kStart + seconds(3 * i);
    one.OnServerEnd(Server(i), end_sign::kCut, kBadPrompt, at);
    one.OnHeard(Server(i), at + milliseconds(200));
  }
  CHECK(Is<request_admitted>(one.Check(kBadPrompt, kStart + seconds(20))));
  SUBCASE("bytes that were on their way when the server ended prove nothing") {
    for (int i = 10; i < 13; ++i) {
      const instant at = kStart + seconds(20 + i);
      one.OnServerEnd(Server(i), end_sign::kCut, kBadPrompt, at);
      one.OnHeard(Server(i), at + milliseconds(20));
    }
    CHECK(Is<request_held>(one.Check(kBadPrompt, kStart + seconds(40))));
  }
  SUBCASE("a server whose link was cut before may still end") {
    for (int i = 0; i < 3; ++i) {
      Crash(one, i, kBadPrompt, kStart + seconds(30 + i));
    }
    CHECK(Is<request_held>(one.Check(kBadPrompt, kStart + seconds(40))));
  }
  SUBCASE("a refused connection without a cut is none either") {
    crash_quarantine other = Make("g1");
    for (int i = 0; i < 5; ++i) {
      other.OnServerEnd(Server(i), end_sign::kRefused, kNone, kStart + seconds(i));
    }
    CHECK(other.reports().empty());
  }
}

TEST_CASE("a gateway that starts asks the others before it sends prompts that it does not know") {
  crash_quarantine fresh = Make("g1", true);
  const instant now = kStart + milliseconds(100);
  CHECK(Is<request_unknown>(fresh.Check(kBadPrompt, now)));
  CHECK(Is<request_admitted>(fresh.Check(kNone, now)));
  SUBCASE("their answer decides") {
    crash_quarantine holding = Make("g0");
    holding.OnAnswer(parts{kCaller}, kStart - seconds(10));
    for (int i = 0; i < 3; ++i) {
      Crash(holding, i, kBadPrompt, kStart - seconds(5 - i));
    }
    Tell(fresh, holding, now);
    CHECK(Is<request_held>(fresh.Check(kBadPrompt, now)));
    CHECK(Is<request_admitted>(fresh.Check(parts{kCaller, 9}, now)));
  }
  SUBCASE("without an answer it goes on alone, and then one crash is enough") {
    const instant later = kStart + seconds(2);
    CHECK(Is<request_admitted>(fresh.Check(kBadPrompt, later)));
    fresh.OnAnswer(parts{kCaller}, later);
    Crash(fresh, 0, kBadPrompt, later);
    CHECK(Is<request_held>(fresh.Check(kBadPrompt, later + milliseconds(10))));
    CHECK(Is<request_admitted>(fresh.Check(parts{kCaller}, later + milliseconds(10))));
    fresh.OnContact(later + milliseconds(20));
    CHECK(Is<request_admitted>(fresh.Check(kBadPrompt, later + milliseconds(30))));
  }
}

TEST_CASE("a flood of crashes pushes out no evidence against a held part") {
  crash_quarantine one = MakeHolding();
  const instant now = kStart + seconds(10);
  CHECK(Is<request_held>(one.Check(kBadPrompt, now)));
  for (int i = 0; i < 1000; ++i) {
    Crash(one, 100 + i, parts{1000U + static_cast<prompt_part>(i)}, now + milliseconds(i));
  }
  CHECK(one.reports().size() <= 128);
  CHECK(Is<request_held>(one.Check(kBadPrompt, now + seconds(2))));
  SUBCASE("nor does time, while other evidence is dropped") {
    one.Expire(now + seconds(3600));
    CHECK(one.reports().size() == 3);
    CHECK(Is<request_held>(one.Check(parts{kCaller, kBad, 5}, now + seconds(3600))));
  }
}

}  // namespace
}  // namespace jacinthspool
