#include "tests/coordination/entry_rig.h"

namespace jacinthspool {
namespace {

TEST_CASE("a call of a plain service that may not be repeated") {
  entry_rig rig;
  rig.Call(false);
  rig.Offer("s1");
  rig.Offer("s2", milliseconds(50));
  REQUIRE(rig.StartsTo("s1") == 1);

  SUBCASE("gets its answer") {
    auto answer = rig.About<call_answer>();
    answer.status = 201;
    rig.Receive("s1", answer);
    rig.Receive("s1", answer);
    REQUIRE(rig.Count<deliver_call>() == 1);
    CHECK(rig.Delivered<deliver_call>()[0].status == 201);
  }
  SUBCASE("is told as not run when its start was refused") {
    rig.Refuse("s1", refusal_reason::kStaleGrant, milliseconds(10));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("is told as unknown when it failed and may have run") {
    rig.Fail("s1", run_state::kUnknown);
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  SUBCASE("loses its connection after the start") {
    rig.Down("s1");
    SUBCASE("and the agent seals it: not run") {
      rig.Up("s1");
      CHECK(rig.Sent<seal>("s1").size() == 1);
      auto answer = rig.About<sealed>();
      answer.state = run_state::kNotRun;
      rig.Receive("s1", answer);
      CHECK(rig.Count<deliver_not_run>() == 1);
    }
    SUBCASE("and the agent runs it: its answer is waited for") {
      rig.Up("s1");
      auto answer = rig.About<sealed>();
      answer.state = run_state::kRunning;
      rig.Receive("s1", answer);
      CHECK(rig.Sent<resume>("s1").size() == 1);
      rig.Receive("s1", rig.About<call_answer>());
      CHECK(rig.Count<deliver_call>() == 1);
    }
    SUBCASE("and another incarnation answers: unknown at once") {
      rig.Up("s1", entry_rig::kAgent + 1);
      CHECK(rig.Count<deliver_unknown>() == 1);
    }
    SUBCASE("and nobody answers: unknown when the lease has passed") {
      rig.Pass(milliseconds(3900));
      CHECK(rig.Finals() == 0);
      rig.Pass(milliseconds(200));
      CHECK(rig.Count<deliver_unknown>() == 1);
    }
  }
  SUBCASE("whose start was confirmed is never told as not run") {
    rig.Receive("s1", rig.About<started>());
    rig.Down("s1");
    rig.Up("s1");
    auto answer = rig.About<sealed>();
    answer.state = run_state::kNotRun;
    rig.Receive("s1", answer);
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  CHECK(rig.Finals() == 1);
  CHECK(rig.StartsTo("s1") + rig.StartsTo("s2") == 1);
}

TEST_CASE("a call that may be repeated is tried elsewhere") {
  entry_rig rig;
  rig.Call(true);
  rig.Offer("s1");
  rig.Offer("s2", milliseconds(50));
  rig.Fail("s1", run_state::kUnknown);
  rig.Offer("s1", milliseconds(50), 2);
  rig.Offer("s2", {}, 2);
  CHECK(rig.StartsTo("s2") == 1);
  rig.Receive("s2", rig.About<call_answer>(2));
  CHECK(rig.Count<deliver_call>() == 1);
}

TEST_CASE("a keyed call goes to its key's home only") {
  entry_rig rig;
  rig.Call(false, "order-1");
  const std::string home = rig.Sent<grant_request>("s1").empty() ? "s2" : "s1";
  const std::string other = home == "s1" ? "s2" : "s1";
  CHECK(rig.Sent<grant_request>(other).empty());

  SUBCASE("also when it refuses") {
    rig.Refuse(home, refusal_reason::kNoRoom, seconds(1));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("and the caller is told when the key may have run before") {
    rig.Refuse(home, refusal_reason::kKeyMayHaveRun, seconds(1));
    CHECK(rig.Count<deliver_unknown>() == 1);
  }
  SUBCASE("and nowhere when that is down") {
    rig.Down(home);
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  CHECK(rig.StartsTo(other) == 0);
  CHECK(rig.Finals() == 1);
}

}  // namespace
}  // namespace jacinthspool
