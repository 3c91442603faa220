// Each token of an answer is delivered exactly once and in order.
#include <doctest/doctest.h>

#include <csignal>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;

constexpr std::uint32_t kTokens = 120;
constexpr char kPrompt[] = "reorder summary of the parish of Oradea";

call_ptr BeginStream(cluster& system) {
  call_ptr made = system.Complete(
      {{"model", kModel}, {"prompt", kPrompt}, {"max_tokens", kTokens}, {"stream", true}});
  REQUIRE(system.environment().WaitUntil([&] { return made->Events().size() >= 5; }));
  return made;
}

void CheckComplete(call& made) {
  REQUIRE(made.Wait());
  CHECK(made.status() == 200);
  CHECK(made.Text() == ExpectedAnswer(kPrompt, kTokens));
  CHECK(made.SawDone());
}

TEST_CASE("A connection that is lost and restored within the lease duplicates no token") {
  cluster system({.services = 0});
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  relay& link = *system.entry().links.at("d0");
  SUBCASE("once") {
    link.Cut();
    system.environment().Elapse(milliseconds(200));
    link.Heal();
  }
  SUBCASE("three times in a row") {
    for (int round = 0; round < 3; ++round) {
      link.Cut();
      system.environment().Elapse(milliseconds(100));
      link.Heal();
      system.environment().Elapse(milliseconds(300));
    }
  }
  SUBCASE("stalled, so that delayed pieces arrive late") {
    link.Stall();
    system.environment().Elapse(milliseconds(500));
    link.Heal();
  }
  CheckComplete(*made);
  CHECK(system.WaitNothingHeld());
}

TEST_CASE(
    "An agent that is suspended and resumed after its stream moved adds nothing to the answer") {
  cluster system({.decodes = 2, .services = 0});
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  const int first = system.HeldBy(system.decode(0)).empty() ? 1 : 0;
  system.decode(first).agent->Signal(SIGSTOP);
  // The stream has moved when the other engine holds memory for it, or when it has ended.
  REQUIRE(system.environment().WaitUntil(
      [&] { return made->done() || !system.HeldBy(system.decode(1 - first)).empty(); }));
  system.decode(first).agent->Signal(SIGCONT);
  CheckComplete(*made);
  CHECK(system.WaitNothingHeld());
}

}  // namespace
}  // namespace jacinthspool::testing
