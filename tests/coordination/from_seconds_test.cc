#include "src/coordination/from_seconds.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a quotient of seconds becomes a duration") {
  CHECK(FromSeconds(0.25) == milliseconds(250));
  SUBCASE("that never lies outside what a plan can use") {
    CHECK(FromSeconds(-1) == seconds(0));
    // A prompt of 2^32 tokens at 10^9 bytes each, over a link of a byte a second.
    CHECK(FromSeconds(4.3e9 * 1e9) == std::chrono::hours(1));
  }
}

}  // namespace
}  // namespace jacinthspool
