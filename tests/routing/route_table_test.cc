#include "jacinthspool/routing/route_table.h"

#include <doctest/doctest.h>

#include <map>

namespace jacinthspool {
namespace {

std::shared_ptr<const forward_configuration> Version(std::uint64_t version,
                                                     std::vector<forward_route> routes) {
  auto made = std::make_shared<forward_configuration>();
  made->version = version;
  made->routes = std::move(routes);
  return made;
}

TEST_CASE("a request finds the route of its host with the longest prefix") {
  route_table table;
  CHECK(table.Find("a.example", "/x/1") == nullptr);
  REQUIRE(table.Apply(Version(3, {{.name = "short", .host = "a.example", .prefix = "/x/"},
                                  {.name = "long", .host = "a.example", .prefix = "/x/y/"},
                                  {.name = "other", .host = "b.example", .prefix = "/x/"}})));

  SUBCASE("port and query are ignored") {
    CHECK(table.Find("a.example:8080", "/x/y/z?q=/x/")->name == "long");
    CHECK(table.Find("a.example", "/x/yz")->name == "short");
    CHECK(table.Find("b.example", "/x/y/z")->name == "other");
  }
  SUBCASE("a path without a matching prefix has no route") {
    CHECK(table.Find("a.example", "/x") == nullptr);
    CHECK(table.Find("a.example", "/z/?/x/") == nullptr);
    CHECK(table.Find("c.example", "/x/1") == nullptr);
  }
  SUBCASE("a route that was found stays valid after a newer configuration") {
    const auto route = table.Find("a.example", "/x/1");
    CHECK(table.Apply(Version(4, {})));
    CHECK(route->name == "short");
    CHECK(table.Find("a.example", "/x/1") == nullptr);

    SUBCASE("an older or equal configuration is ignored") {
      CHECK_FALSE(table.Apply(Version(3, {{.name = "old", .host = "a.example", .prefix = "/x/"}})));
      CHECK_FALSE(table.Apply(Version(4, {{.name = "old", .host = "a.example", .prefix = "/x/"}})));
      CHECK(table.Find("a.example", "/x/1") == nullptr);
    }
  }
}

TEST_CASE("a route with several targets splits the keys by weight") {
  const forward_route route{
      .targets = {{.service = "old", .weight = 90}, {.service = "new", .weight = 10}}};
  std::map<std::string, int> counts;
  for (std::uint64_t key = 0; key < 1000; ++key) {
    ++counts[*ServiceOf(route, key)];
  }
  CHECK(counts["old"] == 900);
  CHECK(counts["new"] == 100);
  CHECK(ServiceOf(forward_route{}, 1) == nullptr);
}

}  // namespace
}  // namespace jacinthspool
