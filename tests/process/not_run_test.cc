// A request that is answered with "not_run" has not run.
#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <vector>

#include "tests/process/cluster.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;

constexpr char kNotRun[] = "not_run";
constexpr char kOutcomeUnknown[] = "outcome_unknown";

std::uint64_t ExecutionsOf(cluster& system, int services, const std::string& key) {
  std::uint64_t count = 0;
  for (int number = 0; number < services; ++number) {
    count += system.Executions(number)["by_key"].value(key, 0U);
  }
  return count;
}

/// \brief Checks that the answer agrees with the number of executions by the service.
void CheckAnswerMatches(const call& answered, std::uint64_t executions) {
  CAPTURE(answered.body());
  if (answered.status() == 200) {
    CHECK(executions == 1);
  } else if (answered.ErrorType() == kNotRun) {
    CHECK(executions == 0);
    CHECK(answered.Header("Retry-After") != "");
  } else {
    CHECK(answered.ErrorType() == kOutcomeUnknown);
    CHECK(executions <= 1);
  }
}

TEST_CASE("A start that arrives after its grant has expired does not run") {
  cluster system({.prefills = 0, .decodes = 0});
  REQUIRE(system.Start());
  relay& link = *system.entry().links.at("s0");
  const std::string key = system.NewKey();
  link.StallReplies();
  const call_ptr made = system.CallService("/booking/hall", "{}", {{"Idempotency-Key", key}});
  system.environment().Elapse(milliseconds(100));
  // The offer reaches the entry; the start stays in the link until the grant has expired.
  link.StallRequests();
  system.environment().Elapse(milliseconds(1500));
  link.Heal();
  REQUIRE(made->Wait());
  system.environment().Elapse(milliseconds(500));
  CheckAnswerMatches(*made, ExecutionsOf(system, 1, key));
}

TEST_CASE("Rejections that race with starts are correct while an agent drains") {
  constexpr int kCalls = 60;
  cluster system({.prefills = 0, .decodes = 0, .services = 2});
  REQUIRE(system.Start());
  std::vector<std::string> keys;
  std::vector<call_ptr> made;
  for (int number = 0; number < kCalls; ++number) {
    keys.push_back(system.NewKey());
    made.push_back(system.CallService("/booking/hall", "{}", {{"Idempotency-Key", keys.back()}}));
    if (number == kCalls / 2) {
      system.environment().Elapse(milliseconds(5));
      system.service(0).agent->Signal(SIGTERM);
    }
  }
  for (const call_ptr& each : made) {
    REQUIRE(each->Wait());
  }
  for (int number = 0; number < kCalls; ++number) {
    CheckAnswerMatches(*made[number], ExecutionsOf(system, 2, keys[number]));
  }
}

TEST_CASE("An agent killed between start and reply leaves the outcome unknown") {
  cluster system({.prefills = 0, .decodes = 0});
  REQUIRE(system.Start());
  system.Faults(system.service().engine_address, {{"stall_after_executing", 1}});
  const std::string key = system.NewKey();
  const call_ptr made = system.CallService("/booking/hall", "{}", {{"Idempotency-Key", key}});
  REQUIRE(system.environment().WaitUntil([&] { return ExecutionsOf(system, 1, key) == 1; }));
  system.service().agent->Kill();
  SUBCASE("and is not restarted") {}
  SUBCASE("and is restarted") { system.StartAgent(system.service()); }
  REQUIRE(made->Wait());
  CHECK(made->status() == 504);
  CHECK(made->ErrorType() == kOutcomeUnknown);
  CHECK(ExecutionsOf(system, 1, key) == 1);
}

TEST_CASE("A call while no agent is running is answered with not_run") {
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
