// A draining backend server gets no new requests.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;

constexpr std::uint32_t kTokens = 4;

std::uint64_t DecodesAt(cluster& system, int decode) {
  return FetchJson(system.environment(), system.decode(decode).engine_address, "/standin/counters")
      .value("decodes", 0U);
}

/// \brief Sends requests until both decode engines have served at least one.
bool WaitUntilBothServe(cluster& system) {
  int number = 0;
  return system.environment().WaitUntil([&] {
    const std::string prompt = "warm-up " + std::to_string(number++);
    system.Complete({{"model", kModel}, {"prompt", prompt}, {"max_tokens", 1}})->Wait();
    return DecodesAt(system, 0) > 0 && DecodesAt(system, 1) > 0;
  });
}

bool ReportsDraining(cluster& system, int decode) {
  const json status =
      FetchJson(system.environment(), system.decode(decode).status_address, "/status");
  return status.is_object() && status.value("leaving", false);
}

/// \brief Checks that requests are still served, and none of them by the draining engine.
void CheckGetsNoRequests(cluster& system, int draining) {
  REQUIRE(system.environment().WaitUntil([&] { return ReportsDraining(system, draining); }));
  const std::uint64_t before = DecodesAt(system, draining);
  for (int number = 0; number < 6; ++number) {
    const std::string prompt = "advice " + std::to_string(number);
    const call_ptr made =
        system.Complete({{"model", kModel}, {"prompt", prompt}, {"max_tokens", kTokens}});
    REQUIRE(made->Wait());
    CAPTURE(made->body());
    CHECK(made->status() == 200);
    CHECK(made->Text() == ExpectedAnswer(prompt, kTokens));
  }
  CHECK(DecodesAt(system, draining) == before);
}

json Vms(const std::string& state) {
  return {{"vms",
           {{{"name", "d0"}, {"address", "127.0.0.1"}, {"state", state}},
            {{"name", "d1"}, {"address", "127.0.0.1"}, {"state", "live"}}}}};
}

json OperatorsWithDraining(const cluster& system, std::uint64_t revision) {
  json operators = system.Operators(nullptr);
  operators["revision"] = revision;
  operators["leaving"] = {"d0"};
  return operators;
}

TEST_CASE("A draining backend server gets no requests, whichever source reports it first") {
  cluster system({.decodes = 2, .services = 0, .from_service = true});
  REQUIRE(system.Start());
  REQUIRE(WaitUntilBothServe(system));

  SUBCASE("the VM list, after a delay") {
    system.Faults(system.vms_address(), {{"lag_ms", 500}});
    FetchJson(system.environment(), system.vms_address(), "/standin/vms", Vms("leaving"));
  }

  SUBCASE("the operators' settings, while the VM list is down") {
    system.Faults(system.vms_address(), {{"down", true}});
    system.Publish("operators", OperatorsWithDraining(system, 2));
  }

  SUBCASE("the operators' settings, while the VM list shows the VM as live") {
    FetchJson(system.environment(), system.vms_address(), "/standin/vms", Vms("live"));
    system.Publish("operators", OperatorsWithDraining(system, 2));
  }

  SUBCASE("the VM list, together with a change of settings") {
    FetchJson(system.environment(), system.vms_address(), "/standin/vms", Vms("leaving"));
    json operators = system.Operators(nullptr);
    operators["revision"] = 2;
    operators["limits"]["max_output_tokens"] = 300;
    system.Publish("operators", operators);
  }

  CheckGetsNoRequests(system, 0);
}

TEST_CASE("An entry with outdated settings sends a draining backend server no requests") {
  // The settings file of the entry does not change; only the agent reads the VM list.
  cluster system({.decodes = 2, .services = 0});
  REQUIRE(system.Start());
  REQUIRE(WaitUntilBothServe(system));
  FetchJson(system.environment(), system.vms_address(), "/standin/vms", Vms("leaving"));
  CheckGetsNoRequests(system, 0);
}

}  // namespace
}  // namespace jacinthspool::testing
