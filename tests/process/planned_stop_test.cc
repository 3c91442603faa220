// A planned stop completes all requests in progress.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;

constexpr std::uint32_t kTokens = 40;
constexpr char kPrompt[] = "schedule of the touring exhibition";

call_ptr BeginStream(cluster& system) {
  call_ptr made = system.Complete(
      {{"model", kModel}, {"prompt", kPrompt}, {"max_tokens", kTokens}, {"stream", true}});
  REQUIRE(system.environment().WaitUntil([&] { return made->Events().size() >= 3; }));
  return made;
}

void CheckComplete(call& made) {
  REQUIRE(made.Wait());
  CHECK(made.status() == 200);
  CHECK(made.Text() == ExpectedAnswer(kPrompt, kTokens));
  CHECK(made.SawDone());
}

void CheckEnds(cluster& system, child_process& process) {
  REQUIRE(system.environment().WaitUntil([&] { return process.ExitCode().has_value(); }));
  CHECK(process.ExitCode() == 0);
}

TEST_CASE("A planned stop waits for the streams in progress") {
  cluster system({.decodes = 2, .services = 0});
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);

  SUBCASE("of the entry") {
    system.entry().process->Signal(SIGTERM);
    CheckComplete(*made);
    CheckEnds(system, *system.entry().process);
  }

  SUBCASE("of the decode agent") {
    child_process& agent = *system.decode(system.HeldBy(system.decode(0)).empty() ? 1 : 0).agent;
    agent.Signal(SIGTERM);
    CheckComplete(*made);
    CheckEnds(system, agent);
  }

  SUBCASE("of all agents and the entry at once") {
    system.entry().process->Signal(SIGTERM);
    for (int number = 0; number < 2; ++number) {
      system.decode(number).agent->Signal(SIGTERM);
    }
    system.prefill().agent->Signal(SIGTERM);
    CheckComplete(*made);
    CheckEnds(system, *system.entry().process);
    CheckEnds(system, *system.prefill().agent);
    CheckEnds(system, *system.decode(0).agent);
    CheckEnds(system, *system.decode(1).agent);
  }

  SUBCASE("of the entry, while a partition lasts for less than the lease") {
    for (const auto& [name, link] : system.entry().links) {
      link->Stall();
    }
    system.entry().process->Signal(SIGTERM);
    system.environment().Elapse(milliseconds(500));
    for (const auto& [name, link] : system.entry().links) {
      link->Heal();
    }
    CheckComplete(*made);
    CheckEnds(system, *system.entry().process);
  }
}

TEST_CASE("A stopping entry rejects new requests") {
  cluster system({.services = 0});
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  system.entry().process->Signal(SIGTERM);
  REQUIRE(system.environment().WaitUntil([&] {
    const call_ptr next =
        system.Complete({{"model", kModel}, {"prompt", "late"}, {"max_tokens", 1}});
    return !next->Wait() || next->status() == 0 || next->status() == 503;
  }));
  CheckComplete(*made);
  CheckEnds(system, *system.entry().process);
}

TEST_CASE("A second signal during a planned stop aborts no stream") {
  cluster system({.services = 0});
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  child_process* stopped = nullptr;
  SUBCASE("of the entry") { stopped = system.entry().process.get(); }
  SUBCASE("of the decode agent") { stopped = system.decode().agent.get(); }
  stopped->Signal(SIGTERM);
  const std::size_t seen = made->Events().size();
  REQUIRE(system.environment().WaitUntil([&] { return made->Events().size() > seen; }));
  stopped->Signal(SIGTERM);
  CheckComplete(*made);
  CheckEnds(system, *stopped);
}

}  // namespace
}  // namespace jacinthspool::testing
