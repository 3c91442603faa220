#include "jacinthspool/routing/gateway_count_estimate.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("restarting peers do not lower the estimate") {
  const instant start{seconds(100)};
  gateway_count_estimate members({.at_start = 32, .settle = seconds(10), .hold = seconds(30)},
                                 start);
  CHECK(members.Update(4, true, start) == 32);
  CHECK(members.Update(25, true, start + seconds(9)) == 32);
  CHECK(members.Update(25, true, start + seconds(11)) == 25);
  CHECK(members.Update(3, true, start + seconds(30)) == 25);
  CHECK(members.Update(26, true, start + seconds(31)) == 26);

  SUBCASE("a process without an answer from a peer continues to assume many") {
    gateway_count_estimate alone({.at_start = 32, .settle = seconds(10), .hold = seconds(30)},
                                 start);
    CHECK(alone.Update(4, false, start + seconds(60)) == 32);
    CHECK(alone.Update(4, true, start + seconds(61)) == 4);
  }
  SUBCASE("processes that stay away are no longer counted after the hold time") {
    CHECK(members.Update(5, true, start + seconds(40)) == 26);
    CHECK(members.Update(5, true, start + seconds(70)) == 5);
  }
}

}  // namespace
}  // namespace jacinthspool
