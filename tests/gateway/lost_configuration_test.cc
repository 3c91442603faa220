#include <doctest/doctest.h>

#include "tests/gateway/peered_gateways.h"

namespace jacinthspool {
namespace {

std::shared_ptr<const forward_configuration> Configuration(std::uint64_t version) {
  auto made = std::make_shared<forward_configuration>();
  made->version = version;
  made->services["plain"] = {.name = "plain"};
  return made;
}

/// Gateways that know the first configuration and no servers.
struct idle_gateways : peered_gateways {
  void Publish(gateway& router) override {
    peered_gateways::Publish(router, Configuration(1), {}, 1);
  }
};

TEST_CASE("a gateway that has lost the configuration's watch gets a newer one from its peers") {
  idle_gateways fleet;
  fleet.Start(2);
  // Longer than the frequent queries after the start.
  fleet.Run(milliseconds(3500));
  gateway& behind = fleet.members[1]->router;
  fleet.members[0]->router.OnConfiguration(Configuration(2));
  behind.OnConfigurationLost();
  const instant start = timer_service::now();
  REQUIRE(RunUntil(fleet.loop, [&] { return behind.WantedScope().configuration_after == 2; }));
  CHECK(timer_service::now() - start < milliseconds(400));
}

}  // namespace
}  // namespace jacinthspool
