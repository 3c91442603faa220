// Embeds the agent core: one request obtains a grant, starts, and receives its answer.
#include <cstdlib>
#include <exception>
#include <iostream>
#include <variant>

#include "jacinthspool/jacinthspool.h"

namespace {

using jacinthspool::agent_core;
using jacinthspool::agent_effect;
using jacinthspool::agent_event;
using jacinthspool::instant;
using jacinthspool::overloaded;
using jacinthspool::send_to_entry;

constexpr jacinthspool::incarnation_id kEntry = 1;
constexpr jacinthspool::incarnation_id kAgent = 2;
constexpr jacinthspool::request_id kRequest = {.incarnation = kEntry, .counter = 1};

/// Executes effects: prints messages and records the last offered grant.
struct effect_handler {
  jacinthspool::grant_id grant;
  bool ordered = false;
  bool ended = false;

  void Execute(const agent_effect& effect) {
    std::visit(overloaded{[this](const send_to_entry& sent) { OnMessage(sent.body); },
                          [this](const jacinthspool::order_decode&) { ordered = true; },
                          [](const auto&) {}},
               effect);
  }

  void OnMessage(const jacinthspool::message& body) {
    std::cout << "to the entry: " << jacinthspool::NameOf(body) << '\n';
    if (const auto* offer = std::get_if<jacinthspool::grant_offer>(&body)) {
      grant = offer->grant;
    }
    ended = ended || std::holds_alternative<jacinthspool::answer_end>(body);
  }
};

jacinthspool::entry_message FromEntry(jacinthspool::message body) {
  return {.entry = kEntry, .body = std::move(body)};
}

jacinthspool::grant_request DecodeGrantRequest() {
  jacinthspool::grant_request request;
  request.request = kRequest;
  request.attempt = 1;
  request.kind = jacinthspool::work_kind::kDecode;
  request.team = "turnevo";
  request.pieces = 1;
  request.output_tokens = 1;
  request.deadline_in = jacinthspool::seconds(1);
  return request;
}

}  // namespace

int main() try {
  jacinthspool::agent_policy policy;
  policy.shares = {{.team = "turnevo", .percent = 100}};
  agent_core agent({.incarnation = kAgent, .backend = "d1", .policy = policy});
  effect_handler handler;
  // The embedding program supplies the time; here each event takes 10 ms.
  instant now{jacinthspool::seconds(1)};
  const auto handle = [&](agent_event event) {
    for (const agent_effect& effect : agent.Handle(now, std::move(event))) {
      handler.Execute(effect);
    }
    now += jacinthspool::milliseconds(10);
  };

  handle(jacinthspool::entry_up{.entry = kEntry, .name = "e1"});
  handle(FromEntry(DecodeGrantRequest()));

  jacinthspool::start_order start;
  start.request = kRequest;
  start.attempt = 1;
  start.grant = handler.grant;
  start.engine_request = "{}";
  start.kv = std::make_shared<jacinthspool::kv_handle>();
  handle(FromEntry(start));

  const jacinthspool::attempt_id attempt = {.request = kRequest, .attempt = 1};
  handle(jacinthspool::engine_piece{.id = attempt, .text = "crate 7 is in Sofia "});
  handle(jacinthspool::engine_finished{
      .id = attempt, .finish_reason = "stop", .prompt_tokens = 9, .completion_tokens = 1});
  return handler.ordered && handler.ended ? EXIT_SUCCESS : EXIT_FAILURE;
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return EXIT_FAILURE;
}
