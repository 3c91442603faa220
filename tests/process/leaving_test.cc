// A backend server that is leaving gets no new work.
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

std::uint64_t OrdersAt(cluster& system, int decode) {
  return Ask(system.around(), system.decode(decode).engine_address, "/standin/counters")
      .value("decodes", 0U);
}

/// \brief Makes requests until both decode engines have served some.
bool WaitBothServe(cluster& system) {
  int number = 0;
  return system.around().WaitUntil([&] {
    const std::string prompt = "warm-up " + std::to_string(number++);
    system.Complete({{"model", kModel}, {"prompt", prompt}, {"max_tokens", 1}})->Wait();
    return OrdersAt(system, 0) > 0 && OrdersAt(system, 1) > 0;
  });
}

bool SaysLeaving(cluster& system, int decode) {
  const json status = Ask(system.around(), system.decode(decode).status_address, "/status");
  return status.is_object() && status.value("leaving", false);
}

/// \brief Requests go on being served, and none of them by the leaving engine.
void CheckAvoids(cluster& system, int leaving) {
  REQUIRE(system.around().WaitUntil([&] { return SaysLeaving(system, leaving); }));
  const std::uint64_t before = OrdersAt(system, leaving);
  for (int number = 0; number < 6; ++number) {
    const std::string prompt = "advice " + std::to_string(number);
    const call_ptr made =
        system.Complete({{"model", kModel}, {"prompt", prompt}, {"max_tokens", kTokens}});
    REQUIRE(made->Wait());
    CAPTURE(made->body());
    CHECK(made->status() == 200);
    CHECK(made->Text() == ExpectedAnswer(prompt, kTokens));
  }
  CHECK(OrdersAt(system, leaving) == before);
}

json Vms(const std::string& state) {
  return {{"vms",
           {{{"name", "d0"}, {"address", "127.0.0.1"}, {"state", state}},
            {{"name", "d1"}, {"address", "127.0.0.1"}, {"state", "live"}}}}};
}

json Leaving(const cluster& system, std::uint64_t revision) {
  json operators = system.Operators(nullptr);
  operators["revision"] = revision;
  operators["leaving"] = {"d0"};
  return operators;
}

TEST_CASE("A leaving backend server is avoided, whichever source tells it first") {
  cluster system({.decodes = 2, .services = 0, .from_service = true});
  REQUIRE(system.Start());
  REQUIRE(WaitBothServe(system));

  SUBCASE("the VM list, with a lag") {
    system.Faults(system.vms_address(), {{"lag_ms", 500}});
    Ask(system.around(), system.vms_address(), "/standin/vms", Vms("leaving"));
  }

  SUBCASE("the operators' settings, with the VM list down") {
    system.Faults(system.vms_address(), {{"down", true}});
    system.Publish("operators", Leaving(system, 2));
  }

  SUBCASE("the operators' settings, with a VM list that shows it live") {
    Ask(system.around(), system.vms_address(), "/standin/vms", Vms("live"));
    system.Publish("operators", Leaving(system, 2));
  }

  SUBCASE("leaving and a change of settings at once") {
    Ask(system.around(), system.vms_address(), "/standin/vms", Vms("leaving"));
    json operators = system.Operators(nullptr);
    operators["revision"] = 2;
    operators["limits"]["max_output_tokens"] = 300;
    system.Publish("operators", operators);
  }

  CheckAvoids(system, 0);
}

TEST_CASE("An entry whose view is old gives a leaving backend server no work") {
  // The entry reads its settings from a file that nobody changes; only the agent knows.
  cluster system({.decodes = 2, .services = 0});
  REQUIRE(system.Start());
  REQUIRE(WaitBothServe(system));
  Ask(system.around(), system.vms_address(), "/standin/vms", Vms("leaving"));
  CheckAvoids(system, 0);
}

}  // namespace
}  // namespace jacinthspool::testing
