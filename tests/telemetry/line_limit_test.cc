#include "src/telemetry/line_limit.h"

#include <doctest/doctest.h>

#include <string>

namespace jacinthspool {
namespace {

TEST_CASE("a condition that recurs writes a bounded number of lines") {
  line_limit limit({.max_lines = 3, .period = seconds(60)});
  const instant start = instant{} + seconds(1000);
  CHECK(limit.Permits("a", start));
  CHECK_FALSE(limit.Permits("a", start + seconds(1)));
  CHECK(limit.Permits("b", start));
  CHECK(limit.TakeSuppressed() == 1);
  CHECK(limit.TakeSuppressed() == 0);

  SUBCASE("many keys share one number of lines") {
    CHECK(limit.Permits("c", start));
    for (int i = 0; i < 100; ++i) {
      CHECK_FALSE(limit.Permits("d" + std::to_string(i), start));
    }
    CHECK(limit.TakeSuppressed() == 100);
  }
  SUBCASE("a condition that lasts is written again in the next period") {
    CHECK_FALSE(limit.Permits("a", start + seconds(59)));
    CHECK(limit.Permits("a", start + seconds(60)));
    CHECK_FALSE(limit.Permits("a", start + seconds(61)));
  }
}

}  // namespace
}  // namespace jacinthspool
