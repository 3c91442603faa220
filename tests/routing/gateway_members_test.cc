#include "jacinthspool/routing/gateway_members.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

constexpr instant kStart{seconds(1000)};
using addresses = std::vector<std::string>;

TEST_CASE("a gateway knows the others from their queries and from the lists of its peers") {
  gateway_members members({.self = "a:1", .seeds = {"b:1", "c:1"}, .started = kStart});
  CHECK(members.All(kStart) == addresses{"a:1", "b:1", "c:1"});
  members.OnContact("d:1", kStart + seconds(20));
  members.OnList("b:1", {"e:1", "d:1"}, kStart + seconds(20));
  CHECK(members.All(kStart + seconds(25)) == addresses{"a:1", "b:1", "c:1", "d:1", "e:1"});

  SUBCASE("a configured one that is never heard is forgotten like any other") {
    members.OnContact("b:1", kStart + seconds(20));
    CHECK(members.All(kStart + seconds(31)) == addresses{"a:1", "b:1", "d:1", "e:1"});
  }
  SUBCASE("it tells only those that it hears itself") {
    CHECK(members.Heard(kStart + seconds(31)) == addresses{"d:1"});
  }
  SUBCASE("a list holds while its peer confirms it by its digest") {
    const std::uint64_t digest = members.DigestOf("b:1");
    CHECK(digest == gateway_members::Digest({"e:1", "d:1"}));
    members.OnDigest("b:1", digest, kStart + seconds(45));
    members.OnDigest("b:1", digest + 1, kStart + seconds(70));
    CHECK(members.All(kStart + seconds(75)) == addresses{"a:1", "d:1", "e:1"});
    CHECK(members.All(kStart + seconds(76)) == addresses{"a:1"});
  }
  SUBCASE("a list that is too long is not taken") {
    members.OnList("b:1", addresses(2000, "x:1"), kStart + seconds(20));
    CHECK(members.DigestOf("b:1") == gateway_members::Digest({"e:1", "d:1"}));
  }
  SUBCASE("of an unknown peer no list is known") { CHECK(members.DigestOf("z:1") == 0); }
}

}  // namespace
}  // namespace jacinthspool
