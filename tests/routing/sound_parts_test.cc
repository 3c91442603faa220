#include "jacinthspool/routing/sound_parts.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a flood of new parts pushes out no part that has been seen again") {
  constexpr prompt_part kKnown = 7;
  sound_parts parts({.max_new = 16, .max_frequent = 16});
  parts.Add(kKnown, instant(seconds(1)));
  parts.Add(kKnown, instant(seconds(2)));
  for (prompt_part part = 1000; part < 2000; ++part) {
    parts.Add(part, instant(seconds(3)));
  }
  CHECK(parts.Find(kKnown) == instant(seconds(2)));
  CHECK(parts.size() <= 32);
  CHECK_FALSE(parts.Find(1000));
  CHECK(parts.Find(1999));

  SUBCASE("parts that are all seen again stay within the bound") {
    for (prompt_part part = 2000; part < 2100; ++part) {
      parts.Add(part, instant(seconds(4)));
      parts.Add(part, instant(seconds(5)));
    }
    CHECK(parts.size() <= 32);
    CHECK(parts.Find(2099));
    CHECK_FALSE(parts.Find(kKnown));
  }
}

}  // namespace
}  // namespace jacinthspool
