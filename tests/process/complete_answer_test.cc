// Each caller gets the complete answer to its own request.
#include <doctest/doctest.h>

#include <csignal>
#include <vector>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;

constexpr std::uint32_t kTokens = 60;
constexpr char kPrompt[] = "digest of the condition report of crate 12";

call_ptr Begin(cluster& system) {
  return system.Complete(
      {{"model", kModel}, {"prompt", kPrompt}, {"max_tokens", kTokens}, {"stream", true}});
}

void CheckComplete(call& made) {
  REQUIRE(made.Wait());
  CHECK(made.status() == 200);
  CHECK(made.Text() == ExpectedAnswer(kPrompt, kTokens));
  CHECK(made.SawDone());
}

/// \brief Waits until a decode engine holds memory for the request.
/// \returns The number of that engine.
int DecodeInUse(cluster& system) {
  int used = -1;
  REQUIRE(system.environment().WaitUntil([&] {
    for (int number = 0; number < 2; ++number) {
      used = system.HeldBy(system.decode(number)).empty() ? used : number;
    }
    return used >= 0;
  }));
  return used;
}

TEST_CASE("The answer is complete after its decode engine is killed") {
  cluster system({.decodes = 2, .services = 0});
  REQUIRE(system.Start());

  SUBCASE("before the first token") {
    system.Faults(system.prefill().engine_address, {{"stall_transfer", true}});
    const call_ptr made = Begin(system);
    const int used = DecodeInUse(system);
    system.decode(used).engine->Kill();
    system.Faults(system.prefill().engine_address, {{"stall_transfer", false}});
    CheckComplete(*made);
  }

  SUBCASE("after the first token") {
    const call_ptr made = Begin(system);
    REQUIRE(system.environment().WaitUntil([&] { return !made->Text().empty(); }));
    system.decode(DecodeInUse(system)).engine->Kill();
    CheckComplete(*made);
  }

  SUBCASE("together with its agent, after some tokens") {
    const call_ptr made = Begin(system);
    REQUIRE(system.environment().WaitUntil([&] { return made->Events().size() > 10; }));
    backend_server& lost = system.decode(DecodeInUse(system));
    lost.engine->Kill();
    lost.agent->Kill();
    CheckComplete(*made);
  }
}

TEST_CASE("The prefill is retried elsewhere after its engine is killed") {
  cluster system({.prefills = 2, .services = 0});
  REQUIRE(system.Start());
  for (int number = 0; number < 2; ++number) {
    system.Faults(system.prefill(number).engine_address, {{"stall_prefill", true}});
  }
  const call_ptr made = Begin(system);
  int used = -1;
  REQUIRE(system.environment().WaitUntil([&] {
    for (int number = 0; number < 2; ++number) {
      used = system.HeldBy(system.prefill(number)).empty() ? used : number;
    }
    return used >= 0;
  }));
  system.prefill(used).engine->Kill();
  system.Faults(system.prefill(1 - used).engine_address, {{"stall_prefill", false}});
  CheckComplete(*made);
}

TEST_CASE("A truncated stream is never treated as complete") {
  cluster system({.decodes = 1, .services = 0});
  REQUIRE(system.Start());
  const std::string decode = system.decode().engine_address;
  SUBCASE("truncated, with a regular end of the HTTP body") {
    system.Faults(decode, {{"truncate_streams", 1}, {"cut_after_tokens", 7}});
  }
  SUBCASE("connection closed") {
    system.Faults(decode, {{"cut_streams", 1}, {"cut_after_tokens", 7}});
  }
  SUBCASE("truncated after the last token, before the last event") {
    system.Faults(decode, {{"truncate_streams", 1}, {"cut_after_tokens", kTokens}});
  }
  CheckComplete(*Begin(system));
  CHECK(system.WaitNothingHeld());
}

TEST_CASE("A prefill result that arrives after its KV cache expired does not fail the request") {
  cluster system({.services = 0});
  REQUIRE(system.Start());
  relay& link = *system.prefill().engine_link;
  link.StallReplies();
  const call_ptr made = Begin(system);
  REQUIRE(system.environment().WaitUntil([&] {
    return FetchJson(system.environment(), system.prefill().engine_address, "/standin/counters")
               .value("kv_expired", 0U) > 0;
  }));
  link.Heal();
  CheckComplete(*made);
  CHECK(system.WaitNothingHeld());
}

TEST_CASE("A request whose KV transfer stalls is retried") {
  cluster system({.services = 0});
  REQUIRE(system.Start());
  system.Faults(system.prefill().engine_address, {{"stall_transfer", true}});
  const call_ptr made = Begin(system);
  REQUIRE(system.environment().WaitUntil([&] { return !system.HeldBy(system.decode()).empty(); }));
  REQUIRE(system.environment().WaitUntil([&] { return system.HeldBy(system.decode()).empty(); }));
  system.Faults(system.prefill().engine_address, {{"stall_transfer", false}});
  CheckComplete(*made);
}

TEST_CASE("Concurrent requests that end out of order get their own answers") {
  constexpr std::uint32_t kRequests = 10;
  cluster system({.prefills = 2, .decodes = 2, .services = 0});
  REQUIRE(system.Start());
  std::vector<call_ptr> made;
  for (std::uint32_t number = 0; number < kRequests; ++number) {
    // Earlier requests are longer, so that answers end in another order than they began.
    const std::string prompt = "prompt " + std::to_string(number);
    made.push_back(system.Complete({{"model", kModel},
                                    {"prompt", prompt},
                                    {"max_tokens", 4 * (kRequests - number)},
                                    {"stream", number % 2 == 0}}));
  }
  for (std::uint32_t number = 0; number < kRequests; ++number) {
    REQUIRE(made[number]->Wait());
    CHECK(made[number]->Text() ==
          ExpectedAnswer("prompt " + std::to_string(number), 4 * (kRequests - number)));
  }
  CHECK(system.WaitNothingHeld());
}

}  // namespace
}  // namespace jacinthspool::testing
