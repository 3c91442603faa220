#include "jacinthspool/routing/prefill_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <vector>

namespace jacinthspool {
namespace {

constexpr std::uint64_t kPrompt = 3200;
constexpr milliseconds kAlone = milliseconds(96);
constexpr milliseconds kObjective = milliseconds(900);

void RecordPrefills(prefill_placement& choice, int prompts, milliseconds taken, instant now) {
  for (int i = 0; i < prompts; ++i) {
    choice.RecordPrefill("s", prefill_place::kPrefillEngine, kPrompt, taken, now);
  }
}

TEST_CASE("prompts go to prefill engines as long as the answer begins on time that way") {
  const instant now{seconds(100)};
  prefill_placement choice({});
  CHECK(choice.Choose("s", kPrompt, kObjective, now) == prefill_place::kPrefillEngine);
  RecordPrefills(choice, 50, kAlone, now);
  CHECK(choice.prefill_rate("s") == doctest::Approx(3200.0 / 96000).epsilon(0.01));
  CHECK(choice.Choose("s", kPrompt, kObjective, now) == prefill_place::kPrefillEngine);

  SUBCASE("when prefill engines have slowed down, the decode engine prefills") {
    RecordPrefills(choice, 10, kAlone * 12, now);
    CHECK(choice.Choose("s", kPrompt, kObjective, now) == prefill_place::kDecodeEngine);
    SUBCASE("a prompt that is short enough still goes to a prefill engine") {
      CHECK(choice.Choose("s", kPrompt / 3, kObjective, now) == prefill_place::kPrefillEngine);
    }
    SUBCASE("a prompt that would be late in both places goes to a prefill engine") {
      CHECK(choice.Choose("s", kPrompt, kAlone, now) == prefill_place::kPrefillEngine);
    }
    SUBCASE("prompts go to prefill engines when decode engines are as slow") {
      for (int i = 0; i < 10; ++i) {
        choice.RecordPrefill("s", prefill_place::kDecodeEngine, kPrompt, kAlone * 12, now);
      }
      CHECK(choice.Choose("s", kPrompt, kObjective, now) == prefill_place::kPrefillEngine);
    }
    SUBCASE("prefill engines are tried again once the slowdown has decayed") {
      const instant later = now + seconds(2);
      CHECK(choice.Choose("s", kPrompt, kObjective, later) == prefill_place::kPrefillEngine);
    }
  }
  SUBCASE("prompts that share an engine do not lower its prefill rate") {
    for (int i = 0; i < 200; ++i) {
      RecordPrefills(choice, 1, i % 2 == 0 ? kAlone : 3 * kAlone, now);
    }
    CHECK(choice.prefill_rate("s") == doctest::Approx(3200.0 / 96000).epsilon(0.1));
  }
}

/// Simulates three prefill engines that process one prompt after the other while
/// prompts arrive steadily; for four seconds in the middle only one is available.
struct prefill_loss_simulation {
  int requests = 0;
  int on_time = 0;

  explicit prefill_loss_simulation(bool may_choose) {
    const instant start{seconds(100)};
    constexpr milliseconds kEvery = milliseconds(60);
    prefill_placement choice({});
    struct prefill {
      instant end;
      microseconds taken;
    };
    std::vector<prefill> running;
    std::array<instant, 3> free_at = {start, start, start};
    for (milliseconds at{0}; at < seconds(12); at += kEvery) {
      const instant now = start + at;
      std::erase_if(running, [&](const prefill& each) {
        if (each.end <= now) {
          choice.RecordPrefill("s", prefill_place::kPrefillEngine, kPrompt, each.taken, now);
        }
        return each.end <= now;
      });
      const bool lost = at >= seconds(4) && at < seconds(8);
      instant& engine = *std::min_element(free_at.begin(), free_at.begin() + (lost ? 1 : 3));
      ++requests;
      microseconds first_event = kAlone * 23 / 10;
      if (!may_choose ||
          choice.Choose("s", kPrompt, kObjective, now) == prefill_place::kPrefillEngine) {
        engine = std::max(engine, now) + kAlone;
        running.push_back({.end = engine, .taken = engine - now});
        first_event = engine - now + milliseconds(90);
      }
      on_time += first_event <= kObjective ? 1 : 0;
    }
  }
};

TEST_CASE("when most prefill engines are lost, requests are still answered on time") {
  const prefill_loss_simulation prefill_engines_only(false);
  const prefill_loss_simulation chosen(true);
  REQUIRE(chosen.requests == 200);
  // 67 prompts arrive in the four seconds, of which one engine can prefill 42.
  CHECK(chosen.on_time >= 170);
  CHECK(chosen.on_time >= prefill_engines_only.on_time + 20);
}

}  // namespace
}  // namespace jacinthspool
