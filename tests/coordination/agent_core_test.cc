#include "jacinthspool/impl/agent_core.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

constexpr incarnation_id kEntry = 11;
constexpr incarnation_id kAgent = 5;

/// An agent with one connected entry, and the effects of the last event.
struct agent_story {
  explicit agent_story(agent_policy policy)
      : core({.incarnation = kAgent,
              .backend = "d1",
              .policy = std::move(policy),
              .started = instant{},
              .started_wall = {}}) {
    Do(entry_up{.entry = kEntry, .name = "e1"});
  }

  void Do(agent_event event) { effects = core.Handle(now, std::move(event)); }
  void Say(message body) { Do(entry_message{.entry = kEntry, .body = std::move(body)}); }
  void Wait(microseconds time) {
    now += time;
    Do(time_passed{});
  }

  template <typename Effect>
  [[nodiscard]] std::vector<Effect> All() const {
    std::vector<Effect> found;
    for (const agent_effect& effect : effects) {
      if (const auto* match = std::get_if<Effect>(&effect)) {
        found.push_back(*match);
      }
    }
    return found;
  }
  template <typename Body>
  [[nodiscard]] std::vector<Body> Sent() const {
    std::vector<Body> found;
    for (const auto& sent : All<send_to_entry>()) {
      if (const auto* match = std::get_if<Body>(&sent.body)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  instant now{seconds(5000)};
  agent_core core;
  agent_effects effects;
};

agent_policy Policy(work_kind kind) {
  agent_policy policy;
  policy.kind = kind;
  policy.pieces = 4;
  policy.shares = {{.team = "turnevo"}, {.team = "lumanara"}};
  return policy;
}

template <typename Body>
Body For(const attempt_id& id) {
  Body body;
  body.request = id.request;
  body.attempt = id.attempt;
  return body;
}

attempt_id Attempt(std::uint64_t counter, attempt_number number = 1) {
  return {.request = {.incarnation = kEntry, .counter = counter}, .attempt = number};
}

grant_request Ask(work_kind kind, std::uint64_t counter) {
  auto request = For<grant_request>(Attempt(counter));
  request.kind = kind;
  request.team = "turnevo";
  request.pieces = 2;
  request.prompt_tokens = 2000;
  request.output_tokens = 10;
  request.deadline_in = milliseconds(430);
  return request;
}

start_order Start(work_kind kind, const grant_offer& offer) {
  auto order = For<start_order>({.request = offer.request, .attempt = offer.attempt});
  order.grant = offer.grant;
  order.engine_request = "{}";
  if (kind == work_kind::kDecode) {
    order.kv = std::make_shared<kv_handle>();
    order.kv->params = "{}";
    order.kv->expires_in = milliseconds(800);
  }
  if (kind == work_kind::kCall) {
    order.call = std::make_shared<call_request>();
    order.call->method = "POST";
  }
  return order;
}

/// Grants and starts an attempt.
void Begin(agent_story& story, work_kind kind, std::uint64_t counter) {
  story.Say(Ask(kind, counter));
  REQUIRE(story.Sent<grant_offer>().size() == 1);
  story.Say(Start(kind, story.Sent<grant_offer>()[0]));
  REQUIRE(story.Sent<started>().size() == 1);
}

TEST_CASE("a decode agent serves one attempt from grant to acknowledgement") {
  agent_story story(Policy(work_kind::kDecode));
  story.Say(Ask(work_kind::kDecode, 1));
  REQUIRE(story.Sent<grant_offer>().size() == 1);
  const grant_offer offer = story.Sent<grant_offer>()[0];
  CHECK(offer.start_in == microseconds::zero());
  CHECK(story.core.load(story.now).pieces_granted == 2);

  SUBCASE("the same request gets the same grant") {
    story.Say(Ask(work_kind::kDecode, 1));
    CHECK(story.Sent<grant_offer>().at(0).grant == offer.grant);
    CHECK(story.core.load(story.now).pieces_granted == 2);
  }
  SUBCASE("an expired grant starts nothing, ever") {
    story.now += seconds(3);
    story.Say(Start(work_kind::kDecode, offer));
    REQUIRE(story.Sent<refused>().size() == 1);
    CHECK(story.Sent<refused>()[0].reason == refusal_reason::kStaleGrant);
    CHECK(story.All<order_decode>().empty());
    CHECK(story.core.load(story.now).pieces_granted == 0);
  }
  SUBCASE("a released grant holds nothing") {
    story.Say(For<grant_release>(Attempt(1)));
    CHECK(story.core.idle());
  }
  SUBCASE("a start without its KV cache is refused") {
    start_order order = Start(work_kind::kDecode, offer);
    order.kv = nullptr;
    story.Say(order);
    CHECK(story.Sent<refused>().size() == 1);
    CHECK(story.core.idle());
  }
  SUBCASE("sealed before its start, it did not run and never will") {
    story.Say(For<seal>(Attempt(1)));
    CHECK(story.Sent<sealed>().at(0).state == run_state::kNotRun);
    story.Say(Start(work_kind::kDecode, offer));
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kSealed);
    story.Say(Ask(work_kind::kDecode, 1));
    CHECK(story.Sent<grant_offer>().empty());
  }
  SUBCASE("it starts") {
    story.Say(Start(work_kind::kDecode, offer));
    CHECK(story.Sent<started>().size() == 1);
    REQUIRE(story.All<order_decode>().size() == 1);
    CHECK(story.core.load(story.now).pieces_held == 2);

    SUBCASE("a repeated start gives no second run") {
      story.Say(Start(work_kind::kDecode, offer));
      CHECK(story.Sent<started>().size() == 1);
      CHECK(story.All<order_decode>().empty());
    }
    SUBCASE("a seal says that it runs") {
      story.Say(For<seal>(Attempt(1)));
      CHECK(story.Sent<sealed>().at(0).state == run_state::kRunning);
    }
    SUBCASE("its pieces are counted and its end is told") {
      story.Do(engine_piece{.id = Attempt(1), .text = "a"});
      CHECK(story.Sent<piece>().at(0).offset == 0);
      story.Do(engine_piece{.id = Attempt(1), .text = "b"});
      CHECK(story.Sent<piece>().at(0).offset == 1);
      story.Do(engine_finished{.id = Attempt(1), .finish_reason = "stop"});
      CHECK(story.Sent<answer_end>().at(0).end_offset == 2);
      CHECK(story.core.load(story.now).pieces_held == 0);
      CHECK(story.core.unacknowledged() == 1);

      SUBCASE("late pieces of the engine fall away") {
        story.Do(engine_piece{.id = Attempt(1), .text = "c"});
        CHECK(story.effects.empty());
      }
      SUBCASE("a new connection gets the rest again") {
        story.Do(entry_down{.entry = kEntry});
        story.Do(entry_up{.entry = kEntry, .name = "e1"});
        auto request = For<resume>(Attempt(1));
        request.next_offset = 1;
        story.Say(request);
        CHECK(story.Sent<started>().size() == 1);
        REQUIRE(story.Sent<piece>().size() == 1);
        CHECK(story.Sent<piece>()[0].text == "b");
        CHECK(story.Sent<answer_end>().size() == 1);
      }
      SUBCASE("the whole acknowledged, the answer is forgotten but not the run") {
        auto ack = For<answer_ack>(Attempt(1));
        ack.next_offset = 2;
        ack.whole = true;
        story.Say(ack);
        CHECK(story.core.unacknowledged() == 0);
        story.Say(For<seal>(Attempt(1)));
        CHECK(story.Sent<sealed>().at(0).state == run_state::kFinished);
        story.Say(Start(work_kind::kDecode, offer));
        CHECK(story.Sent<refused>().empty());
        CHECK(story.Sent<answer_failed>().at(0).ran == run_state::kFinished);
      }
      SUBCASE("an answer that nobody takes is kept for its time only") {
        for (int second = 0; second < 10; ++second) {
          story.now += seconds(1);
          story.Say(heartbeat{});
        }
        CHECK(story.core.unacknowledged() == 0);
      }
    }
    SUBCASE("a cancel is confirmed when the engine holds nothing") {
      story.Say(For<cancel_order>(Attempt(1)));
      CHECK(story.All<order_release>().size() == 1);
      CHECK(story.Sent<cancelled>().empty());
      CHECK(story.core.load(story.now).pieces_held == 2);
      SUBCASE("the order is repeated until then") {
        story.Wait(milliseconds(200));
        CHECK(story.All<order_release>().size() == 1);
        story.Do(engine_released{.id = Attempt(1)});
        CHECK(story.Sent<cancelled>().size() == 1);
        CHECK(story.core.idle());
      }
      SUBCASE("pieces that come meanwhile are not passed on") {
        story.Do(engine_piece{.id = Attempt(1), .text = "a"});
        CHECK(story.Sent<piece>().empty());
      }
    }
    SUBCASE("a failure is told at once, and the memory is held until released") {
      story.Do(engine_failed{.id = Attempt(1), .ran = run_state::kRunning, .detail = "cut"});
      CHECK(story.Sent<answer_failed>().at(0).ran == run_state::kRunning);
      CHECK(story.All<order_release>().size() == 1);
      CHECK(story.core.load(story.now).pieces_held == 2);
      story.Do(engine_released{.id = Attempt(1)});
      CHECK(story.core.load(story.now).pieces_held == 0);
      CHECK(story.Sent<cancelled>().empty());
    }
    SUBCASE("an entry that is silent for its lease loses its work") {
      story.Do(entry_down{.entry = kEntry});
      story.Wait(seconds(4));
      CHECK(story.All<order_release>().size() == 1);
      story.Do(engine_released{.id = Attempt(1)});
      CHECK(story.core.idle());
    }
    SUBCASE("after a jump of the clock expiry comes before the message") {
      story.now += seconds(60);
      story.Say(Ask(work_kind::kDecode, 2));
      REQUIRE(story.effects.size() > 1);
      CHECK(story.All<order_release>().size() == 1);
      CHECK(story.Sent<grant_offer>().size() == 1);
    }
  }
}

TEST_CASE("a decode agent promises memory that will be free") {
  agent_story story(Policy(work_kind::kDecode));
  Begin(story, work_kind::kDecode, 1);
  Begin(story, work_kind::kDecode, 2);
  CHECK(story.core.load(story.now).pieces_held == 4);

  SUBCASE("the quote tells when") {
    story.Say(Ask(work_kind::kDecode, 3));
    REQUIRE(story.Sent<grant_offer>().size() == 1);
    const grant_offer offer = story.Sent<grant_offer>()[0];
    CHECK(offer.start_in == milliseconds(250));

    SUBCASE("an early start waits for its room") {
      story.Say(Start(work_kind::kDecode, offer));
      CHECK(story.Sent<started>().size() == 1);
      CHECK(story.All<order_decode>().empty());
      story.Do(engine_finished{.id = Attempt(1)});
      CHECK(story.All<order_decode>().size() == 1);
    }
    SUBCASE("a KV cache that dies waiting is told as not run") {
      story.Say(Start(work_kind::kDecode, offer));
      story.Wait(milliseconds(800));
      REQUIRE(story.Sent<answer_failed>().size() == 1);
      CHECK(story.Sent<answer_failed>()[0].ran == run_state::kNotRun);
      story.Say(For<seal>(Attempt(3)));
      CHECK(story.Sent<sealed>().at(0).state == run_state::kNotRun);
    }
    SUBCASE("a seat that comes earlier is told") {
      story.Do(engine_finished{.id = Attempt(1)});
      REQUIRE(story.Sent<seat_update>().size() == 1);
      CHECK(story.Sent<seat_update>()[0].seat_in == microseconds::zero());
    }
  }
  SUBCASE("who cannot wait that long is refused at once, with when to come back") {
    grant_request hasty = Ask(work_kind::kDecode, 3);
    hasty.deadline_in = milliseconds(100);
    story.Say(hasty);
    REQUIRE(story.Sent<refused>().size() == 1);
    CHECK(story.Sent<refused>()[0].reason == refusal_reason::kNoRoom);
    CHECK(story.Sent<refused>()[0].retry_after == milliseconds(175));
    SUBCASE("but a patient one is granted") {
      grant_request patient = Ask(work_kind::kDecode, 4);
      patient.deadline_in = milliseconds(100);
      patient.patient = true;
      story.Say(patient);
      CHECK(story.Sent<grant_offer>().size() == 1);
    }
  }
  SUBCASE("the seats that wait are bounded, and no team takes another's part of them") {
    agent_policy narrow = Policy(work_kind::kDecode);
    narrow.max_queued = 2;
    story.Do(policy_changed{.policy = narrow});
    story.Say(Ask(work_kind::kDecode, 3));
    CHECK(story.Sent<grant_offer>().size() == 1);
    story.Say(Ask(work_kind::kDecode, 4));
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kTeamShare);
    grant_request other = Ask(work_kind::kDecode, 5);
    other.team = "lumanara";
    story.Say(other);
    CHECK(story.Sent<grant_offer>().size() == 1);
    other.request.counter = 6;
    story.Say(other);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kQueueFull);
  }
  SUBCASE("what is larger than the memory is refused") {
    grant_request large = Ask(work_kind::kDecode, 3);
    large.pieces = 5;
    story.Say(large);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kTooLarge);
  }
}

TEST_CASE("an agent turns down what it must not take") {
  agent_story story(Policy(work_kind::kDecode));
  grant_request request = Ask(work_kind::kDecode, 1);
  SUBCASE("a team that may not use the pool") {
    request.team = "other";
    story.Say(request);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kNotAllowed);
  }
  SUBCASE("another kind of work") {
    request.kind = work_kind::kPrefill;
    story.Say(request);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kNotAllowed);
  }
  SUBCASE("anything while the backend server is down") {
    story.Do(backend_report{.up = false});
    story.Say(request);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kBackendDown);
  }
  SUBCASE("new work while leaving, but not what it has promised") {
    story.Say(request);
    const grant_offer offer = story.Sent<grant_offer>().at(0);
    story.Do(leaving_changed{.leaving = true});
    CHECK(story.core.load(story.now).leaving);
    story.Say(Ask(work_kind::kDecode, 2));
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kLeaving);
    story.Say(Start(work_kind::kDecode, offer));
    CHECK(story.All<order_decode>().size() == 1);
    CHECK_FALSE(story.core.idle());
  }
  SUBCASE("messages about nothing it knows") {
    story.Say(For<start_order>(Attempt(9)));
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kStaleGrant);
    story.Say(For<cancel_order>(Attempt(8)));
    CHECK(story.Sent<cancelled>().size() == 1);
    story.Say(For<resume>(Attempt(7)));
    CHECK(story.Sent<answer_failed>().at(0).ran == run_state::kUnknown);
    story.Say(For<answer_ack>(Attempt(6)));
    story.Say(For<seat_update>(Attempt(6)));
    story.Say(For<grant_release>(Attempt(6)));
    story.Do(engine_released{.id = Attempt(6)});
    story.Do(engine_prefilled{.id = Attempt(6)});
    CHECK(story.core.idle());
  }
}

TEST_CASE("a prefill agent keeps the order of its engine") {
  agent_story story(Policy(work_kind::kPrefill));
  SUBCASE("its KV cache goes to the entry with what is left of its life") {
    Begin(story, work_kind::kPrefill, 1);
    REQUIRE(story.All<order_prefill>().size() == 1);
    kv_handle kv;
    kv.expires_in = milliseconds(700);
    story.Do(engine_prefilled{.id = Attempt(1), .kv = kv, .prompt_tokens = 2000});
    CHECK(story.Sent<prefill_done>().at(0).kv->expires_in == milliseconds(700));
    SUBCASE("also when it is asked for again") {
      story.Wait(milliseconds(300));
      story.Say(For<resume>(Attempt(1)));
      CHECK(story.Sent<prefill_done>().at(0).kv->expires_in == milliseconds(400));
    }
    SUBCASE("the engine's memory is held until the KV cache was read") {
      CHECK(story.core.load(story.now).pieces_held == 2);
      auto ack = For<answer_ack>(Attempt(1));
      ack.whole = true;
      story.Say(ack);
      CHECK(story.core.load(story.now).pieces_held == 0);
    }
    SUBCASE("or until its life is over") {
      story.Wait(milliseconds(700));
      CHECK(story.core.load(story.now).pieces_held == 0);
      CHECK(story.core.unacknowledged() == 1);
    }
    SUBCASE("a caller that leaves now frees it") {
      story.Say(For<cancel_order>(Attempt(1)));
      CHECK(story.All<order_release>().size() == 1);
      story.Do(engine_released{.id = Attempt(1)});
      CHECK(story.Sent<cancelled>().size() == 1);
    }
  }
  SUBCASE("the next quote counts what is ahead") {
    Begin(story, work_kind::kPrefill, 1);
    story.Say(Ask(work_kind::kPrefill, 2));
    CHECK(story.Sent<grant_offer>().at(0).start_in == milliseconds(100));
    CHECK(story.Sent<grant_offer>().at(0).run_for == milliseconds(100));
  }
  SUBCASE("a prompt that the engine has seen is quoted as cached") {
    grant_request first = Ask(work_kind::kPrefill, 1);
    first.prefix_hashes = {1, 2, 3};
    story.Say(first);
    story.Say(Start(work_kind::kPrefill, story.Sent<grant_offer>().at(0)));
    story.Do(engine_prefilled{.id = Attempt(1)});
    grant_request second = Ask(work_kind::kPrefill, 2);
    second.prefix_hashes = {1, 2, 9};
    story.Say(second);
    CHECK(story.Sent<grant_offer>().at(0).cached_tokens == 512);
  }
  SUBCASE("a job whose seat is far away waits, so that its KV cache does not die") {
    story.Say(Ask(work_kind::kPrefill, 1));
    start_order order = Start(work_kind::kPrefill, story.Sent<grant_offer>().at(0));
    order.seat_in = seconds(2);
    order.deadline_in = seconds(10);
    story.Say(order);
    CHECK(story.All<order_prefill>().empty());
    SUBCASE("until its time comes") {
      const std::optional<instant> wakeup = story.core.next_wakeup();
      REQUIRE(wakeup.has_value());
      story.Wait(*wakeup - story.now);
      CHECK(story.All<order_prefill>().size() == 1);
    }
    SUBCASE("or its seat comes nearer") {
      auto update = For<seat_update>(Attempt(1));
      update.seat_in = milliseconds(100);
      story.Say(update);
      CHECK(story.All<order_prefill>().size() == 1);
    }
  }
  SUBCASE("what is past its deadline in the queue is given back unrun") {
    Begin(story, work_kind::kPrefill, 1);
    story.Say(Ask(work_kind::kPrefill, 2));
    story.Say(Start(work_kind::kPrefill, story.Sent<grant_offer>().at(0)));
    CHECK(story.All<order_prefill>().empty());
    story.Wait(milliseconds(50));
    CHECK(story.All<order_prefill>().empty());
    story.Do(backend_report{.up = false});
    CHECK(story.Sent<answer_failed>().at(0).ran == run_state::kNotRun);
  }
}

TEST_CASE("an agent of a plain service runs a keyed call once") {
  agent_story story(Policy(work_kind::kCall));
  grant_request booking = Ask(work_kind::kCall, 1);
  booking.repeatable = false;
  booking.idempotency_key = "hall-3";
  story.Say(booking);
  story.Say(Start(work_kind::kCall, story.Sent<grant_offer>().at(0)));
  REQUIRE(story.All<order_call>().size() == 1);
  const auto headers = story.All<order_call>()[0].call.headers;
  REQUIRE(headers.size() == 1);
  CHECK(headers[0]->name == "Idempotency-Key");
  CHECK(headers[0]->value == "hall-3");

  SUBCASE("its answer comes back whole") {
    story.Do(service_answered{
        .id = Attempt(1), .status = 201, .headers = {header_field{}}, .body = {1, 2}});
    CHECK(story.Sent<call_answer>().at(0).status == 201);
    CHECK(story.core.idle());
  }
  SUBCASE("the key does not start again through another request") {
    booking.request.counter = 2;
    story.Say(booking);
    CHECK(story.Sent<refused>().at(0).reason == refusal_reason::kDuplicate);
  }
  SUBCASE("unless the service proved that it did not run") {
    story.Do(engine_failed{.id = Attempt(1), .ran = run_state::kNotRun, .detail = "refused"});
    story.Do(engine_released{.id = Attempt(1)});
    booking.request.counter = 2;
    story.Say(booking);
    CHECK(story.Sent<grant_offer>().size() == 1);
  }
  SUBCASE("a cancelled call may have run") {
    story.Say(For<cancel_order>(Attempt(1)));
    story.Do(engine_released{.id = Attempt(1)});
    story.Say(For<seal>(Attempt(1)));
    CHECK(story.Sent<sealed>().at(0).state == run_state::kUnknown);
  }
}

TEST_CASE("an incarnation refuses keys that an earlier one may have run") {
  agent_policy policy = Policy(work_kind::kCall);
  agent_core core({.incarnation = kAgent, .backend = "s1", .policy = policy});
  const instant now{seconds(50)};
  grant_request booking = Ask(work_kind::kCall, 1);
  booking.repeatable = false;
  booking.idempotency_key = "hall-3";
  const agent_effects effects = core.Handle(now, entry_message{.entry = kEntry, .body = booking});
  const auto& sent = std::get<send_to_entry>(effects.at(0));
  CHECK(std::get<refused>(sent.body).reason == refusal_reason::kKeyMayHaveRun);
  CHECK(std::get<refused>(sent.body).retry_after == seconds(600));
}

}  // namespace
}  // namespace jacinthspool
