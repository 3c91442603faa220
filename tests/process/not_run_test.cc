// A caller that is told "not run" can rely on it.
#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <vector>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr char kNotRun[] = "not_run";
constexpr char kUnknown[] = "outcome_unknown";

std::uint64_t ExecutionsOf(cluster& system, int services, const std::string& key) {
  std::uint64_t count = 0;
  for (int number = 0; number < services; ++number) {
    count += system.Executions(number)["by_key"].value(key, 0U);
  }
  return count;
}

/// \brief What the caller was told must fit what the service did.
void CheckTruthful(const call& told, std::uint64_t executions) {
  CAPTURE(told.body());
  if (told.status() == 200) {
    CHECK(executions == 1);
  } else if (told.ErrorType() == kNotRun) {
    CHECK(executions == 0);
    CHECK(told.Header("Retry-After") != "");
  } else {
    CHECK(told.ErrorType() == kUnknown);
    CHECK(executions <= 1);
  }
}

TEST_CASE("A start that was delayed past its grant does not run") {
  cluster system({.prefills = 0, .decodes = 0});
  REQUIRE(system.Start());
  relay& link = *system.entry().links.at("s0");
  const std::string key = system.NewKey();
  link.StallReplies();
  const call_ptr made = system.CallService("/booking/hall", "{}", {{"Idempotency-Key", key}});
  system.around().Elapse(milliseconds(100));
  // The offer reaches the entry, its start stays in the link until the grant has expired.
  link.StallRequests();
  system.around().Elapse(milliseconds(1500));
  link.Heal();
  REQUIRE(made->Wait());
  system.around().Elapse(milliseconds(500));
  CheckTruthful(*made, ExecutionsOf(system, 1, key));
}

TEST_CASE("Refusals that race starts are truthful while an agent leaves") {
  constexpr int kCalls = 60;
  cluster system({.prefills = 0, .decodes = 0, .services = 2});
  REQUIRE(system.Start());
  std::vector<std::string> keys;
  std::vector<call_ptr> made;
  for (int number = 0; number < kCalls; ++number) {
    keys.push_back(system.NewKey());
    made.push_back(system.CallService("/booking/hall", "{}", {{"Idempotency-Key", keys.back()}}));
    if (number == kCalls / 2) {
      system.around().Elapse(milliseconds(5));
      system.service(0).agent->Signal(SIGTERM);
    }
  }
  for (const call_ptr& each : made) {
    REQUIRE(each->Wait());
  }
  for (int number = 0; number < kCalls; ++number) {
    CheckTruthful(*made[number], ExecutionsOf(system, 2, keys[number]));
  }
}

TEST_CASE("An agent killed between start and reply leaves the outcome unknown") {
  cluster system({.prefills = 0, .decodes = 0});
  REQUIRE(system.Start());
  system.Faults(system.service().engine_address, {{"stall_after_executing", 1}});
  const std::string key = system.NewKey();
  const call_ptr made = system.CallService("/booking/hall", "{}", {{"Idempotency-Key", key}});
  REQUIRE(system.around().WaitUntil([&] { return ExecutionsOf(system, 1, key) == 1; }));
  system.service().agent->Kill();
  SUBCASE("and does not come back") {}
  SUBCASE("and is started again") { system.StartAgent(system.service()); }
  REQUIRE(made->Wait());
  CHECK(made->status() == 504);
  CHECK(made->ErrorType() == kUnknown);
  CHECK(ExecutionsOf(system, 1, key) == 1);
}

TEST_CASE("A call without any agent is told at once that it did not run") {
  cluster system({.prefills = 0, .decodes = 0});
  REQUIRE(system.Start());
  const std::string key = system.NewKey();
  system.service().agent->Kill();
  const call_ptr made = system.CallService("/booking/hall", "{}", {{"Idempotency-Key", key}});
  REQUIRE(made->Wait());
  CHECK(made->status() == 503);
  CHECK(made->ErrorType() == kNotRun);
  CHECK(made->Header("Retry-After") != "");
  CHECK(ExecutionsOf(system, 1, key) == 0);
}

}  // namespace
}  // namespace jacinthspool::testing
