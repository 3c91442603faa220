#include "jacinthspool/routing/stage_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace jacinthspool {
namespace {

std::vector<backend_record> Engines(int prefill, int decode) {
  std::vector<backend_record> made;
  made.reserve(static_cast<std::size_t>(prefill) + static_cast<std::size_t>(decode));
  for (int i = 0; i < prefill + decode; ++i) {
    made.push_back({.id = "e" + std::to_string(i),
                    .service = "s",
                    .stage = i < prefill ? engine_stage::kPrefill : engine_stage::kDecode});
  }
  return made;
}

/// \returns The number of engines that should change to that stage.
int Switching(const std::vector<backend_record>& engines, std::optional<double> share = {},
              engine_stage stage = engine_stage::kDecode) {
  const stage_plan plan({.prefill_percent = 22, .min_prefill = 6});
  return static_cast<int>(
      std::count_if(engines.begin(), engines.end(), [&](const backend_record& engine) {
        return plan.Change(engines, engine.id, share) == stage;
      }));
}

TEST_CASE("surplus prefill engines change to decode, and then no more") {
  CHECK(Switching(Engines(15, 28)) == 5);
  CHECK(Switching(Engines(10, 33)) == 0);

  SUBCASE("a service with few prefill engines keeps them") { CHECK(Switching(Engines(4, 5)) == 0); }
  SUBCASE("leaving engines are not counted") {
    auto engines = Engines(15, 28);
    for (int i = 0; i < 9; ++i) {
      engines[static_cast<std::size_t>(i)].leaving = true;
    }
    CHECK(Switching(engines) == 0);
  }
  SUBCASE("decode engines and unknown engines never change to decode") {
    const auto engines = Engines(15, 28);
    CHECK(stage_plan({}).Change(engines, "e20", {}) != engine_stage::kDecode);
    CHECK_FALSE(stage_plan({}).Change(engines, "unknown", {}));
  }
}

TEST_CASE("a wanted share is approached from above and from below") {
  CHECK(Switching(Engines(6, 6), 0.275) == 2);
  CHECK(Switching(Engines(2, 10), 0.275, engine_stage::kPrefill) == 1);
  CHECK(Switching(Engines(3, 9), 0.275) == 0);
  CHECK(Switching(Engines(3, 9), 0.275, engine_stage::kPrefill) == 0);

  SUBCASE("a share between two whole numbers of engines moves none") {
    for (const int prefill : {3, 4}) {
      CHECK(Switching(Engines(prefill, 12 - prefill), 0.29) == 0);
      CHECK(Switching(Engines(prefill, 12 - prefill), 0.29, engine_stage::kPrefill) == 0);
    }
  }
  SUBCASE("in a large service small changes of the share move no engine") {
    for (const double share : {0.19, 0.20, 0.21}) {
      CHECK(Switching(Engines(20, 80), share) == 0);
      CHECK(Switching(Engines(20, 80), share, engine_stage::kPrefill) == 0);
    }
  }
  SUBCASE("each stage keeps at least one engine, whatever the share") {
    CHECK(Switching(Engines(3, 1), 0.0) == 2);
    CHECK(Switching(Engines(1, 3), 1.0, engine_stage::kPrefill) == 2);
  }
  SUBCASE("a single engine does not change") {
    CHECK(Switching(Engines(1, 0), 0.1) == 0);
    CHECK(Switching(Engines(0, 1), 0.9, engine_stage::kPrefill) == 0);
  }
  SUBCASE("leaving prefill engines are replaced") {
    auto engines = Engines(4, 9);
    engines[0].leaving = true;
    engines[1].leaving = true;
    CHECK(Switching(engines, 0.275, engine_stage::kPrefill) == 1);
  }
}

}  // namespace
}  // namespace jacinthspool
