// A request that may not be repeated runs at most once.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr int kServices = 2;
constexpr char kUnknown[] = "outcome_unknown";

std::uint64_t Executed(cluster& system, const std::string& key) {
  std::uint64_t count = 0;
  for (int number = 0; number < kServices; ++number) {
    count += system.Executions(number)["by_key"].value(key, 0U);
  }
  return count;
}

call_ptr Order(cluster& system, const std::string& key, int entry = 0) {
  return system.CallService("/booking/refill", "{\"inserts\":40}", {{"Idempotency-Key", key}},
                            entry);
}

TEST_CASE("An order whose connection breaks after the send is not sent again") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();

  SUBCASE("between agent and service") {
    for (int number = 0; number < 2; ++number) {
      system.Faults(system.service(number).engine_address, {{"drop_after_executing", 1}});
    }
    const call_ptr made = Order(system, key);
    REQUIRE(made->Wait());
    CHECK(made->status() == 504);
    CHECK(made->ErrorType() == kUnknown);
  }

  SUBCASE("between entry and agent") {
    for (int number = 0; number < 2; ++number) {
      system.Faults(system.service(number).engine_address, {{"slow_ms", 500}});
    }
    const call_ptr made = Order(system, key);
    REQUIRE(system.around().WaitUntil([&] { return Executed(system, key) == 1; }));
    for (const auto& [name, link] : system.entry().links) {
      link->Cut();
    }
    system.around().Elapse(milliseconds(300));
    for (const auto& [name, link] : system.entry().links) {
      link->Heal();
    }
    REQUIRE(made->Wait());
    CHECK((made->status() == 200 || made->ErrorType() == kUnknown));
  }

  CHECK(Executed(system, key) == 1);
}

TEST_CASE("A caller that repeats its order through a second entry gets it done once") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices, .entries = 2});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  for (int number = 0; number < 2; ++number) {
    system.Faults(system.service(number).engine_address, {{"slow_ms", 300}});
  }
  const call_ptr first = Order(system, key, 0);
  REQUIRE(system.around().WaitUntil([&] { return Executed(system, key) == 1; }));
  system.entry(0).process->Signal(SIGSTOP);
  const call_ptr second = Order(system, key, 1);
  REQUIRE(second->Wait());
  CHECK(second->status() != 0);
  system.entry(0).process->Signal(SIGCONT);
  REQUIRE(first->Wait());
  CHECK(Executed(system, key) == 1);
}

TEST_CASE("A key that may have run on a replaced agent does not run again") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  const call_ptr first = Order(system, key);
  REQUIRE(first->Wait());
  REQUIRE(first->status() == 200);
  const int home = system.Executions(0)["by_key"].contains(key) ? 0 : 1;
  system.service(home).agent->Kill();
  SUBCASE("while it is away") {}
  SUBCASE("once its successor runs") { system.StartAgent(system.service(home)); }
  const call_ptr second = Order(system, key);
  REQUIRE(second->Wait());
  CHECK(second->status() != 200);
  CHECK(Executed(system, key) == 1);
}

TEST_CASE("Both sides of a partition with the same key run it once") {
  cluster system({.prefills = 0, .decodes = 0, .services = kServices, .entries = 2});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  system.entry(0).links.at("s1")->Cut();
  system.entry(1).links.at("s0")->Cut();
  const call_ptr first = Order(system, key, 0);
  const call_ptr second = Order(system, key, 1);
  REQUIRE(first->Wait());
  REQUIRE(second->Wait());
  CHECK(Executed(system, key) <= 1);
  system.entry(0).links.at("s1")->Heal();
  system.entry(1).links.at("s0")->Heal();
  const call_ptr third = Order(system, key, 0);
  REQUIRE(third->Wait());
  CHECK(Executed(system, key) <= 1);
}

}  // namespace
}  // namespace jacinthspool::testing
