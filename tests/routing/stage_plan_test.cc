#include "jacinthspool/routing/stage_plan.h"

#include <doctest/doctest.h>

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

int Switching(const std::vector<backend_record>& engines) {
  const stage_plan plan({.prefill_percent = 22, .least_prefill = 6});
  int count = 0;
  for (const backend_record& engine : engines) {
    count += plan.ShouldDecode(engines, engine.id) ? 1 : 0;
  }
  return count;
}

TEST_CASE("surplus prefill engines decode, and the plan is done when they do") {
  CHECK(Switching(Engines(15, 28)) == 5);
  CHECK(Switching(Engines(10, 33)) == 0);

  SUBCASE("a small service keeps what it has") { CHECK(Switching(Engines(4, 5)) == 0); }
  SUBCASE("engines that leave are not counted") {
    auto engines = Engines(15, 28);
    for (int i = 0; i < 9; ++i) {
      engines[static_cast<std::size_t>(i)].leaving = true;
    }
    CHECK(Switching(engines) == 0);
  }
  SUBCASE("a decoding engine is never told to") {
    const auto engines = Engines(15, 28);
    CHECK_FALSE(stage_plan({}).ShouldDecode(engines, "e20"));
    CHECK_FALSE(stage_plan({}).ShouldDecode(engines, "unknown"));
  }
}

}  // namespace
}  // namespace jacinthspool
