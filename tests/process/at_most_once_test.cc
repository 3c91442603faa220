// A request that is not idempotent runs at most once.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr int kServices = 2;
constexpr char kOutcomeUnknown[] = "outcome_unknown";

std::uint64_t ExecutionsOf(cluster& system, const std::string& key) {
  std::uint64_t count = 0;
  for (int number = 0; number < kServices; ++number) {
    count += system.Executions(number)["by_key"].value(key, 0U);
  }
  return count;
}

call_ptr CallBooking(cluster& system, const std::string& key, int entry = 0) {
  return system.CallService("/booking/refill", "{\"inserts\":40}", {{"Idempotency-Key", key}},
                            entry);
}

TEST_CASE("A request whose connection is lost after sending is not sent again") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();

  SUBCASE("between agent and service") {
    for (int number = 0; number < 2; ++number) {
      system.Faults(system.service(number).engine_address, {{"drop_after_executing", 1}});
    }
    const call_ptr made = CallBooking(system, key);
    REQUIRE(made->Wait());
    CHECK(made->status() == 504);
    CHECK(made->ErrorType() == kOutcomeUnknown);
  }

  SUBCASE("between entry and agent") {
    for (int number = 0; number < 2; ++number) {
      system.Faults(system.service(number).engine_address, {{"slow_ms", 500}});
    }
    const call_ptr made = CallBooking(system, key);
    REQUIRE(system.environment().WaitUntil([&] { return ExecutionsOf(system, key) == 1; }));
    for (const auto& [name, link] : system.entry().links) {
      link->Cut();
    }
    system.environment().Elapse(milliseconds(300));
    for (const auto& [name, link] : system.entry().links) {
      link->Heal();
    }
    REQUIRE(made->Wait());
    CHECK((made->status() == 200 || made->ErrorType() == kOutcomeUnknown));
  }

  CHECK(ExecutionsOf(system, key) == 1);
}

TEST_CASE("A request that its caller retries through a second entry runs once") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices, .entries = 2});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  for (int number = 0; number < 2; ++number) {
    system.Faults(system.service(number).engine_address, {{"slow_ms", 300}});
  }
  const call_ptr first = CallBooking(system, key, 0);
  REQUIRE(system.environment().WaitUntil([&] { return ExecutionsOf(system, key) == 1; }));
  system.entry(0).process->Signal(SIGSTOP);
  const call_ptr second = CallBooking(system, key, 1);
  REQUIRE(second->Wait());
  CHECK(second->status() != 0);
  system.entry(0).process->Signal(SIGCONT);
  REQUIRE(first->Wait());
  CHECK(ExecutionsOf(system, key) == 1);
}

TEST_CASE("A request whose key may have run on a replaced agent does not run again") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  const call_ptr first = CallBooking(system, key);
  REQUIRE(first->Wait());
  REQUIRE(first->status() == 200);
  const int home = system.Executions(0)["by_key"].contains(key) ? 0 : 1;
  system.service(home).agent->Kill();
  SUBCASE("while the agent is down") {}
  SUBCASE("after the agent has restarted") { system.StartAgent(system.service(home)); }
  const call_ptr second = CallBooking(system, key);
  REQUIRE(second->Wait());
  CHECK(second->status() != 200);
  CHECK(ExecutionsOf(system, key) == 1);
}

TEST_CASE("Requests with the same key on both sides of a partition run at most once") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices, .entries = 2});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  system.entry(0).links.at("s1")->Cut();
  system.entry(1).links.at("s0")->Cut();
  const call_ptr first = CallBooking(system, key, 0);
  const call_ptr second = CallBooking(system, key, 1);
  REQUIRE(first->Wait());
  REQUIRE(second->Wait());
  CHECK(ExecutionsOf(system, key) <= 1);
  system.entry(0).links.at("s1")->Heal();
  system.entry(1).links.at("s0")->Heal();
  const call_ptr third = CallBooking(system, key, 0);
  REQUIRE(third->Wait());
  CHECK(ExecutionsOf(system, key) <= 1);
}

}  // namespace
}  // namespace jacinthspool::testing
