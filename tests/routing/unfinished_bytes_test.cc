#include "jacinthspool/routing/unfinished_bytes.h"

#include <doctest/doctest.h>

#include <memory>

#include "jacinthspool/routing/backend_selector.h"

namespace jacinthspool {
namespace {

constexpr std::size_t kLarge = 1U << 20U;

TEST_CASE("a large body goes to the server with the fewest unfinished bytes") {
  std::map<std::string, backend_record> servers;
  for (const char* id : {"a", "b", "c"}) {
    servers[id] = {.id = id, .service = "s", .data_centre = "dc"};
  }
  backend_selector selector({.data_centre = "dc"});
  selector.Update(servers);
  unfinished_bytes unfinished;
  const auto choose = [&](std::size_t bytes, std::uint64_t random) {
    return selector
        .Choose({.service = "s", .body_bytes = bytes, .unfinished = &unfinished},
                instant{seconds(1)}, random)
        ->id;
  };
  const unfinished_bytes::sending to_a(unfinished, servers["a"], 3 * kLarge);
  auto to_b = std::make_unique<unfinished_bytes::sending>(unfinished, servers["b"], 2 * kLarge);
  const unfinished_bytes::sending to_c(unfinished, servers["c"], 2 * kLarge + 1);
  for (std::uint64_t random = 0; random < 3; ++random) {
    CHECK(choose(kLarge, random) == "b");
  }

  SUBCASE("a small one as before: any of equal load") {
    CHECK(choose(1000, 0) == "a");
    CHECK(choose(1000, 1) == "b");
    CHECK(choose(1000, 2) == "c");
  }
  SUBCASE("unless that server has more to do") {
    selector.OnStarted("b", 1);
    CHECK(choose(kLarge, 0) == "c");
  }
  SUBCASE("a server that has started again holds nothing") {
    servers["a"].started_ms = 2;
    selector.Update(servers["a"]);
    CHECK(choose(kLarge, 0) == "a");
  }
  SUBCASE("what is finished does not count") {
    CHECK(unfinished.at(servers["b"]) == 2 * kLarge);
    to_b.reset();
    CHECK(unfinished.at(servers["b"]) == 0);
  }
}

}  // namespace
}  // namespace jacinthspool
