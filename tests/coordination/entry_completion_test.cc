#include "tests/coordination/entry_rig.h"

namespace jacinthspool {
namespace {

TEST_CASE("a completion takes a seat, then a prefill, then decodes") {
  entry_rig rig;
  rig.Ask();
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

  SUBCASE("and the caller gets the whole answer once") {
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

    SUBCASE("a repeated end is acknowledged again and nothing else") {
      rig.End("d1", 2);
      CHECK(rig.Sent<answer_ack>("d1").size() == 1);
      CHECK(rig.Finals() == 1);
    }
  }
  SUBCASE("a seat that moves is told to the prefill's agent") {
    auto moved = rig.About<seat_update>();
    moved.seat_in = milliseconds(70);
    rig.Receive("d1", moved);
    REQUIRE(rig.Sent<seat_update>("p1").size() == 1);
    CHECK(rig.Sent<seat_update>("p1")[0].seat_in == milliseconds(70));
  }
  SUBCASE("the seat's grant is kept alive while the prefill takes longer") {
    rig.Pass(milliseconds(1500));
    CHECK(rig.CountSent<grant_request>("d1") >= 2);
    rig.Offer("d1", milliseconds(200));
    CHECK(rig.Sent<seat_update>("p1").size() == 1);
  }
  SUBCASE("every choice is logged with its candidates") {
    const auto logged = rig.Delivered<log_entry_decision>();
    REQUIRE(logged.size() == 2);
    CHECK(logged[0].made.choice == "d1");
    CHECK(logged[0].made.candidates.size() == 2);
    CHECK(logged[1].made.choice == "p1");
    CHECK(logged[1].made.candidates[0].refusal.empty() !=
          logged[1].made.candidates[1].refusal.empty());
  }
}

TEST_CASE("a request that cannot be placed is given up at once") {
  entry_rig rig;
  SUBCASE("every agent refuses: not run, with the smallest honest quote") {
    rig.Ask();
    rig.Refuse("d1", refusal_reason::kNoRoom, milliseconds(900));
    rig.Refuse("d2", refusal_reason::kNoRoom, milliseconds(300));
    REQUIRE(rig.Count<deliver_not_run>() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].retry_after == milliseconds(300));
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kNoRoom);
  }
  SUBCASE("the prefill agents refuse: the seat is given back") {
    rig.Ask();
    rig.Offer("d1");
    rig.Offer("d2", milliseconds(20));
    rig.Refuse("p1", refusal_reason::kQueueFull, milliseconds(100));
    rig.Refuse("p2", refusal_reason::kQueueFull, milliseconds(200));
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].retry_after == milliseconds(100));
  }
  SUBCASE("no agent replies in time") {
    rig.Ask();
    rig.Pass(seconds(2));
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kBackendDown);

    SUBCASE("and an offer that comes late is given back") {
      rig.Offer("d1");
      CHECK(rig.Sent<grant_release>("d1").size() == 1);
    }
  }
  SUBCASE("one agent replies: it is not kept waiting for the other") {
    rig.Ask();
    rig.Offer("d1");
    rig.Pass(milliseconds(20));
    CHECK(rig.Count<log_entry_decision>() == 1);
  }
  SUBCASE("no agent is up") {
    rig.Down("d1");
    rig.Down("d2");
    rig.Ask();
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kBackendDown);
  }
  SUBCASE("the entry is full") {
    entry_policy policy = entry_rig::Policy();
    policy.max_requests = 1;
    rig.Handle(entry_policy_changed{policy});
    rig.Ask();
    rig.id.counter = 2;
    rig.Ask();
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kQueueFull);
    CHECK(rig.core.in_progress() == 1);
  }
  CHECK(rig.Finals() <= 1);
}

TEST_CASE("a prefill that was withdrawn in the queue") {
  entry_rig rig;
  rig.Ask();
  rig.Place();
  SUBCASE("since its deadline passed: not run, and no retry") {
    rig.Pass(milliseconds(430));
    rig.Fail("p1", run_state::kNotRun);
    REQUIRE(rig.Count<deliver_not_run>() == 1);
    CHECK(rig.Delivered<deliver_not_run>()[0].reason == refusal_reason::kDeadlineMissed);
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
  }
  SUBCASE("since its engine is down: tried elsewhere") {
    rig.Fail("p1", run_state::kNotRun);
    CHECK(rig.Sent<grant_request>("d1").size() == 1);
  }
}

TEST_CASE("a failed prefill is repeated as a new attempt") {
  entry_rig rig;
  rig.Ask();
  rig.Place();
  rig.Fail("p1", run_state::kUnknown);
  CHECK(rig.Sent<cancel_order>("p1").size() == 1);
  CHECK(rig.Sent<grant_release>("d1").size() == 1);
  REQUIRE(rig.Sent<grant_request>("d1").size() == 1);
  CHECK(rig.Sent<grant_request>("d1")[0].attempt == 2);

  SUBCASE("and the old attempt's result falls away") {
    rig.Prefilled("p1");
    CHECK(rig.StartsTo("d1") == 0);
    rig.Place(2);
    rig.Prefilled("p1", 2);
    CHECK(rig.StartsTo("d1") == 1);
  }
  SUBCASE("until its attempts are used up") {
    rig.Place(2);
    rig.Fail("p1", run_state::kUnknown, 2);
    rig.Pass(seconds(1));
    rig.Place(3);
    rig.Fail("p1", run_state::kUnknown, 3);
    CHECK(rig.Count<deliver_failed>() == 1);
    CHECK(rig.Finals() == 1);
  }
}

TEST_CASE("a decode that fails before its first piece") {
  entry_rig rig;
  rig.Decode();
  SUBCASE("takes another seat with the same KV cache while that lives") {
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
  SUBCASE("prefills again when the KV cache has expired") {
    rig.Pass(seconds(1));
    rig.Fail("d1", run_state::kNotRun);
    rig.Place(2);
    CHECK(rig.StartsTo("p1") + rig.StartsTo("p2") == 2);
  }
}

TEST_CASE("a decode agent is lost in the middle of the answer") {
  entry_rig rig;
  rig.Decode();
  rig.Receive("d1", rig.About<started>());
  rig.Piece("d1", 0, "a");
  rig.Piece("d1", 1, "b");
  rig.Down("d1");
  CHECK(rig.core.uses("d1"));
  CHECK_FALSE(rig.core.uses("d2"));

  SUBCASE("it comes back within the lease: the stream goes on where it was") {
    rig.Pass(seconds(2));
    rig.Up("d1");
    REQUIRE(rig.Sent<resume>("d1").size() == 1);
    CHECK(rig.Sent<resume>("d1")[0].next_offset == 2);
    rig.Piece("d1", 1, "b");
    rig.Piece("d1", 2, "c");
    rig.End("d1", 3);
    CHECK(rig.Text() == "abc");
    CHECK(rig.Count<deliver_end>() == 1);
  }
  SUBCASE("it was restarted: a new attempt sends only what is missing") {
    rig.Up("d1", entry_rig::kAgent + 1);
    rig.Offer("d2", {}, 2);
    rig.Pass(milliseconds(20));
    rig.Offer("p1", {}, 2);
    rig.Offer("p2", {}, 2);
    rig.Prefilled("p1", 2);
    rig.Prefilled("p2", 2);
    REQUIRE(rig.StartsTo("d2") == 1);
    rig.Piece("d1", 2, "old");
    rig.Piece("d2", 2, "c", 2);
    rig.End("d2", 3, 2);
    CHECK(rig.Text() == "abc");
    CHECK(rig.Finals() == 1);
    CHECK(rig.core.idle());
  }
  SUBCASE("it stays away: a new attempt begins when the lease has passed") {
    rig.Pass(seconds(5));
    CHECK(rig.core.in_progress() == 1);
    const auto logged = rig.Delivered<log_entry_decision>();
    CHECK(logged.back().made.event == "retry");
    SUBCASE("and the old attempt's cancel is sent when it comes back after all") {
      rig.Up("d1");
      CHECK(rig.Sent<cancel_order>("d1").size() == 1);
      CHECK_FALSE(rig.core.idle());
    }
  }
}

TEST_CASE("the caller goes") {
  entry_rig rig;
  SUBCASE("while offers are open: they are given back") {
    rig.Ask();
    rig.Offer("d1");
    rig.Handle(caller_gone{rig.id});
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    rig.Offer("d2");
    CHECK(rig.Sent<grant_release>("d2").size() == 1);
    CHECK(rig.core.idle());
  }
  SUBCASE("while the prefill runs: it is cancelled and the seat given back") {
    rig.Ask();
    rig.Place();
    rig.Handle(caller_gone{rig.id});
    CHECK(rig.Sent<cancel_order>("p1").size() == 1);
    CHECK(rig.Sent<grant_release>("d1").size() == 1);
    CHECK(rig.core.in_progress() == 0);

    SUBCASE("the cancel is repeated until it is confirmed") {
      CHECK_FALSE(rig.core.idle());
      rig.Pass(seconds(5));
      rig.Down("p1");
      rig.Up("p1");
      CHECK(rig.Sent<cancel_order>("p1").size() == 1);
      rig.Receive("p1", rig.About<cancelled>());
      CHECK(rig.core.idle());
    }
    SUBCASE("or its agent's incarnation is gone") {
      rig.Up("p1", entry_rig::kAgent + 1);
      CHECK(rig.core.idle());
    }
  }
  SUBCASE("in the middle of the answer") {
    rig.Decode();
    rig.Piece("d1", 0, "a");
    rig.Handle(caller_gone{rig.id});
    CHECK(rig.Sent<cancel_order>("d1").size() == 1);
    rig.Piece("d1", 1, "b");
    CHECK(rig.Text() == "a");
  }
  CHECK(rig.Finals() == 0);
}

TEST_CASE("messages that make no sense change nothing") {
  entry_rig rig;
  rig.Decode();
  const std::size_t before = rig.all.size();
  rig.Receive("p1", rig.About<prefill_done>());
  rig.Receive("d1", rig.About<call_answer>());
  rig.Receive("d2", rig.About<piece>());
  rig.Receive("d1", rig.About<piece>(9));
  rig.Receive("d1", start_order{});
  rig.Receive("unknown", rig.About<piece>());
  rig.Receive("d1", rig.About<piece>(), entry_rig::kAgent + 1);
  auto offer = rig.About<grant_offer>();
  offer.lifetime = microseconds::max();
  offer.start_in = microseconds::min();
  rig.Receive("d1", offer);
  CHECK(rig.all.size() == before);
  SUBCASE("and a prefill without a KV cache is a failure") {
    rig.id.counter = 2;
    rig.Ask();
    rig.Place();
    rig.Receive("p1", rig.About<prefill_done>());
    CHECK(rig.Sent<grant_request>("d1")[0].attempt == 2);
  }
}

TEST_CASE("the baselines run") {
  SUBCASE("round robin asks one member in turn") {
    entry_rig rig(entry_rig::Policy(round_robin_policy{}));
    rig.Ask();
    CHECK(rig.Sent<grant_request>("d1").size() == 1);
    CHECK(rig.Sent<grant_request>("d2").empty());
    rig.id.counter = 2;
    rig.Ask();
    CHECK(rig.Sent<grant_request>("d2").size() == 1);
  }
  SUBCASE("least load asks the member with the least load") {
    entry_rig rig(entry_rig::Policy(least_load_policy{}));
    heartbeat busy;
    busy.load = std::make_shared<agent_load>();
    busy.load->queue_wait = seconds(1);
    rig.Receive("d1", busy);
    rig.Ask();
    CHECK(rig.Sent<grant_request>("d1").empty());
    CHECK(rig.Sent<grant_request>("d2").size() == 1);
  }
  SUBCASE("the entry's queue takes no place in an agent's queue") {
    entry_rig rig(entry_rig::Policy(entry_queue_policy{}));
    rig.Ask();
    rig.Offer("d1");
    rig.Offer("d2");
    const std::string busy = rig.CountSent<grant_request>("p1") == 1 ? "p1" : "p2";
    rig.Offer(busy, milliseconds(100));
    CHECK(rig.Sent<grant_release>(busy).size() == 1);
    CHECK(rig.core.in_progress() == 1);
    rig.Pass(milliseconds(20));
    CHECK(rig.CountSent<grant_request>("d1") + rig.CountSent<grant_request>("d2") == 2);
    rig.Pass(seconds(2));
    CHECK(rig.Count<deliver_not_run>() == 1);
  }
  SUBCASE("prefill first looks for a seat when the KV cache is there") {
    entry_rig rig(entry_rig::Policy(prefill_first_policy{}));
    rig.Ask();
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

TEST_CASE("a leaving agent is not asked") {
  entry_rig rig;
  heartbeat leaving;
  leaving.load = std::make_shared<agent_load>();
  leaving.load->leaving = true;
  rig.Receive("d1", leaving);
  rig.Ask();
  CHECK(rig.Sent<grant_request>("d1").empty());
  CHECK(rig.Sent<grant_request>("d2").size() == 1);
}

TEST_CASE("equal prompt heads go to the same prefill agent while it is not overloaded") {
  entry_policy policy = entry_rig::Policy(seat_first_policy{.candidates = 1});
  entry_rig rig(policy);
  const auto asked_for = [&rig](std::uint64_t counter) {
    caller_request asked;
    asked.id = {.incarnation = entry_rig::kEntry, .counter = counter};
    asked.prefill_pool = "p";
    asked.pool = "d";
    asked.prompt_tokens = 1;
    asked.prefix_hashes = {42};
    rig.id = asked.id;
    const std::size_t before = rig.CountSent<grant_request>("p1");
    rig.Handle(asked);
    rig.Offer("d1");
    rig.Offer("d2");
    return std::string(rig.CountSent<grant_request>("p1") > before ? "p1" : "p2");
  };
  const std::string home = asked_for(1);
  CHECK(asked_for(2) == home);
  CHECK(asked_for(3) == home);
  heartbeat busy;
  busy.load = std::make_shared<agent_load>();
  busy.load->queue_wait = seconds(1);
  rig.Receive(home, busy);
  CHECK(asked_for(4) != home);
}

}  // namespace
}  // namespace jacinthspool
