#include "src/coordination/from_seconds.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("a number of seconds is converted to a duration") {
  CHECK(FromSeconds(0.25) == milliseconds(250));
  SUBCASE("the result is limited to 0 to 1 h") {
    CHECK(FromSeconds(-1) == seconds(0));
    // Largest quotient: a prompt of 2^32 tokens with 10^9 bytes each over a link of 1 byte/s.
    CHECK(FromSeconds(4.3e9 * 1e9) == std::chrono::hours(1));
  }
}

}  // namespace
}  // namespace jacinthspool
