// An accepted configuration takes effect in all processes within seconds and is never reverted.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

/// \returns A team's settings with an additional route that shows whether they are in effect.
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

/// \returns true if the entry serves the team's added route.
bool Serves(cluster& system, int entry, const std::string& prefix,
            const std::string& token = kTurnevoToken) {
  const call_ptr made = system.CallService(prefix + "/x", "", {}, entry, token);
  return made->Wait() && made->status() == 200;
}

bool WaitUntilServes(cluster& system, int entry, const std::string& prefix,
                     const std::string& token = kTurnevoToken) {
  return system.environment().WaitUntil([&] { return Serves(system, entry, prefix, token); });
}

cluster_options ServiceOnlyOptions(int entries) {
  return {.prefills = 0, .decodes = 0, .entries = entries, .from_service = true};
}

TEST_CASE("A change takes effect on every entry") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());
  CHECK_FALSE(Serves(system, 0, "/added"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
  CHECK(WaitUntilServes(system, 0, "/added"));
  CHECK(WaitUntilServes(system, 1, "/added"));
}

/// \brief Publishes revision 5 of the team and waits until it is in effect.
/// \returns The index of the configuration service before that revision.
std::uint64_t ApplyRevision5(cluster& system) {
  const std::uint64_t index =
      system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 2, "/before"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 5, "/added"));
  REQUIRE(WaitUntilServes(system, 0, "/added"));
  REQUIRE(WaitUntilServes(system, 1, "/added"));
  return index;
}

/// \brief Checks that revision 5 is still in effect after a later change of another team, which
/// shows that the processes have read all previous writes.
void CheckNotReverted(cluster& system) {
  system.Faults(system.configuration_address(), {{"down", false}});
  system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 3, "/marker"));
  for (int entry = 0; entry < 2; ++entry) {
    REQUIRE(WaitUntilServes(system, entry, "/marker", kLumanaraToken));
    CHECK(Serves(system, entry, "/added"));
    CHECK_FALSE(Serves(system, entry, "/older"));
  }
}

TEST_CASE("Settings are never reverted") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());
  ApplyRevision5(system);
  SUBCASE("when a lower revision is published") {
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 4, "/older"));
  }
  SUBCASE("when the service becomes unavailable") {
    system.Faults(system.configuration_address(), {{"down", true}});
  }
  SUBCASE("when the service loses the document") {
    FetchJson(system.environment(), system.configuration_address(),
              "/standin/delete?key=jacinthspool/teams/turnevo", json::object());
  }
  CheckNotReverted(system);
}

TEST_CASE("Settings are not reverted when the service is rolled back to an earlier index") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());
  const std::uint64_t index = ApplyRevision5(system);
  FetchJson(system.environment(), system.configuration_address(),
            "/standin/rollback?index=" + std::to_string(index), json::object());
  CheckNotReverted(system);
}

TEST_CASE("A process that starts while the service is down or stale gets settings from its peers") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());

  SUBCASE("down") {
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
    REQUIRE(WaitUntilServes(system, 0, "/added"));
    REQUIRE(WaitUntilServes(system, 1, "/added"));
    system.Faults(system.configuration_address(), {{"down", true}});
  }
  SUBCASE("stale") {
    // From now on the service answers every new read with the first revision.
    system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
    REQUIRE(WaitUntilServes(system, 0, "/added"));
    REQUIRE(WaitUntilServes(system, 1, "/added"));
    system.Publish("teams/turnevo", system.Team("turnevo"));
    system.Faults(system.configuration_address(), {{"stale", true}});
  }

  system.entry(1).process->Kill();
  system.StartEntry(system.entry(1));
  CHECK(WaitUntilServes(system, 1, "/added"));
  CHECK(Serves(system, 0, "/added"));
}

TEST_CASE("An invalid change of one team does not delay other teams") {
  cluster system(ServiceOnlyOptions(1));
  REQUIRE(system.Start());
  json faulty = TeamWithRoute(system, "turnevo", 2, "/faulty");
  faulty["objective"] = "profit";
  system.Publish("teams/turnevo", faulty);
  system.Publish("teams/lumanara", TeamWithRoute(system, "lumanara", 2, "/added"));
  CHECK(WaitUntilServes(system, 0, "/added", kLumanaraToken));
  CHECK_FALSE(Serves(system, 0, "/faulty"));
  CHECK(Serves(system, 0, "/lookup"));
}

TEST_CASE("All processes end with the highest revision when operators race") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 3, "/higher"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/lower"));
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 4, "/highest"));
  for (int entry = 0; entry < 2; ++entry) {
    CHECK(WaitUntilServes(system, entry, "/highest"));
    CHECK_FALSE(Serves(system, entry, "/lower"));
  }
}

TEST_CASE("A process that was suspended while settings changed applies them after it resumes") {
  cluster system(ServiceOnlyOptions(2));
  REQUIRE(system.Start());
  system.entry(1).process->Signal(SIGSTOP);
  system.Publish("teams/turnevo", TeamWithRoute(system, "turnevo", 2, "/added"));
  REQUIRE(WaitUntilServes(system, 0, "/added"));
  system.Faults(system.configuration_address(), {{"down", true}});
  system.entry(1).process->Signal(SIGCONT);
  CHECK(WaitUntilServes(system, 1, "/added"));
}

}  // namespace
}  // namespace jacinthspool::testing
