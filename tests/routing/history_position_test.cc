#include "jacinthspool/routing/history_position.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a later era is newer, whatever its revision") {
  CHECK(history_position(2, 1) > history_position(1, 900));
  CHECK(history_position(2, 2) > history_position(2, 1));
  CHECK(history_position(7) == history_position(0, 7));
  CHECK(history_position() < history_position(0, 1));

  SUBCASE("a later era has the greater ordinal, which stage orders use as their fence") {
    CHECK(history_position(2, 1).ordinal() > history_position(1, 900).ordinal());
    CHECK(history_position(2, 2).ordinal() > history_position(2, 1).ordinal());
    CHECK(history_position(412).ordinal() == 412);
    CHECK(history_position(1, ~0ULL).ordinal() < history_position(2, 0).ordinal());
    CHECK(history_position(history_position::kLastEra, ~0ULL).ordinal() < 1ULL << 63U);
  }
}

}  // namespace
}  // namespace jacinthspool
