// An accepted configuration is in force everywhere within seconds and never reverts.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

/// \brief A team's settings with one route more, which shows whether they are in force.
json TeamWithRoute(const cluster& system, const std::string& team, std::uint64_t revision,
                   const std::string& prefix) {
  json settings = system.Team(team);
  settings["revision"] = revision;
  settings["routes"].push_back({{"name", "added"},
                                {"path_prefix", prefix},
                                {"pool", "calendar"},
                                {"repeatable", true},
                                {"deadline_ms", 5000}});
  return settings;
}

/// \brief Whether the entry serves the team's added route.
bool Serves(cluster& system, int entry, const std::string& prefix,
            const std::string& token = kTurnevoToken) {
  const call_ptr made = system.CallService(prefix + "/x", "", {}, entry, token);
  return made->Wait() && made->status() == 200;
}

bool WaitServes(cluster& system, int entry, const std::string& prefix,
                const std::string& token = kTurnevoToken) {
  return system.around().WaitUntil([&] { return Serves(system, entry, prefix, token); });
}

cluster_options Platform(int entries) {
  return {.prefills = 0, .decodes = 0, .entries = entries, .from_service = true};
}

TEST_CASE("A change is in force on every entry") {
  cluster system(Platform(2));
  REQUIRE(system.Start());
  CHECK_FALSE(Serves(system, 0, "/added"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
  CHECK(WaitServes(system, 0, "/added"));
  CHECK(WaitServes(system, 1, "/added"));
}

/// \brief Brings revision 5 of the team into force. \returns The service's index before it.
std::uint64_t BringIntoForce(cluster& system) {
  const std::uint64_t index =
      system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 2, "/before"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 5, "/added"));
  REQUIRE(WaitServes(system, 0, "/added"));
  REQUIRE(WaitServes(system, 1, "/added"));
  return index;
}

/// \brief A later change of another team shows that the processes have read what happened.
void CheckNotReverted(cluster& system) {
  system.Faults(system.configuration_address(), {{"down", false}});
  system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 3, "/marker"));
  for (int entry = 0; entry < 2; ++entry) {
    REQUIRE(WaitServes(system, entry, "/marker", kLumanaraToken));
    CHECK(Serves(system, entry, "/added"));
    CHECK_FALSE(Serves(system, entry, "/older"));
  }
}

TEST_CASE("Settings never revert") {
  cluster system(Platform(2));
  REQUIRE(system.Start());
  BringIntoForce(system);
  SUBCASE("when a lower revision is published") {
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 4, "/older"));
  }
  SUBCASE("when the service goes down") {
    system.Faults(system.configuration_address(), {{"down", true}});
  }
  SUBCASE("when the service loses the document") {
    Ask(system.around(), system.configuration_address(),
        "/standin/delete?key=jacinthspool/teams/turnevo", json::object());
  }
  CheckNotReverted(system);
}

TEST_CASE("Settings never revert when the service is rolled back to an earlier index") {
  cluster system(Platform(2));
  REQUIRE(system.Start());
  const std::uint64_t index = BringIntoForce(system);
  Ask(system.around(), system.configuration_address(),
      "/standin/rollback?index=" + std::to_string(index), json::object());
  CheckNotReverted(system);
}

TEST_CASE("A process that starts while the service is down or stale asks its peers") {
  cluster system(Platform(2));
  REQUIRE(system.Start());

  SUBCASE("down") {
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
    REQUIRE(WaitServes(system, 0, "/added"));
    REQUIRE(WaitServes(system, 1, "/added"));
    system.Faults(system.configuration_address(), {{"down", true}});
  }
  SUBCASE("stale") {
    // The service goes on showing the first revision to whoever asks anew.
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
    REQUIRE(WaitServes(system, 0, "/added"));
    REQUIRE(WaitServes(system, 1, "/added"));
    system.Publish("teams/turnevo", system.Team("turnevo"));
    system.Faults(system.configuration_address(), {{"stale", true}});
  }

  system.entry(1).process->Kill();
  system.StartEntry(system.entry(1));
  CHECK(WaitServes(system, 1, "/added"));
  CHECK(Serves(system, 0, "/added"));
}

TEST_CASE("A faulty change of one team holds back no other team") {
  cluster system(Platform(1));
  REQUIRE(system.Start());
  json faulty = TeamWithRoute(system, "turnevo", 2, "/faulty");
  faulty["objective"] = "profit";
  system.Publish("teams/turnevo", faulty);
  system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 2, "/added"));
  CHECK(WaitServes(system, 0, "/added", kLumanaraToken));
  CHECK_FALSE(Serves(system, 0, "/faulty"));
  CHECK(Serves(system, 0, "/lookup"));
}

TEST_CASE("Two operators race: all processes end with the higher revision") {
  cluster system(Platform(2));
  REQUIRE(system.Start());
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 3, "/higher"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/lower"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 4, "/highest"));
  for (int entry = 0; entry < 2; ++entry) {
    CHECK(WaitServes(system, entry, "/highest"));
    CHECK_FALSE(Serves(system, entry, "/lower"));
  }
}

TEST_CASE("A process that was away while settings changed has them after it comes back") {
  cluster system(Platform(2));
  REQUIRE(system.Start());
  system.entry(1).process->Signal(SIGSTOP);
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
  REQUIRE(WaitServes(system, 0, "/added"));
  system.Faults(system.configuration_address(), {{"down", true}});
  system.entry(1).process->Signal(SIGCONT);
  CHECK(WaitServes(system, 1, "/added"));
}

}  // namespace
}  // namespace jacinthspool::testing
