#include <doctest/doctest.h>

#include "tests/gateway/limited_fleet.h"

namespace jacinthspool {
namespace {

TEST_CASE("gateways together send a server no more requests than the limit that it names allows") {
  limited_fleet fleet(4);
  for (const auto& each : fleet.members) {
    fleet.SendEvery(*each, milliseconds(100));
  }
  fleet.Run(seconds(4));
  CHECK(fleet.arrivals > 100);

  fleet.State("3");
  fleet.Run(seconds(9));
  CHECK(fleet.violations == 0);
  CHECK(static_cast<double>(fleet.rule.highest()) <= fleet.rule.Allowed());
}

}  // namespace
}  // namespace jacinthspool
