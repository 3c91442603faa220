#include "src/settings/settings_store.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <string>
#include <vector>

namespace jacinthspool {
namespace {

/// A store with a record of its findings and changes.
struct observed_store {
  std::vector<findings> reported;
  int changes = 0;
  settings_store store{
      {.on_change = [this](const auto&) { ++changes; },
       .on_findings = [this](const findings& found) { reported.push_back(found); }}};
};

std::string Operators(std::uint64_t revision, const std::string& extra = "") {
  return "{\"revision\": " + std::to_string(revision) + extra + "}";
}

std::string Team(std::uint64_t revision, const std::string& workspace) {
  return "{\"revision\": " + std::to_string(revision) + ", \"workspaces\": [{\"name\": \"" +
         workspace + "\"}]}";
}

TEST_CASE("a store holds the last valid version of each subtree") {
  observed_store observed;
  settings_store& store = observed.store;

  SUBCASE("it starts with defaults, which are not sent to peers") {
    REQUIRE(store.current()->operators);
    REQUIRE(store.current()->operators->timing);
    REQUIRE(store.current()->operators->limits);
    CHECK(store.Versions().subtrees.empty());
  }
  SUBCASE("a first version is applied") {
    const std::uint64_t empty_digest = store.digest();
    REQUIRE(store.Offer("teams/a", Team(5, "w")));
    CHECK(observed.changes == 1);
    CHECK(store.current()->teams.at("a")->revision == 5);
    CHECK(store.digest() != empty_digest);

    SUBCASE("the same version again changes and reports nothing") {
      CHECK_FALSE(store.Offer("teams/a", Team(5, "w")));
      CHECK(observed.changes == 1);
      CHECK(observed.reported.empty());
    }
    SUBCASE("the same revision with another text is reported, once") {
      CHECK_FALSE(store.Offer("teams/a", Team(5, "x")));
      CHECK_FALSE(store.Offer("teams/a", Team(5, "x")));
      REQUIRE(observed.reported.size() == 1);
      CHECK(observed.reported[0][0].place == "teams/a:revision");
      CHECK(store.current()->teams.at("a")->workspaces[0]->name == "w");
    }
    SUBCASE("a lower revision is reported and not applied") {
      CHECK_FALSE(store.Offer("teams/a", Team(4, "x")));
      REQUIRE(observed.reported.size() == 1);
      CHECK(store.current()->teams.at("a")->revision == 5);
    }
    SUBCASE("a faulty higher revision leaves this and every other subtree as it is") {
      REQUIRE(store.Offer("teams/b", Team(1, "w")));
      CHECK_FALSE(store.Offer("teams/a", Team(6, "not a name")));
      CHECK(observed.reported.size() == 1);
      CHECK(store.current()->teams.at("a")->revision == 5);
      CHECK(store.current()->teams.at("b")->revision == 1);

      SUBCASE("the corrected text with the same revision is applied") {
        CHECK(store.Offer("teams/a", Team(6, "x")));
        CHECK(store.current()->teams.at("a")->revision == 6);
      }
    }
    SUBCASE("a snapshot taken before a change is not modified") {
      const auto before = store.current();
      REQUIRE(store.Offer("teams/a", Team(6, "x")));
      CHECK(before->teams.at("a")->revision == 5);
    }
  }
  SUBCASE("a path that is not a subtree is reported") {
    CHECK_FALSE(store.Offer("teams/../operators", Team(1, "w")));
    CHECK_FALSE(store.Offer("teams/", Team(1, "w")));
    CHECK_FALSE(store.Offer("", Team(1, "w")));
    CHECK(observed.reported.size() == 3);
    CHECK(store.Versions().subtrees.empty());
  }
  SUBCASE("a reference to a pool that is not granted is reported, and the document is applied") {
    REQUIRE(store.Offer("operators", Operators(1)));
    const std::string team =
        R"({"revision": 1, "routes": [{"name": "r", "path_prefix": "/r", "pool": "s"}]})";
    REQUIRE(store.Offer("teams/a", team));
    REQUIRE(observed.reported.size() == 1);
    CHECK(observed.reported[0][0].place == "teams/a:routes[0].pool");

    SUBCASE("the reference is no longer reported once the operators grant the pool") {
      REQUIRE(
          store.Offer("operators", Operators(2, R"(, "pools": [{"name": "s", "kind": "service"}],
        "access": [{"team": "a", "pools": ["s"]}])")));
      CHECK(observed.reported.size() == 1);
    }
  }
}

TEST_CASE("a token of two teams is reported") {
  observed_store observed;
  const std::string team =
      "{\"revision\": 1, \"token_hashes\": [\"" + std::string(64, 'a') + "\"]}";
  REQUIRE(observed.store.Offer("teams/a", team));
  CHECK(observed.reported.empty());
  REQUIRE(observed.store.Offer("teams/b", team));
  REQUIRE(observed.reported.size() == 1);
  CHECK(observed.reported[0][0].place == "teams/b:token_hashes[0]");
}

TEST_CASE("a reply with documents is limited in size, and the rest is sent in a later exchange") {
  observed_store ahead;
  observed_store behind;
  const std::string padding(1000000, ' ');
  for (const char* path : {"teams/a", "teams/b", "teams/c", "teams/d"}) {
    REQUIRE(ahead.store.Offer(path, Team(1, "w") + padding));
  }
  int rounds = 0;
  while (behind.store.digest() != ahead.store.digest() && rounds < 4) {
    const settings_fetch wanted = behind.store.MissingFrom(ahead.store.Versions());
    for (const auto& document : ahead.store.Documents(wanted).documents) {
      behind.store.Offer(document->path, document->text);
    }
    ++rounds;
  }
  CHECK(rounds == 2);
}

constexpr std::array<const char*, 4> kPaths{"operators", "teams/a", "teams/b", "teams/c"};

/// One published document; a faulty one must not be applied.
struct offered_document {
  std::string path;
  std::uint64_t revision = 0;
  bool faulty = false;

  [[nodiscard]] std::string Text() const {
    const std::string fault = faulty ? ", \"unknown\": 1" : "";
    return "{\"revision\": " + std::to_string(revision) + fault + "}";
  }
};

rc::Gen<offered_document> AnyDocument() {
  constexpr std::uint64_t kRevisions = 12;
  return rc::gen::map(
      rc::gen::tuple(rc::gen::elementOf(std::vector<std::string>(kPaths.begin(), kPaths.end())),
                     rc::gen::inRange<std::uint64_t>(1, kRevisions),
                     rc::gen::weightedElement<bool>({{3, false}, {1, true}})),
      [](const auto& drawn) {
        return offered_document{std::get<0>(drawn), std::get<1>(drawn), std::get<2>(drawn)};
      });
}

/// The revision in force at each path.
std::map<std::string, std::uint64_t> InForce(const settings_store& store) {
  std::map<std::string, std::uint64_t> revisions;
  for (const auto& version : store.Versions().subtrees) {
    revisions[version->path] = version->revision;
  }
  return revisions;
}

/// Copies the newer documents of one store to the other, as peers do.
void PullFrom(const settings_store& ahead, settings_store& behind) {
  const settings_fetch wanted = behind.MissingFrom(ahead.Versions());
  for (const auto& document : ahead.Documents(wanted).documents) {
    behind.Offer(document->path, document->text);
  }
}

TEST_CASE("settings never revert, for any sequence of offered documents") {
  const bool held = rc::check("the highest valid revision of each path is in force", [] {
    const auto offers = *rc::gen::container<std::vector<offered_document>>(AnyDocument());
    settings_store store({});
    std::map<std::string, std::uint64_t> expected;
    for (const offered_document& offer : offers) {
      const bool applies = !offer.faulty && offer.revision > expected[offer.path];
      RC_ASSERT(store.Offer(offer.path, offer.Text()) == applies);
      if (applies) {
        expected[offer.path] = offer.revision;
      }
      for (const auto& [path, revision] : InForce(store)) {
        RC_ASSERT(revision == expected[path]);
      }
    }
  });
  CHECK(held);
}

TEST_CASE("two stores that exchange documents converge") {
  const bool held = rc::check("to the highest revisions of both, without ever reverting", [] {
    settings_store left({});
    settings_store right({});
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, offered_document>>>(
        rc::gen::tuple(rc::gen::inRange(0, 4), AnyDocument()));
    std::map<std::string, std::uint64_t> highest;
    for (const auto& [action, document] : steps) {
      const auto left_before = InForce(left);
      const auto right_before = InForce(right);
      switch (action) {
        case 0:
          left.Offer(document.path, document.Text());
          break;
        case 1:
          right.Offer(document.path, document.Text());
          break;
        case 2:
          PullFrom(left, right);
          break;
        default:
          PullFrom(right, left);
      }
      for (const auto& [path, revision] : left_before) {
        RC_ASSERT(InForce(left)[path] >= revision);
      }
      for (const auto& [path, revision] : right_before) {
        RC_ASSERT(InForce(right)[path] >= revision);
      }
      if (action < 2 && !document.faulty) {
        highest[document.path] = std::max(highest[document.path], document.revision);
      }
    }
    PullFrom(left, right);
    PullFrom(right, left);
    RC_ASSERT(InForce(left) == highest);
    RC_ASSERT(InForce(right) == highest);
    RC_ASSERT(left.digest() == right.digest());
    RC_ASSERT(left.MissingFrom(right.Versions()).paths.empty());
  });
  CHECK(held);
}

}  // namespace
}  // namespace jacinthspool
