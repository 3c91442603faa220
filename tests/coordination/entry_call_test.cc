#include "tests/coordination/entry_rig.h"

namespace jacinthspool {
namespace {

TEST_CASE("a non-idempotent call is started at most once") {
  entry_rig rig;
  rig.SubmitCall(false);
  rig.Offer("s1");
  rig.Offer("s2", milliseconds(50));
  REQUIRE(rig.StartsTo("s1") == 1);

  SUBCASE("the answer is delivered once") {
    auto answer = rig.MakeMessage<call_answer>();
    answer.status = 201;
    rig.Receive("s1", answer);
    rig.Receive("s1", answer);
    REQUIRE(rig.Count<deliver_call>() == 1);
    CHECK(rig.Delivered<deliver_call>()[0].status == 201);
  }
  SUBCASE("a rejected start is reported as not run") {
    rig.Refuse("s1", refusal_reason::kStaleGrant, milliseconds(10));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("a failure after which it may have run is reported as unknown") {
    rig.Fail("s1", run_state::kUnknown);
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  SUBCASE("the connection is lost after the start order") {
    rig.Disconnect("s1");
    SUBCASE("a seal that proves \"not run\" is reported as not run") {
      rig.Connect("s1");
      CHECK(rig.Sent<seal>("s1").size() == 1);
      auto answer = rig.MakeMessage<sealed>();
      answer.state = run_state::kNotRun;
      rig.Receive("s1", answer);
      CHECK(rig.Count<deliver_not_run>() == 1);
    }
    SUBCASE("a running call is resumed and its answer is delivered") {
      rig.Connect("s1");
      auto answer = rig.MakeMessage<sealed>();
      answer.state = run_state::kRunning;
      rig.Receive("s1", answer);
      CHECK(rig.Sent<resume>("s1").size() == 1);
      rig.Receive("s1", rig.MakeMessage<call_answer>());
      CHECK(rig.Count<deliver_call>() == 1);
    }
    SUBCASE("another incarnation is reported as unknown immediately") {
      rig.Connect("s1", entry_rig::kAgent + 1);
      CHECK(rig.Count<deliver_unknown>() == 1);
    }
    SUBCASE("without a reconnect the outcome is unknown after the lease") {
      rig.AdvanceTime(milliseconds(3900));
      CHECK(rig.FinalOutcomes() == 0);
      rig.AdvanceTime(milliseconds(200));
      CHECK(rig.Count<deliver_unknown>() == 1);
    }
  }
  SUBCASE("a confirmed start is never reported as not run") {
    rig.Receive("s1", rig.MakeMessage<started>());
    rig.Disconnect("s1");
    rig.Connect("s1");
    auto answer = rig.MakeMessage<sealed>();
    answer.state = run_state::kNotRun;
    rig.Receive("s1", answer);
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  CHECK(rig.FinalOutcomes() == 1);
  CHECK(rig.StartsTo("s1") + rig.StartsTo("s2") == 1);
}

TEST_CASE("an idempotent call is retried at another agent") {
  entry_rig rig;
  rig.SubmitCall(true);
  rig.Offer("s1");
  rig.Offer("s2", milliseconds(50));
  rig.Fail("s1", run_state::kUnknown);
  rig.Offer("s1", milliseconds(50), 2);
  rig.Offer("s2", {}, 2);
  CHECK(rig.StartsTo("s2") == 1);
  rig.Receive("s2", rig.MakeMessage<call_answer>(2));
  CHECK(rig.Count<deliver_call>() == 1);
}

TEST_CASE("a call with an idempotency key is sent only to the home of its key") {
  entry_rig rig;
  rig.SubmitCall(false, "order-1");
  const std::string home = rig.Sent<grant_request>("s1").empty() ? "s2" : "s1";
  const std::string other = home == "s1" ? "s2" : "s1";
  CHECK(rig.Sent<grant_request>(other).empty());

  SUBCASE("a rejection by the home is not retried elsewhere") {
    rig.Refuse(home, refusal_reason::kNoRoom, seconds(1));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("a key that may have run before is reported as unknown") {
    rig.Refuse(home, refusal_reason::kKeyMayHaveRun, seconds(1));
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  SUBCASE("the call is not started when the home is down") {
    rig.Disconnect(home);
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  CHECK(rig.StartsTo(other) == 0);
  CHECK(rig.FinalOutcomes() == 1);
}

}  // namespace
}  // namespace jacinthspool
