#include "jacinthspool/routing/member_estimate.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("peers that restart do not make the others take a larger part") {
  const instant start{seconds(100)};
  member_estimate members({.at_start = 32, .settle = seconds(10), .hold = seconds(30)}, start);
  CHECK(members.Update(4, true, start) == 32);
  CHECK(members.Update(25, true, start + seconds(9)) == 32);
  CHECK(members.Update(25, true, start + seconds(11)) == 25);
  CHECK(members.Update(3, true, start + seconds(30)) == 25);
  CHECK(members.Update(26, true, start + seconds(31)) == 26);

  SUBCASE("whoever has heard of no peer goes on to assume many") {
    member_estimate alone({.at_start = 32, .settle = seconds(10), .hold = seconds(30)}, start);
    CHECK(alone.Update(4, false, start + seconds(60)) == 32);
    CHECK(alone.Update(4, true, start + seconds(61)) == 4);
  }
  SUBCASE("but members that are gone for good are no longer counted after a while") {
    CHECK(members.Update(5, true, start + seconds(40)) == 26);
    CHECK(members.Update(5, true, start + seconds(70)) == 5);
  }
}

}  // namespace
}  // namespace jacinthspool
