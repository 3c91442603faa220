#include "jacinthspool/routing/member_estimate.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

TEST_CASE("peers that restart do not make the others take a larger part") {
  const instant start{seconds(100)};
  member_estimate members({.at_start = 32, .settle = seconds(10), .hold = seconds(30)}, start);
  CHECK(members.Update(4, start) == 32);
  CHECK(members.Update(25, start + seconds(9)) == 32);
  CHECK(members.Update(25, start + seconds(11)) == 25);
  CHECK(members.Update(3, start + seconds(30)) == 25);
  CHECK(members.Update(26, start + seconds(31)) == 26);

  SUBCASE("but members that are gone for good are no longer counted after a while") {
    CHECK(members.Update(5, start + seconds(40)) == 26);
    CHECK(members.Update(5, start + seconds(70)) == 5);
  }
}

}  // namespace
}  // namespace jacinthspool
