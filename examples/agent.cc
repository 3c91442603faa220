// Embeds the agent's part: one request gets a grant, starts, and is answered.
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

/// Carries effects: messages are printed, the last offered grant is kept.
struct carrier {
  jacinthspool::grant_id grant;
  bool ordered = false;
  bool ended = false;

  void Carry(const agent_effect& effect) {
    std::visit(overloaded{[this](const send_to_entry& sent) { Take(sent.body); },
                          [this](const jacinthspool::order_decode&) { ordered = true; },
                          [](const auto&) {}},
               effect);
  }

  void Take(const jacinthspool::message& body) {
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

jacinthspool::grant_request AskForSeat() {
  jacinthspool::grant_request ask;
  ask.request = kRequest;
  ask.attempt = 1;
  ask.kind = jacinthspool::work_kind::kDecode;
  ask.team = "turnevo";
  ask.pieces = 1;
  ask.output_tokens = 1;
  ask.deadline_in = jacinthspool::seconds(1);
  return ask;
}

}  // namespace

int main() try {
  jacinthspool::agent_policy policy;
  policy.shares = {{.team = "turnevo", .percent = 100}};
  agent_core agent({.incarnation = kAgent, .backend = "d1", .policy = policy});
  carrier out;
  // The time is the caller's: here 10 ms pass with each event.
  instant now{jacinthspool::seconds(1)};
  const auto give = [&](agent_event event) {
    for (const agent_effect& effect : agent.Handle(now, std::move(event))) {
      out.Carry(effect);
    }
    now += jacinthspool::milliseconds(10);
  };

  give(jacinthspool::entry_up{.entry = kEntry, .name = "e1"});
  give(FromEntry(AskForSeat()));

  jacinthspool::start_order start;
  start.request = kRequest;
  start.attempt = 1;
  start.grant = out.grant;
  start.engine_request = "{}";
  start.kv = std::make_shared<jacinthspool::kv_handle>();
  give(FromEntry(start));

  const jacinthspool::attempt_id attempt = {.request = kRequest, .attempt = 1};
  give(jacinthspool::engine_piece{.id = attempt, .text = "crate 7 is in Sofia "});
  give(jacinthspool::engine_finished{
      .id = attempt, .finish_reason = "stop", .prompt_tokens = 9, .completion_tokens = 1});
  return out.ordered && out.ended ? EXIT_SUCCESS : EXIT_FAILURE;
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return EXIT_FAILURE;
}
