#include "src/settings/settings_source.h"

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "src/settings/consul_reply.h"
#include "src/settings/watch_policy.h"
#include "tests/standins/configuration.h"
#include "tests/transport/loop_until.h"

namespace jacinthspool {
namespace {

std::string Team(std::uint64_t revision) {
  return "{\"revision\": " + std::to_string(revision) + "}";
}

/// A source and its store on one event loop with a stand-in of the configuration service.
struct source_rig {
  event_loop loop;
  timer_service timers{loop};
  http_client client{loop};
  std::vector<std::string> places;  ///< Of each finding that the store reported.
  settings_store store{{.on_findings = [this](const findings& found) {
    for (const finding& each : found) {
      places.push_back(each.place);
    }
  }}};
  standins::configuration service{{loop, timers, client}};
  std::unique_ptr<http_server> server = Serve();
  std::unique_ptr<settings_source> source;

  std::unique_ptr<http_server> Serve() {
    std::string error;
    return http_server::Listen({.loop = loop,
                                .address = "127.0.0.1:0",
                                .on_request = [this](const auto& call) { service.Handle(call); }},
                               error);
  }

  void Start(const std::string& name, settings_source::read_timing times) {
    const std::string text = R"({"name": ")" + name +
                             R"(", "data_centre": "s", "watchers": 1, "source": {"kind": "consul",
        "root": "r", "addresses": ["127.0.0.1:)" +
                             std::to_string(server->port()) + R"("]}})";
    findings found;
    const auto process = ParseProcess(text, "x.json", found);
    REQUIRE(found.empty());
    times.start_spread = microseconds(0);
    times.first_backoff = milliseconds(1);
    times.last_backoff = milliseconds(10);
    times.watch_pause = milliseconds(1);
    source = std::make_unique<settings_source>(settings_source::options{.loop = loop,
                                                                        .timers = timers,
                                                                        .client = client,
                                                                        .store = store,
                                                                        .process = process,
                                                                        .process_file = {},
                                                                        .times = times});
  }

  /// Sends a request to the stand-in and waits for the answer.
  nlohmann::json Post(const std::string& target, const std::string& body) {
    std::string answer;
    const auto call = client.Fetch({.address = "127.0.0.1:" + std::to_string(server->port()),
                                    .method = "POST",
                                    .target = target,
                                    .body = body},
                                   {.on_done = [&](const http_response& response) {
                                     REQUIRE(response.status == 200);
                                     answer = response.body;
                                   }});
    REQUIRE(RunUntil(loop, [&] { return !answer.empty(); }));
    return nlohmann::json::parse(answer);
  }

  std::uint64_t Put(const std::string& path, const std::string& text) {
    return Post("/standin/put?key=r/" + path, text)["index"].get<std::uint64_t>();
  }

  [[nodiscard]] std::uint64_t RevisionOf(const std::string& team) const {
    const auto settings = store.current();
    const auto found = settings->teams.find(team);
    return found == settings->teams.end() ? 0 : found->second->revision;
  }

  bool Reaches(const std::string& team, std::uint64_t revision) {
    return RunUntil(loop, [&] { return RevisionOf(team) == revision; });
  }

  /// Runs until the source has made `more` further calls.
  bool Calls(std::uint64_t more) {
    const std::uint64_t wanted = source->calls() + more;
    return RunUntil(loop, [&] { return source->calls() >= wanted; });
  }
};

TEST_CASE("a watcher applies what the configuration service publishes") {
  source_rig rig;
  const std::uint64_t first_index = rig.Put("teams/a", Team(1));
  rig.Start("e1", {});
  REQUIRE(rig.Reaches("a", 1));

  SUBCASE("a change completes the blocking query") {
    rig.Put("teams/a", Team(2));
    rig.Put("teams/b", Team(7));
    CHECK(rig.Reaches("a", 2));
    CHECK(rig.Reaches("b", 7));
    CHECK(rig.source->calls() <= 5);
  }
  SUBCASE("an outage changes nothing, and a change made during it is applied afterwards") {
    rig.Post("/standin/faults", R"({"down": true})");
    REQUIRE(rig.Calls(3));
    rig.Put("teams/a", Team(2));
    CHECK(rig.RevisionOf("a") == 1);
    rig.Post("/standin/faults", R"({"down": false})");
    CHECK(rig.Reaches("a", 2));
  }
  SUBCASE("a decreasing index lowers no revision") {
    rig.Put("teams/a", Team(2));
    REQUIRE(rig.Reaches("a", 2));
    rig.Post("/standin/rollback?index=" + std::to_string(first_index), "");
    REQUIRE(RunUntil(rig.loop, [&] { return !rig.places.empty(); }));
    CHECK(rig.places.front() == "teams/a:revision");
    CHECK(rig.RevisionOf("a") == 2);

    SUBCASE("later changes are applied as before") {
      rig.Put("teams/a", Team(3));
      CHECK(rig.Reaches("a", 3));
    }
  }
  SUBCASE("a fault in one team's document does not block other teams") {
    rig.Put("teams/a", R"({"revision": 2, "unknown": 1})");
    rig.Put("teams/b", Team(1));
    CHECK(rig.Reaches("b", 1));
    CHECK(rig.RevisionOf("a") == 1);
    CHECK(rig.places == std::vector<std::string>{"teams/a:unknown"});
  }
  SUBCASE("the settings of a removed document stay in force") {
    rig.Post("/standin/delete?key=r/teams/a", "");
    rig.Put("teams/b", Team(1));
    CHECK(rig.Reaches("b", 1));
    CHECK(rig.RevisionOf("a") == 1);
  }
}

TEST_CASE("a process that is not a watcher polls at a low rate") {
  source_rig rig;
  // Of these names, e1 ranks behind at least one.
  std::string backends;
  for (int i = 0; i < 20; ++i) {
    const std::string number = std::to_string(i);
    backends += std::string(i == 0 ? "" : ",") + R"({"name": "b)" + number +
                R"(", "address": "10.0.0.1:)" + std::to_string(i + 1) + R"(", "data_centre": "s"})";
  }
  const std::string operators =
      R"({"revision": 1, "pools": [{"name": "p", "kind": "service", "backends": [)" + backends +
      "]}]}";
  REQUIRE(rig.store.Offer("operators", operators));
  rig.Put("operators", operators);
  rig.Put("teams/a", Team(1));

  SUBCASE("it does not read at start when peers have sent the settings") {
    rig.Start("e1", {.poll_period = milliseconds(20)});
    CHECK(rig.source->calls() == 0);
    SUBCASE("it reads when the poll is due") { CHECK(rig.Reaches("a", 1)); }
  }
  SUBCASE("it reads at once after it becomes a watcher") {
    rig.Start("e1", {.poll_period = seconds(3600), .role_period = milliseconds(5)});
    REQUIRE(rig.store.Offer("operators", R"({"revision": 2})"));
    CHECK(rig.Reaches("a", 1));
  }
}

TEST_CASE("a file is read as a source") {
  const std::string path = std::filesystem::temp_directory_path() /
                           ("jacinthspool-source-test-" + std::to_string(getpid()) + ".json");
  const auto write = [&](const std::string& a, const std::string& b) {
    std::ofstream(path) << R"({"name": "e", "data_centre": "s", "operators": {"revision": 1},
      "teams": [{"name": "a", "settings": )"
                        << a << R"(}, {"name": "b", "settings": )" << b << "}]} // end";
  };
  write(Team(1), Team(1));
  source_rig rig;
  findings found;
  const auto process = ParseProcess(R"({"name": "e", "data_centre": "s"})", "x.json", found);
  settings_source source({.loop = rig.loop,
                          .timers = rig.timers,
                          .client = rig.client,
                          .store = rig.store,
                          .process = process,
                          .process_file = path});
  CHECK(rig.RevisionOf("a") == 1);
  CHECK(rig.store.current()->operators->revision == 1);

  SUBCASE("a reload applies each subtree independently") {
    write(Team(0), Team(2));
    source.Reload();
    CHECK(rig.RevisionOf("a") == 1);
    CHECK(rig.RevisionOf("b") == 2);
    CHECK(rig.places == std::vector<std::string>{"teams/a:revision"});
  }
  SUBCASE("a truncated or missing file changes nothing") {
    std::ofstream(path) << "{";
    source.Reload();
    std::filesystem::remove(path);
    source.Reload();
    CHECK(rig.RevisionOf("b") == 1);
  }
  std::filesystem::remove(path);
}

TEST_CASE("watchers are chosen by rendezvous hashing") {
  std::vector<std::string> names;
  names.reserve(100);
  for (int i = 0; i < 100; ++i) {
    names.push_back("b" + std::to_string(i));
  }
  const auto watchers_of = [](const std::vector<std::string>& known, std::string_view place) {
    std::vector<std::string> chosen;
    for (const std::string& name : known) {
      if (IsWatcher({.self = name, .data_centre = place, .watchers = 3}, known)) {
        chosen.push_back(name);
      }
    }
    return chosen;
  };
  const std::vector<std::string> chosen = watchers_of(names, "s");
  CHECK(chosen.size() == 3);
  CHECK(watchers_of(names, "t") != chosen);

  SUBCASE("when one leaves, the other watchers stay") {
    std::vector<std::string> rest = names;
    rest.erase(std::find(rest.begin(), rest.end(), chosen[0]));
    const std::vector<std::string> next = watchers_of(rest, "s");
    CHECK(next.size() == 3);
    CHECK(std::count(next.begin(), next.end(), chosen[1]) == 1);
    CHECK(std::count(next.begin(), next.end(), chosen[2]) == 1);
  }
  SUBCASE("a process that knows no other process watches") {
    CHECK(IsWatcher({.self = "x", .data_centre = "s"}, {}));
  }
}

TEST_CASE("malformed replies are rejected, and members without a valid key or value are skipped") {
  const auto documents = ParseConsulReply(
      R"([{"Key": "r/operators", "Value": "e30=", "ModifyIndex": 3}, {"Key": "r/", "Value": null},
          {"Key": "rx/teams/a", "Value": "e30="}, {"Key": "r/teams/b", "Value": "%%"}])",
      "r");
  REQUIRE(documents);
  REQUIRE(documents->size() == 1);
  CHECK(documents->front().path == "operators");
  CHECK(documents->front().text == "{}");
  CHECK_FALSE(ParseConsulReply("rpc error", "r"));
  CHECK_FALSE(ParseConsulReply(R"({"Key": "r/operators"})", "r"));
  CHECK_FALSE(ParseConsulReply("[3]", "r"));
  CHECK(ConsulIndex({{"x-consul-index", "12"}}) == 12);
  CHECK(ConsulIndex({{"X-Consul-Index", "twelve"}}) == 0);
  CHECK(ConsulIndex({}) == 0);
}

}  // namespace
}  // namespace jacinthspool
