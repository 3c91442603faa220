#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "src/settings/settings.h"

namespace jacinthspool {
namespace {

constexpr const char* kOperators = R"({
  // Two pools and one team.
  "revision": 3,
  "pools": [
    {"name": "p", "kind": "prefill", "model": "m", "max_queued": 0,
     "backends": [{"name": "p1", "address": "10.0.0.1:7400", "data_centre": "sofia-1"}]},
    {"name": "d", "kind": "decode", "model": "m", "kv_bytes_per_token": 5000000000,
     "backends": [{"name": "d1", "address": "10.0.0.2:7400", "data_centre": "sofia-2"}]},
    {"name": "s", "kind": "service"}
  ],
  "access": [{"team": "a", "pools": ["p", "d"], "share_percent": 60}],
  "leaving": ["d1"]
})";

bool Has(const findings& found, const std::string& place, const std::string& text) {
  return std::any_of(found.begin(), found.end(), [&](const finding& each) {
    return each.place == place && each.text.find(text) != std::string::npos;
  });
}

findings OperatorFindings(const std::string& text) {
  findings found;
  const auto parsed = ParseOperators(text, "operators", found);
  CHECK((parsed == nullptr) == !found.empty());
  return found;
}

findings TeamFindings(const std::string& text) {
  findings found;
  const auto parsed = ParseTeam(text, "teams/a", found);
  CHECK((parsed == nullptr) == !found.empty());
  return found;
}

findings ProcessFindings(const std::string& text) {
  findings found;
  const auto parsed = ParseProcess(text, "x.json", found);
  CHECK((parsed == nullptr) == !found.empty());
  return found;
}

TEST_CASE("a valid operators' document is parsed unchanged") {
  findings found;
  const auto operators = ParseOperators(kOperators, "operators", found);
  REQUIRE(found.empty());
  REQUIRE(operators);
  CHECK(operators->revision == 3);
  CHECK(operators->pools[0]->kind == config::pool_kind::prefill);
  CHECK(operators->pools[0]->max_queued == 0);
  CHECK(operators->pools[1]->kv_bytes_per_token == 5000000000);

  SUBCASE("omitted members have their defaults") {
    CHECK(operators->pools[1]->pieces == 20);
    REQUIRE(operators->timing);
    CHECK(operators->timing->heartbeat_ms == 1000);
    REQUIRE(operators->limits);
    CHECK(operators->limits->retry_percent == 10);
  }
  SUBCASE("pools, backend servers and teams are found by name") {
    settings_snapshot snapshot;
    snapshot.operators = operators;
    CHECK(snapshot.FindPool("d") == operators->pools[1].get());
    CHECK(snapshot.FindPool("x") == nullptr);
    CHECK(snapshot.FindPoolOfBackend("p1") == operators->pools[0].get());
    CHECK(snapshot.FindPoolOfBackend("x") == nullptr);
    CHECK(snapshot.FindAccess("a")->share_percent == 60);
    CHECK(snapshot.TeamMayUse("a", "p"));
    CHECK_FALSE(snapshot.TeamMayUse("a", "s"));
    CHECK_FALSE(snapshot.TeamMayUse("b", "p"));
  }
  SUBCASE("a team's references are checked against the operators' document") {
    findings team_found;
    const auto team = ParseTeam(R"({"revision": 1,
      "models": [{"model": "m", "prefill_pool": "p", "decode_pool": "dd"},
                 {"model": "n", "prefill_pool": "d", "decode_pool": "d"}],
      "routes": [{"name": "r", "path_prefix": "/r", "pool": "s"}]})",
                                "teams/a", team_found);
    REQUIRE(team);
    CheckTeamReferences("a", *team, *operators, "teams/a", team_found);
    CHECK(Has(team_found, "teams/a:models[0].decode_pool", "did you mean 'd'"));
    CHECK(Has(team_found, "teams/a:models[1].prefill_pool", "needs a prefill pool"));
    CHECK(Has(team_found, "teams/a:models[1].decode_pool", "serves model 'm', not 'n'"));
    CHECK(Has(team_found, "teams/a:routes[0].pool", "have not given pool 's' to team 'a'"));
  }
}

TEST_CASE("text that is not JSON is rejected with its place") {
  CHECK(Has(TeamFindings("{\n  \"revision\": 1,,\n}"), "teams/a", "line 2, column 17"));
  CHECK(Has(TeamFindings(""), "teams/a", "is not JSON"));
  CHECK(Has(TeamFindings("{\"revision\": 1} x"), "teams/a", "is not JSON"));
  CHECK(Has(TeamFindings("{\"revision\": 1, \"x\": \"\xff\"}"), "teams/a", "is not JSON"));
  CHECK(Has(TeamFindings("[]"), "teams/a", "must be an object"));
  SUBCASE("a duplicate key is rejected") {
    const findings found =
        TeamFindings(R"({"revision": 1, "models": [{}, {"model": "a", "model": "b"}]})");
    CHECK(Has(found, "teams/a:models[1].model", "is given twice"));
    CHECK(found.size() == 1);
  }
  SUBCASE("deep nesting is rejected without recursion") {
    CHECK(Has(TeamFindings(std::string(100000, '[')), "teams/a", "nested deeper than"));
  }
  SUBCASE("a document larger than the configuration service can store is rejected") {
    CHECK(Has(TeamFindings("{\"revision\": 1}" + std::string(1 << 20, ' ')), "teams/a",
              "is larger than 1048576 bytes"));
  }
}

TEST_CASE("every fault of a document is reported in one pass") {
  SUBCASE("faults against the schema") {
    const findings found = OperatorFindings(R"({
      "revision": -1, "pols": [], "timing": 7, "limits": {"max_attempts": 1.5},
      "pools": [{"kind": "prefil"}, 3, {"name": "x", "pieces": 4294967296}],
      "access": {}, "leaving": [null]})");
    CHECK(Has(found, "operators:revision", "must not be negative"));
    CHECK(Has(found, "operators:pols", "did you mean 'pools'"));
    CHECK(Has(found, "operators:timing", "must be an object, not number"));
    CHECK(Has(found, "operators:limits.max_attempts", "must be a whole number"));
    CHECK(Has(found, "operators:pools[0].kind", "did you mean 'prefill'"));
    CHECK(Has(found, "operators:pools[0].name", "is missing"));
    CHECK(Has(found, "operators:pools[1]", "must be an object"));
    CHECK(Has(found, "operators:pools[2].pieces", "is out of range"));
    CHECK(Has(found, "operators:access", "must be a list"));
    CHECK(Has(found, "operators:leaving[0]", "must be a string, not null"));
    CHECK(found.size() == 10);
  }
  SUBCASE("faults of an operators' document") {
    const findings found = OperatorFindings(R"({
      "pools": [
        {"name": "p", "kind": "prefill", "pieces": 0, "backends": [
          {"name": "b", "address": "host:1", "data_centre": "s"},
          {"name": "b", "address": "10.0.0.1:1", "data_centre": ""}]},
        {"name": "p", "kind": "service", "model": "m", "backends": [
          {"name": "c d", "address": "10.0.0.1:1", "data_centre": "s"}]}],
      "access": [
        {"team": "a", "pools": ["p", "p"], "share_percent": 60},
        {"team": "a", "pools": ["q"], "share_percent": 0}],
      "timing": {"lease_ms": 1999, "resync_ms": 0},
      "limits": {"retry_percent": 101, "max_requests": 0},
      "leaving": ["e"]})");
    CHECK(Has(found, "operators:revision", "must be 1 or more"));
    CHECK(Has(found, "operators:pools[0].model", "is missing"));
    CHECK(Has(found, "operators:pools[0].pieces", "must be 1 or more"));
    CHECK(Has(found, "operators:pools[0].backends[0].address", "must be ip:port, not 'host:1'"));
    CHECK(Has(found, "operators:pools[0].backends[1].name", "is already a backend server"));
    CHECK(Has(found, "operators:pools[0].backends[1].data_centre", "must be a name"));
    CHECK(Has(found, "operators:pools[1].name", "is already the name of another pool"));
    CHECK(Has(found, "operators:pools[1].model", "has no meaning"));
    CHECK(Has(found, "operators:pools[1].backends[0].name", "must be a name"));
    CHECK(Has(found, "operators:pools[1].backends[0].address", "is already the address"));
    CHECK(Has(found, "operators:access[0].pools[1]", "is in the list twice"));
    CHECK(Has(found, "operators:access[0].pools[1]", "add up to more than 100 percent"));
    CHECK(Has(found, "operators:access[1].team", "has another entry"));
    CHECK(Has(found, "operators:access[1].pools[0]", "'q' is not a pool"));
    CHECK(Has(found, "operators:access[1].share_percent", "must be from 1 to 100"));
    CHECK(Has(found, "operators:timing.lease_ms", "must be at least twice heartbeat_ms"));
    CHECK(Has(found, "operators:timing.resync_ms", "must be 1 or more"));
    CHECK(Has(found, "operators:limits.retry_percent", "must be at most 100"));
    CHECK(Has(found, "operators:limits.max_requests", "must be 1 or more"));
    CHECK(Has(found, "operators:leaving[0]", "is not a backend server"));
    CHECK(found.size() == 20);
  }
  SUBCASE("faults of a team's document") {
    const findings found = TeamFindings(R"({
      "token_hashes": ["ab"],
      "models": [{"model": "", "prefill_pool": "", "decode_pool": "d"},
                 {"model": "", "prefill_pool": "p", "decode_pool": "d"}],
      "routes": [{"name": "r", "path_prefix": "/v1/x", "pool": "s"},
                 {"name": "r", "path_prefix": "x", "pool": "s", "deadline_ms": 0}],
      "workspaces": [{"name": "w"}, {"name": "w"}, {"name": "a b"}]})");
    CHECK(Has(found, "teams/a:revision", "must be 1 or more"));
    CHECK(Has(found, "teams/a:token_hashes[0]", "BLAKE2b-256"));
    CHECK(Has(found, "teams/a:models[0].model", "must not be empty"));
    CHECK(Has(found, "teams/a:models[0].prefill_pool", "must be a name"));
    CHECK(Has(found, "teams/a:models[1].model", "already has a route"));
    CHECK(Has(found, "teams/a:models[1].model", "must not be empty"));
    CHECK(Has(found, "teams/a:routes[0].path_prefix", "the entry serves itself"));
    CHECK(Has(found, "teams/a:routes[1].name", "is already the name of another route"));
    CHECK(Has(found, "teams/a:routes[1].path_prefix", "must begin with '/'"));
    CHECK(Has(found, "teams/a:routes[1].deadline_ms", "must be 1 or more"));
    CHECK(Has(found, "teams/a:workspaces[1].name", "is already a workspace"));
    CHECK(Has(found, "teams/a:workspaces[2].name", "must be a name"));
    CHECK(found.size() == 12);
  }
  SUBCASE("faults of process settings") {
    const findings found = ProcessFindings(R"({
      "name": "e", "data_centre": "s", "listen": "[::1]:0", "peer_listen": "1.2.3:4",
      "vm_list": "10.0.0.1:0", "peers": ["10.0.0.1:65536"], "watchers": 0,
      "source": {"kind": "consul"}, "backend": {"name": "b"},
      "operators": {"revision": 1, "pools": [{"name": "p", "kind": "decode"}]},
      "teams": [{"name": "a"}, {"name": "a", "settings": {"revision": 1, "workspaces": [
        {"name": ""}]}}]})");
    CHECK(Has(found, "x.json:peer_listen", "must be ip:port"));
    CHECK(Has(found, "x.json:vm_list", "must be ip:port"));
    CHECK(Has(found, "x.json:peers[0]", "must be ip:port"));
    CHECK(Has(found, "x.json:watchers", "must be 1 or more"));
    CHECK(Has(found, "x.json:source.addresses", "is missing"));
    CHECK(Has(found, "x.json:source", "must not stand in this file"));
    CHECK(Has(found, "x.json:backend.address", "must be ip:port"));
    CHECK(Has(found, "x.json:operators.pools[0].model", "is missing"));
    CHECK(Has(found, "x.json:teams[0].settings", "is missing"));
    CHECK(Has(found, "x.json:teams[1].name", "has another entry"));
    CHECK(Has(found, "x.json:teams[1].settings.workspaces[0].name", "must be a name"));
    CHECK(found.size() == 11);
  }
}

TEST_CASE("invalid documents are rejected with findings, and valid ones have none") {
  const bool held = rc::check("after arbitrary replacements in a document", [] {
    std::string text = kOperators;
    const auto edits =
        *rc::gen::container<std::vector<std::pair<std::size_t, std::string>>>(rc::gen::pair(
            rc::gen::inRange<std::size_t>(0, text.size()),
            rc::gen::element<std::string>("{}", "[]", "null", "\"", "-1", "3", "1e99", ",", ":",
                                          "true", "//", "\"name\":", "\\u0000")));
    for (const auto& [at, piece] : edits) {
      text.replace(std::min(at, text.size()), piece.size(), piece);
    }
    findings found;
    const auto operators = ParseOperators(text, "operators", found);
    RC_ASSERT((operators == nullptr) == !found.empty());
    for (const finding& each : found) {
      RC_ASSERT(each.place.starts_with("operators"));
      RC_ASSERT(!each.text.empty());
    }
  });
  CHECK(held);
}

TEST_CASE("settings that a role requires are reported when missing") {
  findings found;
  const auto bare = ParseProcess(R"({"name": "e", "data_centre": "s"})", "x.json", found);
  REQUIRE(bare);
  CheckRole(*bare, process_role::kEntry, "x.json", found);
  CHECK(Has(found, "x.json:listen", "is missing"));
  CHECK(Has(found, "x.json:key_file", "is missing"));
  found.clear();
  CheckRole(*bare, process_role::kAgent, "x.json", found);
  CHECK(Has(found, "x.json:peer_listen", "is missing"));
  CHECK(Has(found, "x.json:backend", "is missing"));
}

}  // namespace
}  // namespace jacinthspool
