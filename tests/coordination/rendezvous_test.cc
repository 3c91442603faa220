#include "jacinthspool/impl/rendezvous.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "jacinthspool/impl/subset.h"

namespace jacinthspool {
namespace {

TEST_CASE("a key has one home among the published members") {
  const std::vector<std::string> members = {"b1", "b2", "b3", "b4"};
  const std::vector<std::string> shuffled = {"b3", "b1", "b4", "b2"};
  constexpr std::uint64_t kKeys = 400;

  SUBCASE("the home does not depend on the order of the members") {
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      CHECK(members[*HomeOf(key, members)] == shuffled[*HomeOf(key, shuffled)]);
    }
  }
  SUBCASE("removing a member moves only its own keys") {
    const std::vector<std::string> fewer = {"b1", "b2", "b4"};
    std::size_t moved = 0;
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      const std::string& before = members[*HomeOf(key, members)];
      moved += before == "b3" ? 1 : 0;
      if (before != "b3") {
        CHECK(fewer[*HomeOf(key, fewer)] == before);
      }
    }
    CHECK(moved > kKeys / 8);
    CHECK(moved < kKeys / 2);
  }
  SUBCASE("an empty member list has no home") { CHECK_FALSE(HomeOf(1, {}).has_value()); }
  SUBCASE("equal keys of different teams have different hashes") {
    CHECK(IdempotencyKeyHash("turnevo", "k") != IdempotencyKeyHash("lumanara", "k"));
  }
}

TEST_CASE("a process connects to a subset of a large pool") {
  constexpr int kMembers = 40;
  std::vector<pool_member> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back(
        {.backend = "b" + std::to_string(i), .data_centre = i % 2 == 0 ? "sofia-1" : "sofia-2"});
  }
  const auto chosen = ChooseSubset(members, "entry-1", "sofia-1", 8, 2);
  REQUIRE(chosen.size() == 8);

  SUBCASE("most members are from its own data centre") {
    CHECK(std::count_if(chosen.begin(), chosen.end(), [](const pool_member& member) {
            return member.data_centre == "sofia-1";
          }) == 6);
    CHECK(chosen.front().data_centre == "sofia-1");
  }
  SUBCASE("removing a member changes one element of the subset") {
    std::erase_if(members, [&](const pool_member& member) {
      return member.backend == chosen.front().backend;
    });
    const auto after = ChooseSubset(members, "entry-1", "sofia-1", 8, 2);
    std::size_t kept = 0;
    for (const pool_member& member : after) {
      kept += static_cast<std::size_t>(std::count_if(
          chosen.begin(), chosen.end(),
          [&](const pool_member& before) { return before.backend == member.backend; }));
    }
    CHECK(kept == 7);
  }
  SUBCASE("members of other data centres fill the remaining places") {
    CHECK(ChooseSubset(members, "entry-1", "elsewhere", 8, 2).size() == 8);
    CHECK(ChooseSubset(members, "entry-1", "sofia-1", 100, 2).size() == 40);
  }
}

}  // namespace
}  // namespace jacinthspool
