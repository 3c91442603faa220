#include "tests/coordination/entry_rig.h"

namespace jacinthspool {
namespace {

TEST_CASE("a completion reserves decode memory, then prefills, then decodes") {
  entry_rig rig;
  rig.SubmitCompletion();
  REQUIRE(rig.Sent<grant_request>("d1").size() == 1);
  REQUIRE(rig.Sent<grant_request>("d2").size() == 1);
  CHECK(rig.Sent<grant_request>("d1")[0].pieces == 2);
  CHECK(rig.Sent<grant_request>("p1").empty());

  rig.Offer("d2", milliseconds(50));
  CHECK(rig.Sent<grant_request>("p1").empty());
  rig.Offer("d1", milliseconds(10));
  CHECK(rig.Sent<grant_release>("d2").size() == 1);
  CHECK(rig.Sent<grant_request>("p1").size() == 1);

  rig.Offer("p1");
  rig.Refuse("p2", refusal_reason::kQueueFull, seconds(1));
  REQUIRE(rig.Sent<start_order>("p1").size() == 1);
  CHECK(rig.Sent<start_order>("p1")[0].seat_in == milliseconds(10));

  SUBCASE("the whole answer is delivered once") {
    rig.Prefilled("p1");
    REQUIRE(rig.Sent<start_order>("d1").size() == 1);
    CHECK(rig.Sent<start_order>("d1")[0].kv->params == "kv");
    rig.Piece("d1", 1, "world");
    CHECK(rig.Sent<answer_ack>("p1").size() == 1);
    rig.Piece("d1", 0, "hello ");
    rig.Piece("d1", 0, "hello ");
    rig.End("d1", 2);
    CHECK(rig.Text() == "hello world");
    CHECK(rig.Count<deliver_end>() == 1);
    CHECK(rig.Sent<answer_ack>("d1")[0].whole);
    CHECK(rig.core.idle());

    SUBCASE("a repeated end is only acknowledged again") {
      rig.End("d1", 2);
      CHECK(rig.Sent<answer_ack>("d1").size() == 1);
      CHECK(rig.FinalOutcomes() == 1);
    }
  }
  SUBCASE("a changed decode start is forwarded to the prefill agent") {
    auto moved = rig.MakeMessage<seat_update>();
    moved.seat_in = milliseconds(70);
    rig.Receive("d1", moved);
    REQUIRE(rig.Sent<seat_update>("p1").size() == 1);
    CHECK(rig.Sent<seat_update>("p1")[0].seat_in == milliseconds(70));
  }
  SUBCASE("the decode grant is renewed while the prefill is still running") {
    rig.AdvanceTime(milliseconds(1500));
    CHECK(rig.CountSent<grant_request>("d1") >= 2);
    rig.Offer("d1", milliseconds(200));
    CHECK(rig.Sent<seat_update>("p1").size() == 1);
  }
  SUBCASE("each routing decision is logged with its candidates") {
    const auto logged = rig.Delivered<log_entry_decision>();
    REQUIRE(logged.size() == 2);
    CHECK(logged[0].made.choice == "d1");
    CHECK(logged[0].made.candidates.size() == 2);
    CHECK(logged[1].made.choice == "p1");
    CHECK(logged[1].made.candidates[0].refusal.empty() !=
          logged[1].made.candidates[1].refusal.empty());
  }
}

TEST_CASE("a request without an offer is rejected without a retry") {
  entry_rig rig;
  SUBCASE("when all agents reject, the shortest Retry-After is reported") {
    rig.SubmitCompletion();
    rig.Refuse("d1", refusal_reason::kNoRoom, milliseconds(900));
    rig.Refuse("d2", refusal_reason::kNoRoom, milliseconds(300));
    REQUIRE(rig.Count<deliver_not_run>() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].retry_after == milliseconds(300));
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kNoRoom);
  }
  SUBCASE("when the prefill agents reject, the decode grant is released") {
    rig.SubmitCompletion();
    rig.Offer("d1");
    rig.Offer("d2", milliseconds(20));
    rig.Refuse("p1", refusal_reason::kQueueFull, milliseconds(100));
    rig.Refuse("p2", refusal_reason::kQueueFull, milliseconds(200));
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].retry_after == milliseconds(100));
  }
  SUBCASE("no agent replies before the time limit") {
    rig.SubmitCompletion();
    rig.AdvanceTime(seconds(2));
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kBackendDown);

    SUBCASE("a late offer is released") {
      rig.Offer("d1");
      CHECK(rig.Sent<grant_release>("d1").size() == 1);
    }
  }
  SUBCASE("after one offer the search does not wait for the full time limit") {
    rig.SubmitCompletion();
    rig.Offer("d1");
    rig.AdvanceTime(milliseconds(20));
    CHECK(rig.Count<log_entry_decision>() == 1);
  }
  SUBCASE("no agent is up") {
    rig.Disconnect("d1");
    rig.Disconnect("d2");
    rig.SubmitCompletion();
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kBackendDown);
  }
  SUBCASE("a request above the limit of requests in progress is rejected") {
    entry_policy policy = entry_rig::Policy();
    policy.max_requests = 1;
    rig.Handle(entry_policy_changed{policy});
    rig.SubmitCompletion();
    rig.id.counter = 2;
    rig.SubmitCompletion();
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kQueueFull);
    CHECK(rig.core.in_progress() == 1);
  }
  CHECK(rig.FinalOutcomes() <= 1);
}

TEST_CASE("a prefill is withdrawn from the queue") {
  entry_rig rig;
  rig.SubmitCompletion();
  rig.OfferAll();
  SUBCASE("a withdrawal after the deadline is reported as not run without a retry") {
    rig.AdvanceTime(milliseconds(430));
    rig.Fail("p1", run_state::kNotRun);
    REQUIRE(rig.Count<deliver_not_run>() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kDeadlineMissed);
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
  }
  SUBCASE("a withdrawal because the engine is down is retried") {
    rig.Fail("p1", run_state::kNotRun);
    CHECK(rig.Sent<grant_request>("d1").size() == 1);
  }
}

TEST_CASE("a failed prefill is retried as a new attempt") {
  entry_rig rig;
  rig.SubmitCompletion();
  rig.OfferAll();
  rig.Fail("p1", run_state::kUnknown);
  CHECK(rig.Sent<cancel_order>("p1").size() == 1);
  CHECK(rig.Sent<grant_release>("d1").size() == 1);
  REQUIRE(rig.Sent<grant_request>("d1").size() == 1);
  CHECK(rig.Sent<grant_request>("d1")[0].attempt == 2);

  SUBCASE("a result of the earlier attempt is ignored") {
    rig.Prefilled("p1");
    CHECK(rig.StartsTo("d1") == 0);
    rig.OfferAll(2);
    rig.Prefilled("p1", 2);
    CHECK(rig.StartsTo("d1") == 1);
  }
  SUBCASE("the request fails when its attempts are exhausted") {
    rig.OfferAll(2);
    rig.Fail("p1", run_state::kUnknown, 2);
    rig.AdvanceTime(seconds(1));
    rig.OfferAll(3);
    rig.Fail("p1", run_state::kUnknown, 3);
    CHECK(rig.Count<deliver_failed>() == 1);
    CHECK(rig.FinalOutcomes() == 1);
  }
}

TEST_CASE("a decode fails before its first piece") {
  entry_rig rig;
  rig.RunToDecode();
  SUBCASE("the decode is retried with the same KV cache until it expires") {
    rig.Fail("d1", run_state::kNotRun);
    REQUIRE(rig.Sent<grant_request>("d2").size() == 1);
    rig.Offer("d2", {}, 2);
    rig.Refuse("d1", refusal_reason::kNoRoom, seconds(1), 2);
    REQUIRE(rig.Sent<start_order>("d2").size() == 1);
    CHECK(rig.Sent<start_order>("d2")[0].kv->params == "kv");
    CHECK(rig.StartsTo("p1") + rig.StartsTo("p2") == 1);
    rig.Piece("d2", 0, "hi", 2);
    rig.End("d2", 1, 2);
    CHECK(rig.Text() == "hi");
    CHECK(rig.Count<deliver_end>() == 1);
  }
  SUBCASE("the prefill is repeated when the KV cache has expired") {
    rig.AdvanceTime(seconds(1));
    rig.Fail("d1", run_state::kNotRun);
    rig.OfferAll(2);
    CHECK(rig.StartsTo("p1") + rig.StartsTo("p2") == 2);
  }
}

TEST_CASE("a decode agent is lost during the answer") {
  entry_rig rig;
  rig.RunToDecode();
  rig.Receive("d1", rig.MakeMessage<started>());
  rig.Piece("d1", 0, "a");
  rig.Piece("d1", 1, "b");
  rig.Disconnect("d1");
  CHECK(rig.core.uses("d1"));
  CHECK_FALSE(rig.core.uses("d2"));

  SUBCASE("a reconnect within the lease resumes the stream") {
    rig.AdvanceTime(seconds(2));
    rig.Connect("d1");
    REQUIRE(rig.Sent<resume>("d1").size() == 1);
    CHECK(rig.Sent<resume>("d1")[0].next_offset == 2);
    rig.Piece("d1", 1, "b");
    rig.Piece("d1", 2, "c");
    rig.End("d1", 3);
    CHECK(rig.Text() == "abc");
    CHECK(rig.Count<deliver_end>() == 1);
  }
  SUBCASE("after an agent restart a new attempt delivers only the missing pieces") {
    rig.Connect("d1", entry_rig::kAgent + 1);
    rig.Offer("d2", {}, 2);
    rig.AdvanceTime(milliseconds(20));
    rig.Offer("p1", {}, 2);
    rig.Offer("p2", {}, 2);
    rig.Prefilled("p1", 2);
    rig.Prefilled("p2", 2);
    REQUIRE(rig.StartsTo("d2") == 1);
    rig.Piece("d1", 2, "old");
    rig.Piece("d2", 2, "c", 2);
    rig.End("d2", 3, 2);
    CHECK(rig.Text() == "abc");
    CHECK(rig.FinalOutcomes() == 1);
    CHECK(rig.core.idle());
  }
  SUBCASE("without a reconnect a new attempt begins after the lease") {
    rig.AdvanceTime(seconds(5));
    CHECK(rig.core.in_progress() == 1);
    const auto logged = rig.Delivered<log_entry_decision>();
    CHECK(logged.back().made.event == "retry");
    SUBCASE("the cancel of the earlier attempt is sent on a later reconnect") {
      rig.Connect("d1");
      CHECK(rig.Sent<cancel_order>("d1").size() == 1);
      CHECK_FALSE(rig.core.idle());
    }
  }
}

TEST_CASE("the caller disconnects") {
  entry_rig rig;
  SUBCASE("pending and late offers are released") {
    rig.SubmitCompletion();
    rig.Offer("d1");
    rig.Handle(caller_disconnected{rig.id});
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    rig.Offer("d2");
    CHECK(rig.Sent<grant_release>("d2").size() == 1);
    CHECK(rig.core.idle());
  }
  SUBCASE("a running prefill is cancelled and the decode grant released") {
    rig.SubmitCompletion();
    rig.OfferAll();
    rig.Handle(caller_disconnected{rig.id});
    CHECK(rig.Sent<cancel_order>("p1").size() == 1);
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    CHECK(rig.core.in_progress() == 0);

    SUBCASE("the cancel is retried until it is confirmed") {
      CHECK_FALSE(rig.core.idle());
      rig.AdvanceTime(seconds(5));
      rig.Disconnect("p1");
      rig.Connect("p1");
      CHECK(rig.Sent<cancel_order>("p1").size() == 1);
      rig.Receive("p1", rig.MakeMessage<cancelled>());
      CHECK(rig.core.idle());
    }
    SUBCASE("the cancel is dropped when the agent has restarted") {
      rig.Connect("p1", entry_rig::kAgent + 1);
      CHECK(rig.core.idle());
    }
  }
  SUBCASE("a running decode is cancelled and later pieces are ignored") {
    rig.RunToDecode();
    rig.Piece("d1", 0, "a");
    rig.Handle(caller_disconnected{rig.id});
    CHECK(rig.Sent<cancel_order>("d1").size() == 1);
    rig.Piece("d1", 1, "b");
    CHECK(rig.Text() == "a");
  }
  CHECK(rig.FinalOutcomes() == 0);
}

TEST_CASE("unexpected messages have no effect") {
  entry_rig rig;
  rig.RunToDecode();
  const std::size_t before = rig.all.size();
  rig.Receive("p1", rig.MakeMessage<prefill_done>());
  rig.Receive("d1", rig.MakeMessage<call_answer>());
  rig.Receive("d2", rig.MakeMessage<piece>());
  rig.Receive("d1", rig.MakeMessage<piece>(9));
  rig.Receive("d1", start_order{});
  rig.Receive("unknown", rig.MakeMessage<piece>());
  rig.Receive("d1", rig.MakeMessage<piece>(), entry_rig::kAgent + 1);
  auto offer = rig.MakeMessage<grant_offer>();
  offer.lifetime = microseconds::max();
  offer.start_in = microseconds::min();
  rig.Receive("d1", offer);
  CHECK(rig.all.size() == before);
  SUBCASE("a prefill result without a KV handle is a failure") {
    rig.id.counter = 2;
    rig.SubmitCompletion();
    rig.OfferAll();
    rig.Receive("p1", rig.MakeMessage<prefill_done>());
    CHECK(rig.Sent<grant_request>("d1")[0].attempt == 2);
  }
}

TEST_CASE("the baseline routing policies") {
  SUBCASE("round robin queries one member at a time") {
    entry_rig rig(entry_rig::Policy(round_robin_policy{}));
    rig.SubmitCompletion();
    CHECK(rig.Sent<grant_request>("d1").size() == 1);
    CHECK(rig.Sent<grant_request>("d2").empty());
    rig.id.counter = 2;
    rig.SubmitCompletion();
    CHECK(rig.Sent<grant_request>("d2").size() == 1);
  }
  SUBCASE("least load queries the member with the lowest load") {
    entry_rig rig(entry_rig::Policy(least_load_policy{}));
    heartbeat busy;
    busy.load = std::make_shared<agent_load>();
    busy.load->queue_wait = seconds(1);
    rig.Receive("d1", busy);
    rig.SubmitCompletion();
    CHECK(rig.Sent<grant_request>("d1").empty());
    CHECK(rig.Sent<grant_request>("d2").size() == 1);
  }
  SUBCASE("the entry queue places nothing in an agent's queue") {
    entry_rig rig(entry_rig::Policy(entry_queue_policy{}));
    rig.SubmitCompletion();
    rig.Offer("d1");
    rig.Offer("d2");
    const std::string busy = rig.CountSent<grant_request>("p1") == 1 ? "p1" : "p2";
    rig.Offer(busy, milliseconds(100));
    CHECK(rig.Sent<grant_release>(busy).size() == 1);
    CHECK(rig.core.in_progress() == 1);
    rig.AdvanceTime(milliseconds(20));
    CHECK(rig.CountSent<grant_request>("d1") + rig.CountSent<grant_request>("d2") == 2);
    rig.AdvanceTime(seconds(2));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("prefill first reserves decode memory after the prefill") {
    entry_rig rig(entry_rig::Policy(prefill_first_policy{}));
    rig.SubmitCompletion();
    CHECK(rig.Sent<grant_request>("d1").empty());
    rig.Offer("p1");
    rig.Offer("p2", milliseconds(50));
    CHECK(rig.Sent<start_order>("p1").size() == 1);
    rig.Prefilled("p1");
    CHECK(rig.Sent<grant_request>("d1").size() == 1);
    rig.Offer("d1");
    rig.Offer("d2", milliseconds(50));
    CHECK(rig.Sent<start_order>("d1").size() == 1);
  }
}

TEST_CASE("a draining agent is not queried") {
  entry_rig rig;
  heartbeat leaving;
  leaving.load = std::make_shared<agent_load>();
  leaving.load->leaving = true;
  rig.Receive("d1", leaving);
  rig.SubmitCompletion();
  CHECK(rig.Sent<grant_request>("d1").empty());
  CHECK(rig.Sent<grant_request>("d2").size() == 1);
}

TEST_CASE("equal prompt prefixes are routed to the same prefill agent unless it is overloaded") {
  entry_policy policy = entry_rig::Policy(reservation_first_policy{.candidates = 1});
  entry_rig rig(policy);
  const auto prefill_agent_of = [&rig](std::uint64_t counter) {
    caller_request request;
    request.id = {.incarnation = entry_rig::kEntry, .counter = counter};
    request.prefill_pool = "p";
    request.pool = "d";
    request.prompt_tokens = 1;
    request.prefix_hashes = {42};
    rig.id = request.id;
    const std::size_t before = rig.CountSent<grant_request>("p1");
    rig.Handle(request);
    rig.Offer("d1");
    rig.Offer("d2");
    return std::string(rig.CountSent<grant_request>("p1") > before ? "p1" : "p2");
  };
  const std::string home = prefill_agent_of(1);
  CHECK(prefill_agent_of(2) == home);
  CHECK(prefill_agent_of(3) == home);
  heartbeat busy;
  busy.load = std::make_shared<agent_load>();
  busy.load->queue_wait = seconds(1);
  rig.Receive(home, busy);
  CHECK(prefill_agent_of(4) != home);
}

}  // namespace
}  // namespace jacinthspool
