// Engine memory is released when the caller disconnects.
#include <doctest/doctest.h>

#include <csignal>

#include "tests/process/cluster.h"
#include "tests/standins/expected_answer.h"

namespace jacinthspool::testing {
namespace {

using nlohmann::json;
using standins::ExpectedAnswer;

constexpr std::uint32_t kAbandonedTokens = 150;  ///< Length of an answer that its caller abandons.

json Request(const std::string& prompt, std::uint32_t tokens, bool stream = true) {
  return {{"model", kModel}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}};
}

/// \returns Options whose transfer and engine time-outs exceed the duration of a test, so that
/// memory is not released by these time-outs.
cluster_options LongTimeouts() {
  return {.services = 0, .timing = {{"transfer_timeout_ms", 60000}, {"engine_timeout_ms", 60000}}};
}

/// \brief Starts a stream and stalls its decoding after the first tokens.
call_ptr BeginStream(cluster& system) {
  call_ptr made = system.Complete(Request("condition report", kAbandonedTokens));
  REQUIRE(system.environment().WaitUntil([&] { return made->Events().size() >= 3; }));
  system.Faults(system.decode().engine_address, {{"stall_decode", true}});
  return made;
}

TEST_CASE("A caller that disconnects before its stream begins leaves no memory held") {
  cluster system(LongTimeouts());
  REQUIRE(system.Start());
  const std::string prefill = system.prefill().engine_address;
  const std::string decode = system.decode().engine_address;

  SUBCASE("while the request is queued behind another prefill") {
    const std::uint64_t before =
        FetchJson(system.environment(), prefill, "/standin/counters")["prefills"];
    system.Faults(prefill, {{"stall_prefill", true}});
    const call_ptr first = system.Complete(Request("first", 4));
    REQUIRE(
        system.environment().WaitUntil([&] { return !system.HeldBy(system.prefill()).empty(); }));
    const call_ptr queued = system.Complete(Request("queued", kAbandonedTokens));
    system.environment().Elapse(milliseconds(200));
    queued->Disconnect();
    system.environment().Elapse(milliseconds(200));
    system.Faults(prefill, {{"stall_prefill", false}});
    REQUIRE(first->Wait());
    CHECK(first->Text() == ExpectedAnswer("first", 4));
    CHECK(system.WaitNothingHeld());
    const json counters = FetchJson(system.environment(), prefill, "/standin/counters");
    CHECK(counters.value("prefills", 0U) == before + 1);
  }

  SUBCASE("during the prefill") {
    system.Faults(prefill, {{"stall_prefill", true}});
    const call_ptr made = system.Complete(Request("contract", kAbandonedTokens));
    REQUIRE(
        system.environment().WaitUntil([&] { return !system.HeldBy(system.prefill()).empty(); }));
    made->Disconnect();
    CHECK(system.WaitNothingHeld());
  }

  SUBCASE("during the transfer of the KV cache") {
    system.Faults(prefill, {{"stall_transfer", true}});
    const call_ptr made = system.Complete(Request("contract", kAbandonedTokens));
    REQUIRE(
        system.environment().WaitUntil([&] { return !system.HeldBy(system.decode()).empty(); }));
    made->Disconnect();
    CHECK(system.WaitNothingHeld());
  }

  system.Faults(prefill, {{"stall_prefill", false}, {"stall_transfer", false}});
  // The grant for the request is released, too: a request for nearly all memory is served.
  const std::string large(16000, 'x');
  const call_ptr next = system.Complete(Request(large, 4));
  REQUIRE(next->Wait());
  CAPTURE(next->status());
  CAPTURE(next->body());
  CAPTURE(system.LogOf(system.entry().name));
  CHECK(next->Text() == ExpectedAnswer(large, 4));
}

TEST_CASE("A caller that disconnects during its stream leaves no memory held") {
  cluster system(LongTimeouts());
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  SUBCASE("the engine cancels immediately") {}
  SUBCASE("the engine ignores the first cancels") {
    system.Faults(system.decode().engine_address, {{"ignore_cancels", 2}});
  }
  made->Disconnect();
  CHECK(system.WaitNothingHeld());
}

TEST_CASE("An entry that is killed during a stream leaves no memory held") {
  cluster system(LongTimeouts());
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  system.entry().process->Kill();
  CHECK(system.WaitNothingHeld());
}

TEST_CASE("An entry suspended past its lease leaves no memory held, also after it resumes") {
  cluster system(LongTimeouts());
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  system.entry().process->Signal(SIGSTOP);
  CHECK(system.WaitNothingHeld());
  system.Faults(system.decode().engine_address, {{"stall_decode", false}});
  system.entry().process->Signal(SIGCONT);
  REQUIRE(made->Wait());
  if (made->SawDone()) {
    CHECK(made->Text() == ExpectedAnswer("condition report", kAbandonedTokens));
  } else {
    CHECK(made->ErrorType() == "incomplete");
  }
  CHECK(system.WaitNothingHeld());
}

TEST_CASE("A restarted agent cancels the requests that its engine still runs") {
  cluster system(LongTimeouts());
  REQUIRE(system.Start());
  const call_ptr made = BeginStream(system);
  system.decode().agent->Kill();
  made->Disconnect();
  system.environment().Elapse(milliseconds(100));
  CHECK(system.HeldBy(system.decode()).size() == 1);
  system.StartAgent(system.decode());
  CHECK(system.WaitNothingHeld());
}

}  // namespace
}  // namespace jacinthspool::testing
