#include "jacinthspool/routing/store_position.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a later era is newer, whatever its revision") {
  CHECK(store_position(2, 1) > store_position(1, 900));
  CHECK(store_position(2, 2) > store_position(2, 1));
  CHECK(store_position(7) == store_position(0, 7));
  CHECK(store_position() < store_position(0, 1));

  SUBCASE("a later era has the greater ordinal, which stage orders use as their fence") {
    CHECK(store_position(2, 1).ordinal() > store_position(1, 900).ordinal());
    CHECK(store_position(2, 2).ordinal() > store_position(2, 1).ordinal());
    CHECK(store_position(412).ordinal() == 412);
    CHECK(store_position(1, ~0ULL).ordinal() < store_position(2, 0).ordinal());
    CHECK(store_position(store_position::kLastEra, ~0ULL).ordinal() < 1ULL << 63U);
  }
}

}  // namespace
}  // namespace jacinthspool
