#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

// RECOVER: no gateway started again once a bound of the platform had become a fraction.
TEST_CASE("a gateway starts again after a number of its settings became a fraction") {
  cluster system({.decodes = 0, .services = 0});
  test_environment& environment = system.environment();
  json settings = {{"name", "gateway-0"},
                   {"data_centre", "dc"},
                   {"listen", environment.FreeAddress()},
                   {"peers", {environment.FreeAddress()}},
                   {"gateway",
                    {{"ready_listen", environment.FreeAddress()},
                     {"snapshot_listen", environment.FreeAddress()},
                     {"publisher", environment.FreeAddress()},
                     {"stop_grace_s", 8}}}};
  const auto start = [&](const std::string& log) {
    return child_process(JACINTHSPOOL_BINARY,
                         {"gateway", "--config", environment.PathOf("gateway-0.json")},
                         environment.PathOf(log));
  };
  const auto logged = [&](const std::string& text, const std::string& log = "before.log") {
    return environment.WaitUntil(
        [&] { return ReadFile(environment.PathOf(log)).find(text) != std::string::npos; });
  };
  environment.WriteFile("gateway-0.json", settings.dump());
  child_process before = start("before.log");
  REQUIRE(logged("\"event\":\"started\""));

  SUBCASE("which a reload applies") {
    settings["gateway"]["stop_grace_s"] = 7.5;
    environment.WriteFile("gateway-0.json", settings.dump());
    before.Signal(SIGHUP);
    CHECK(logged("\"event\":\"reloaded\""));
  }
  SUBCASE("or text, of which a reload says what the next start does") {
    settings["gateway"]["stop_grace_s"] = "long";
    environment.WriteFile("gateway-0.json", settings.dump());
    before.Signal(SIGHUP);
    CHECK(logged("\"next_start\":\"uses the default\""));
  }
  before.Kill();
  child_process after = start("after.log");
  CHECK(logged("\"event\":\"started\"", "after.log"));
  CHECK_FALSE(after.ExitCode().has_value());
}

}  // namespace
}  // namespace jacinthspool::testing
