#include "jacinthspool/routing/tenants.h"

#include <doctest/doctest.h>

#include <memory>

namespace jacinthspool {
namespace {

TEST_CASE("the key of a request tells whose it is") {
  const tenant_directory directory(std::make_shared<const tenant_list>(
      tenant_list{.tenants = {{.name = "harbour",
                               .keys = {DigestOfKey("k1"), DigestOfKey("k2")},
                               .priority = 1,
                               .limit = {.per_second = 1000,
                                         .burst = 1000,
                                         .unit = limit_unit::kTokens,
                                         .plain_tokens = 200}},
                              {.name = "quay", .keys = {DigestOfKey("k2"), DigestOfKey("k3")}}}}));
  const auto identify = [&](const identification_request& request) {
    return Identify(directory, request);
  };

  SUBCASE("any key of a tenant names it") {
    for (const char* key : {"k1", "k2"}) {
      const auto caller = identify({.route_priority = 2, .key = DigestOfKey(key), .tokens = 3200});
      REQUIRE(std::holds_alternative<caller_identity>(caller));
      const auto& identity = std::get<caller_identity>(caller);
      CHECK(identity.tenant == "harbour");
      CHECK(identity.price == 3200);
      CHECK(identity.priority == request_priority{.tenant = 1, .route = 2});
    }
  }
  SUBCASE("a request without a token count has the tenant's flat price") {
    CHECK(std::get<caller_identity>(identify({.key = DigestOfKey("k1")})).price == 200);
  }
  SUBCASE("where requests are counted, each has the price 1, and a route's priority counts") {
    const auto caller = identify({.route_priority = 2, .key = DigestOfKey("k3"), .tokens = 3200});
    CHECK(std::get<caller_identity>(caller).price == 1);
    CHECK(std::get<caller_identity>(caller).priority == request_priority{.tenant = 2, .route = 2});
  }
  SUBCASE("a key that two tenants hold is the first one's") {
    CHECK(directory.Find(DigestOfKey("k2"))->name == "harbour");
  }
  SUBCASE("no key and a key that nobody holds are rejected") {
    CHECK(std::holds_alternative<key_rejected>(identify({})));
    CHECK(std::holds_alternative<key_rejected>(identify({.key = DigestOfKey("k")})));
    CHECK(std::holds_alternative<key_rejected>(identify({.key = DigestOfKey("")})));
  }
  SUBCASE("a public route needs none") {
    CHECK(std::holds_alternative<key_not_needed>(
        identify({.public_route = true, .key = DigestOfKey("k")})));
  }
  SUBCASE("an empty list of tenants is not the absence of one") {
    const tenant_directory nobody(std::make_shared<const tenant_list>());
    CHECK(std::holds_alternative<key_rejected>(Identify(nobody, {.key = DigestOfKey("k1")})));
    CHECK(std::holds_alternative<key_not_needed>(Identify(tenant_directory(), {})));
  }
  SUBCASE("the log shows a few digits of a digest") {
    CHECK(ToString(DigestOfKey("k1")).size() == 8);
    CHECK(ToString(DigestOfKey("k1")) != ToString(DigestOfKey("k2")));
  }
}

}  // namespace
}  // namespace jacinthspool
