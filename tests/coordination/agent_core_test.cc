#include "jacinthspool/impl/agent_core.h"

#include <doctest/doctest.h>

namespace jacinthspool {
namespace {

constexpr incarnation_id kEntry = 11;
constexpr incarnation_id kAgent = 5;

/// Test fixture: an agent with one connected entry, and the effects of the last event.
struct agent_fixture {
  explicit agent_fixture(agent_policy policy)
      : core({.incarnation = kAgent,
              .backend = "d1",
              .policy = std::move(policy),
              .started = instant{},
              .started_wall = {}}) {
    Handle(entry_up{.entry = kEntry, .name = "e1"});
  }

  void Handle(agent_event event) { effects = core.Handle(now, std::move(event)); }
  void Receive(message body) { Handle(entry_message{.entry = kEntry, .body = std::move(body)}); }
  void AdvanceTime(microseconds time) {
    now += time;
    Handle(time_passed{});
  }

  template <typename Effect>
  [[nodiscard]] std::vector<Effect> Effects() const {
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
    for (const auto& sent : Effects<send_to_entry>()) {
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
Body MakeMessage(const attempt_id& id) {
  Body body;
  body.request = id.request;
  body.attempt = id.attempt;
  return body;
}

attempt_id Attempt(std::uint64_t counter, attempt_number number = 1) {
  return {.request = {.incarnation = kEntry, .counter = counter}, .attempt = number};
}

grant_request MakeGrantRequest(work_kind kind, std::uint64_t counter) {
  auto request = MakeMessage<grant_request>(Attempt(counter));
  request.kind = kind;
  request.team = "turnevo";
  request.pieces = 2;
  request.prompt_tokens = 2000;
  request.output_tokens = 10;
  request.deadline_in = milliseconds(430);
  return request;
}

start_order MakeStartOrder(work_kind kind, const grant_offer& offer) {
  auto order = MakeMessage<start_order>({.request = offer.request, .attempt = offer.attempt});
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
void GrantAndStart(agent_fixture& agent, work_kind kind, std::uint64_t counter) {
  agent.Receive(MakeGrantRequest(kind, counter));
  REQUIRE(agent.Sent<grant_offer>().size() == 1);
  agent.Receive(MakeStartOrder(kind, agent.Sent<grant_offer>()[0]));
  REQUIRE(agent.Sent<started>().size() == 1);
}

TEST_CASE("a decode agent processes an attempt from grant to acknowledgement") {
  agent_fixture agent(Policy(work_kind::kDecode));
  agent.Receive(MakeGrantRequest(work_kind::kDecode, 1));
  REQUIRE(agent.Sent<grant_offer>().size() == 1);
  const grant_offer offer = agent.Sent<grant_offer>()[0];
  CHECK(offer.start_in == microseconds::zero());
  CHECK(agent.core.load(agent.now).pieces_granted == 2);

  SUBCASE("a repeated grant request returns the same grant") {
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 1));
    CHECK(agent.Sent<grant_offer>().at(0).grant == offer.grant);
    CHECK(agent.core.load(agent.now).pieces_granted == 2);
  }
  SUBCASE("an expired grant cannot start the attempt") {
    agent.now += seconds(3);
    agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
    REQUIRE(agent.Sent<refused>().size() == 1);
    CHECK(agent.Sent<refused>()[0].reason == refusal_reason::kStaleGrant);
    CHECK(agent.Effects<order_decode>().empty());
    CHECK(agent.core.load(agent.now).pieces_granted == 0);
  }
  SUBCASE("releasing the grant frees its reservation") {
    agent.Receive(MakeMessage<grant_release>(Attempt(1)));
    CHECK(agent.core.idle());
  }
  SUBCASE("a start order without a KV handle is rejected") {
    start_order order = MakeStartOrder(work_kind::kDecode, offer);
    order.kv = nullptr;
    agent.Receive(order);
    CHECK(agent.Sent<refused>().size() == 1);
    CHECK(agent.core.idle());
  }
  SUBCASE("sealing before the start reports \"not run\" and prevents a later start") {
    agent.Receive(MakeMessage<seal>(Attempt(1)));
    CHECK(agent.Sent<sealed>().at(0).state == run_state::kNotRun);
    agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kSealed);
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 1));
    CHECK(agent.Sent<grant_offer>().empty());
  }
  SUBCASE("a start order with a valid grant starts the attempt") {
    agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
    CHECK(agent.Sent<started>().size() == 1);
    REQUIRE(agent.Effects<order_decode>().size() == 1);
    CHECK(agent.core.load(agent.now).pieces_held == 2);

    SUBCASE("a repeated start order does not run the attempt twice") {
      agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
      CHECK(agent.Sent<started>().size() == 1);
      CHECK(agent.Effects<order_decode>().empty());
    }
    SUBCASE("sealing a running attempt reports \"running\"") {
      agent.Receive(MakeMessage<seal>(Attempt(1)));
      CHECK(agent.Sent<sealed>().at(0).state == run_state::kRunning);
    }
    SUBCASE("pieces are numbered and the end carries their count") {
      agent.Handle(engine_piece{.id = Attempt(1), .text = "a"});
      CHECK(agent.Sent<piece>().at(0).offset == 0);
      agent.Handle(engine_piece{.id = Attempt(1), .text = "b"});
      CHECK(agent.Sent<piece>().at(0).offset == 1);
      agent.Handle(engine_finished{.id = Attempt(1), .finish_reason = "stop"});
      CHECK(agent.Sent<answer_end>().at(0).end_offset == 2);
      CHECK(agent.core.load(agent.now).pieces_held == 0);
      CHECK(agent.core.unacknowledged() == 1);

      SUBCASE("pieces after the end are ignored") {
        agent.Handle(engine_piece{.id = Attempt(1), .text = "c"});
        CHECK(agent.effects.empty());
      }
      SUBCASE("after a reconnect the unacknowledged pieces are sent again") {
        agent.Handle(entry_down{.entry = kEntry});
        agent.Handle(entry_up{.entry = kEntry, .name = "e1"});
        auto request = MakeMessage<resume>(Attempt(1));
        request.next_offset = 1;
        agent.Receive(request);
        CHECK(agent.Sent<started>().size() == 1);
        REQUIRE(agent.Sent<piece>().size() == 1);
        CHECK(agent.Sent<piece>()[0].text == "b");
        CHECK(agent.Sent<answer_end>().size() == 1);
      }
      SUBCASE("after acknowledgement the answer is dropped but the run is still recorded") {
        auto ack = MakeMessage<answer_ack>(Attempt(1));
        ack.next_offset = 2;
        ack.whole = true;
        agent.Receive(ack);
        CHECK(agent.core.unacknowledged() == 0);
        agent.Receive(MakeMessage<seal>(Attempt(1)));
        CHECK(agent.Sent<sealed>().at(0).state == run_state::kFinished);
        agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
        CHECK(agent.Sent<refused>().empty());
        CHECK(agent.Sent<answer_failed>().at(0).ran == run_state::kFinished);
      }
      SUBCASE("an unacknowledged answer is dropped after the retention period") {
        for (int second = 0; second < 10; ++second) {
          agent.now += seconds(1);
          agent.Receive(heartbeat{});
        }
        CHECK(agent.core.unacknowledged() == 0);
      }
    }
    SUBCASE("a cancel is confirmed only after the engine has released the attempt") {
      agent.Receive(MakeMessage<cancel_order>(Attempt(1)));
      CHECK(agent.Effects<order_release>().size() == 1);
      CHECK(agent.Sent<cancelled>().empty());
      CHECK(agent.core.load(agent.now).pieces_held == 2);
      SUBCASE("the release order is retried until it is confirmed") {
        agent.AdvanceTime(milliseconds(200));
        CHECK(agent.Effects<order_release>().size() == 1);
        agent.Handle(engine_released{.id = Attempt(1)});
        CHECK(agent.Sent<cancelled>().size() == 1);
        CHECK(agent.core.idle());
      }
      SUBCASE("pieces that arrive after the cancel are not forwarded") {
        agent.Handle(engine_piece{.id = Attempt(1), .text = "a"});
        CHECK(agent.Sent<piece>().empty());
      }
    }
    SUBCASE("a failure is reported immediately and its memory is held until released") {
      agent.Handle(engine_failed{.id = Attempt(1), .ran = run_state::kRunning, .detail = "cut"});
      CHECK(agent.Sent<answer_failed>().at(0).ran == run_state::kRunning);
      CHECK(agent.Effects<order_release>().size() == 1);
      CHECK(agent.core.load(agent.now).pieces_held == 2);
      agent.Handle(engine_released{.id = Attempt(1)});
      CHECK(agent.core.load(agent.now).pieces_held == 0);
      CHECK(agent.Sent<cancelled>().empty());
    }
    SUBCASE("the work of an entry is released when its lease expires") {
      agent.Handle(entry_down{.entry = kEntry});
      agent.AdvanceTime(seconds(4));
      CHECK(agent.Effects<order_release>().size() == 1);
      agent.Handle(engine_released{.id = Attempt(1)});
      CHECK(agent.core.idle());
    }
    SUBCASE("after a clock jump expiry is processed before the message") {
      agent.now += seconds(60);
      agent.Receive(MakeGrantRequest(work_kind::kDecode, 2));
      REQUIRE(agent.effects.size() > 1);
      CHECK(agent.Effects<order_release>().size() == 1);
      CHECK(agent.Sent<grant_offer>().size() == 1);
    }
  }
}

TEST_CASE("a decode agent reserves memory that will become free") {
  agent_fixture agent(Policy(work_kind::kDecode));
  GrantAndStart(agent, work_kind::kDecode, 1);
  GrantAndStart(agent, work_kind::kDecode, 2);
  CHECK(agent.core.load(agent.now).pieces_held == 4);

  SUBCASE("the quote contains the predicted start") {
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 3));
    REQUIRE(agent.Sent<grant_offer>().size() == 1);
    const grant_offer offer = agent.Sent<grant_offer>()[0];
    CHECK(offer.start_in == milliseconds(250));

    SUBCASE("a start order before the memory is free is queued") {
      agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
      CHECK(agent.Sent<started>().size() == 1);
      CHECK(agent.Effects<order_decode>().empty());
      agent.Handle(engine_finished{.id = Attempt(1)});
      CHECK(agent.Effects<order_decode>().size() == 1);
    }
    SUBCASE("a KV cache that expires in the queue is reported as not run") {
      agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
      agent.AdvanceTime(milliseconds(800));
      REQUIRE(agent.Sent<answer_failed>().size() == 1);
      CHECK(agent.Sent<answer_failed>()[0].ran == run_state::kNotRun);
      agent.Receive(MakeMessage<seal>(Attempt(3)));
      CHECK(agent.Sent<sealed>().at(0).state == run_state::kNotRun);
    }
    SUBCASE("an earlier predicted start is sent to the entry") {
      agent.Handle(engine_finished{.id = Attempt(1)});
      REQUIRE(agent.Sent<seat_update>().size() == 1);
      CHECK(agent.Sent<seat_update>()[0].seat_in == microseconds::zero());
    }
  }
  SUBCASE("a request whose deadline is earlier is rejected with Retry-After") {
    grant_request urgent = MakeGrantRequest(work_kind::kDecode, 3);
    urgent.deadline_in = milliseconds(100);
    agent.Receive(urgent);
    REQUIRE(agent.Sent<refused>().size() == 1);
    CHECK(agent.Sent<refused>()[0].reason == refusal_reason::kNoRoom);
    CHECK(agent.Sent<refused>()[0].retry_after == milliseconds(175));
    SUBCASE("a patient request with the same deadline is granted") {
      grant_request patient = MakeGrantRequest(work_kind::kDecode, 4);
      patient.deadline_in = milliseconds(100);
      patient.patient = true;
      agent.Receive(patient);
      CHECK(agent.Sent<grant_offer>().size() == 1);
    }
  }
  SUBCASE("the number of waiting reservations is limited in total and per team") {
    agent_policy limited = Policy(work_kind::kDecode);
    limited.max_queued = 2;
    agent.Handle(policy_changed{.policy = limited});
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 3));
    CHECK(agent.Sent<grant_offer>().size() == 1);
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 4));
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kTeamShare);
    grant_request other = MakeGrantRequest(work_kind::kDecode, 5);
    other.team = "lumanara";
    agent.Receive(other);
    CHECK(agent.Sent<grant_offer>().size() == 1);
    other.request.counter = 6;
    agent.Receive(other);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kQueueFull);
  }
  SUBCASE("a request that exceeds the total memory is rejected") {
    grant_request large = MakeGrantRequest(work_kind::kDecode, 3);
    large.pieces = 5;
    agent.Receive(large);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kTooLarge);
  }
}

TEST_CASE("an agent rejects requests that it cannot accept") {
  agent_fixture agent(Policy(work_kind::kDecode));
  grant_request request = MakeGrantRequest(work_kind::kDecode, 1);
  SUBCASE("a team without access to the pool is rejected") {
    request.team = "other";
    agent.Receive(request);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kNotAllowed);
  }
  SUBCASE("another kind of work is rejected") {
    request.kind = work_kind::kPrefill;
    agent.Receive(request);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kNotAllowed);
  }
  SUBCASE("every request is rejected while the backend server is down") {
    agent.Handle(backend_report{.up = false});
    agent.Receive(request);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kBackendDown);
  }
  SUBCASE("while draining, new requests are rejected and granted ones can start") {
    agent.Receive(request);
    const grant_offer offer = agent.Sent<grant_offer>().at(0);
    agent.Handle(draining_changed{.leaving = true});
    CHECK(agent.core.load(agent.now).leaving);
    agent.Receive(MakeGrantRequest(work_kind::kDecode, 2));
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kLeaving);
    agent.Receive(MakeStartOrder(work_kind::kDecode, offer));
    CHECK(agent.Effects<order_decode>().size() == 1);
    CHECK_FALSE(agent.core.idle());
  }
  SUBCASE("messages about unknown attempts have no effect on the state") {
    agent.Receive(MakeMessage<start_order>(Attempt(9)));
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kStaleGrant);
    agent.Receive(MakeMessage<cancel_order>(Attempt(8)));
    CHECK(agent.Sent<cancelled>().size() == 1);
    agent.Receive(MakeMessage<resume>(Attempt(7)));
    CHECK(agent.Sent<answer_failed>().at(0).ran == run_state::kUnknown);
    agent.Receive(MakeMessage<answer_ack>(Attempt(6)));
    agent.Receive(MakeMessage<seat_update>(Attempt(6)));
    agent.Receive(MakeMessage<grant_release>(Attempt(6)));
    agent.Handle(engine_released{.id = Attempt(6)});
    agent.Handle(engine_prefilled{.id = Attempt(6)});
    CHECK(agent.core.idle());
  }
}

TEST_CASE("a prefill agent schedules the prefills of its engine") {
  agent_fixture agent(Policy(work_kind::kPrefill));
  SUBCASE("the KV handle is sent with its remaining lifetime") {
    GrantAndStart(agent, work_kind::kPrefill, 1);
    REQUIRE(agent.Effects<order_prefill>().size() == 1);
    kv_handle kv;
    kv.expires_in = milliseconds(700);
    agent.Handle(engine_prefilled{.id = Attempt(1), .kv = kv, .prompt_tokens = 2000});
    CHECK(agent.Sent<prefill_done>().at(0).kv->expires_in == milliseconds(700));
    SUBCASE("a resent KV handle has the shorter remaining lifetime") {
      agent.AdvanceTime(milliseconds(300));
      agent.Receive(MakeMessage<resume>(Attempt(1)));
      CHECK(agent.Sent<prefill_done>().at(0).kv->expires_in == milliseconds(400));
    }
    SUBCASE("memory is held until the transfer of the KV cache is acknowledged") {
      CHECK(agent.core.load(agent.now).pieces_held == 2);
      auto ack = MakeMessage<answer_ack>(Attempt(1));
      ack.whole = true;
      agent.Receive(ack);
      CHECK(agent.core.load(agent.now).pieces_held == 0);
    }
    SUBCASE("memory is freed when the KV cache expires") {
      agent.AdvanceTime(milliseconds(700));
      CHECK(agent.core.load(agent.now).pieces_held == 0);
      CHECK(agent.core.unacknowledged() == 1);
    }
    SUBCASE("a cancel after the prefill releases the KV cache") {
      agent.Receive(MakeMessage<cancel_order>(Attempt(1)));
      CHECK(agent.Effects<order_release>().size() == 1);
      agent.Handle(engine_released{.id = Attempt(1)});
      CHECK(agent.Sent<cancelled>().size() == 1);
    }
  }
  SUBCASE("a quote includes the work that is already ordered") {
    GrantAndStart(agent, work_kind::kPrefill, 1);
    agent.Receive(MakeGrantRequest(work_kind::kPrefill, 2));
    CHECK(agent.Sent<grant_offer>().at(0).start_in == milliseconds(100));
    CHECK(agent.Sent<grant_offer>().at(0).run_for == milliseconds(100));
  }
  SUBCASE("a prompt with a known prefix is quoted with cached tokens") {
    grant_request first = MakeGrantRequest(work_kind::kPrefill, 1);
    first.prefix_hashes = {1, 2, 3};
    agent.Receive(first);
    agent.Receive(MakeStartOrder(work_kind::kPrefill, agent.Sent<grant_offer>().at(0)));
    agent.Handle(engine_prefilled{.id = Attempt(1)});
    grant_request second = MakeGrantRequest(work_kind::kPrefill, 2);
    second.prefix_hashes = {1, 2, 9};
    agent.Receive(second);
    CHECK(agent.Sent<grant_offer>().at(0).cached_tokens == 512);
  }
  SUBCASE("a prefill is delayed while its KV cache would expire before the decode start") {
    agent.Receive(MakeGrantRequest(work_kind::kPrefill, 1));
    start_order order = MakeStartOrder(work_kind::kPrefill, agent.Sent<grant_offer>().at(0));
    order.seat_in = seconds(2);
    order.deadline_in = seconds(10);
    agent.Receive(order);
    CHECK(agent.Effects<order_prefill>().empty());
    SUBCASE("it is ordered at its earliest start") {
      const std::optional<instant> wakeup = agent.core.next_wakeup();
      REQUIRE(wakeup.has_value());
      agent.AdvanceTime(*wakeup - agent.now);
      CHECK(agent.Effects<order_prefill>().size() == 1);
    }
    SUBCASE("it is ordered when the decode start moves to an earlier time") {
      auto update = MakeMessage<seat_update>(Attempt(1));
      update.seat_in = milliseconds(100);
      agent.Receive(update);
      CHECK(agent.Effects<order_prefill>().size() == 1);
    }
  }
  SUBCASE("a queued prefill is withdrawn as not run when the backend server goes down") {
    GrantAndStart(agent, work_kind::kPrefill, 1);
    agent.Receive(MakeGrantRequest(work_kind::kPrefill, 2));
    agent.Receive(MakeStartOrder(work_kind::kPrefill, agent.Sent<grant_offer>().at(0)));
    CHECK(agent.Effects<order_prefill>().empty());
    agent.AdvanceTime(milliseconds(50));
    CHECK(agent.Effects<order_prefill>().empty());
    agent.Handle(backend_report{.up = false});
    CHECK(agent.Sent<answer_failed>().at(0).ran == run_state::kNotRun);
  }
}

TEST_CASE("a call with an idempotency key runs at most once") {
  agent_fixture agent(Policy(work_kind::kCall));
  grant_request booking = MakeGrantRequest(work_kind::kCall, 1);
  booking.repeatable = false;
  booking.idempotency_key = "hall-3";
  agent.Receive(booking);
  agent.Receive(MakeStartOrder(work_kind::kCall, agent.Sent<grant_offer>().at(0)));
  REQUIRE(agent.Effects<order_call>().size() == 1);
  const auto headers = agent.Effects<order_call>()[0].call.headers;
  REQUIRE(headers.size() == 1);
  CHECK(headers[0]->name == "Idempotency-Key");
  CHECK(headers[0]->value == "hall-3");

  SUBCASE("the answer is forwarded with its status") {
    agent.Handle(service_answered{
        .id = Attempt(1), .status = 201, .headers = {header_field{}}, .body = {1, 2}});
    CHECK(agent.Sent<call_answer>().at(0).status == 201);
    CHECK(agent.core.idle());
  }
  SUBCASE("another request with the same key is rejected as a duplicate") {
    booking.request.counter = 2;
    agent.Receive(booking);
    CHECK(agent.Sent<refused>().at(0).reason == refusal_reason::kDuplicate);
  }
  SUBCASE("the key may run again when the service proves that the call did not run") {
    agent.Handle(engine_failed{.id = Attempt(1), .ran = run_state::kNotRun, .detail = "refused"});
    agent.Handle(engine_released{.id = Attempt(1)});
    booking.request.counter = 2;
    agent.Receive(booking);
    CHECK(agent.Sent<grant_offer>().size() == 1);
  }
  SUBCASE("a cancelled call is reported as possibly run") {
    agent.Receive(MakeMessage<cancel_order>(Attempt(1)));
    agent.Handle(engine_released{.id = Attempt(1)});
    SUBCASE("it is neither granted again nor rejected as not run") {
      agent.Receive(booking);
      CHECK(agent.Sent<grant_offer>().empty());
      CHECK(agent.Sent<refused>().empty());
      CHECK(agent.Sent<answer_failed>().at(0).ran == run_state::kUnknown);
    }
    agent.Receive(MakeMessage<seal>(Attempt(1)));
    CHECK(agent.Sent<sealed>().at(0).state == run_state::kUnknown);
  }
}

TEST_CASE("a new incarnation rejects keys that an earlier one may have run") {
  agent_policy policy = Policy(work_kind::kCall);
  agent_core core({.incarnation = kAgent, .backend = "s1", .policy = policy});
  const instant now{seconds(50)};
  grant_request booking = MakeGrantRequest(work_kind::kCall, 1);
  booking.repeatable = false;
  booking.idempotency_key = "hall-3";
  const agent_effects effects = core.Handle(now, entry_message{.entry = kEntry, .body = booking});
  const auto& sent = std::get<send_to_entry>(effects.at(0));
  CHECK(std::get<refused>(sent.body).reason == refusal_reason::kKeyMayHaveRun);
  CHECK(std::get<refused>(sent.body).retry_after == seconds(600));
}

}  // namespace
}  // namespace jacinthspool
