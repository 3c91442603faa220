#ifndef TESTS_COORDINATION_ENTRY_RIG_H_
#define TESTS_COORDINATION_ENTRY_RIG_H_

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/impl/entry_core.h"

namespace jacinthspool {

/// \brief An entry with two agents of each kind; the test plays the agents.
struct entry_rig {
  static constexpr incarnation_id kEntry = 1;
  static constexpr incarnation_id kAgent = 7;

  static entry_policy Policy(routing_policy routing = seat_first_policy{}) {
    entry_policy policy;
    policy.data_centre = "sofia-1";
    policy.routing = routing;
    for (const auto& [name, kind] : {std::pair{"p", work_kind::kPrefill},
                                     {"d", work_kind::kDecode},
                                     {"s", work_kind::kCall}}) {
      pool_view pool;
      pool.name = name;
      pool.kind = kind;
      pool.members = {{std::string(name) + "1", "sofia-1"}, {std::string(name) + "2", "sofia-1"}};
      policy.pools.push_back(pool);
    }
    return policy;
  }

  explicit entry_rig(entry_policy policy = Policy())
      : core({.incarnation = kEntry, .random_seed = 1, .policy = std::move(policy)}) {
    for (const char* backend : {"p1", "p2", "d1", "d2", "s1", "s2"}) {
      Up(backend);
    }
  }

  void Handle(entry_event event) {
    effects = core.Handle(now, std::move(event));
    all.insert(all.end(), effects.begin(), effects.end());
  }
  void Up(const std::string& backend, incarnation_id incarnation = kAgent) {
    Handle(agent_up{.backend = backend, .incarnation = incarnation});
  }
  void Down(const std::string& backend) { Handle(agent_down{backend}); }
  void Pass(microseconds time) {
    const instant end = now + time;
    while (core.next_wakeup().has_value() && *core.next_wakeup() <= end) {
      now = std::max(now, *core.next_wakeup());
      Handle(entry_time_passed{});
    }
    now = end;
    Handle(entry_time_passed{});
  }
  void Receive(const std::string& backend, message body, incarnation_id incarnation = kAgent) {
    Handle(agent_message{backend, incarnation, std::move(body)});
  }

  /// \returns A message of that type about the request's current attempt.
  template <typename T>
  T About(attempt_number attempt = 1) const {
    T body;
    body.request = id;
    body.attempt = attempt;
    return body;
  }
  void Offer(const std::string& backend, microseconds start_in = {}, attempt_number attempt = 1,
             std::uint64_t grant = 1) {
    auto offer = About<grant_offer>(attempt);
    offer.grant = {.incarnation = kAgent, .counter = grant};
    offer.lifetime = seconds(2);
    offer.start_in = start_in;
    Receive(backend, offer);
  }
  void Refuse(const std::string& backend, refusal_reason reason, microseconds retry_after,
              attempt_number attempt = 1) {
    auto no = About<refused>(attempt);
    no.reason = reason;
    no.retry_after = retry_after;
    Receive(backend, no);
  }
  void Prefilled(const std::string& backend, attempt_number attempt = 1,
                 microseconds expires_in = milliseconds(800)) {
    auto done = About<prefill_done>(attempt);
    done.kv = std::make_shared<kv_handle>();
    done.kv->params = "kv";
    done.kv->expires_in = expires_in;
    Receive(backend, done);
  }
  void Piece(const std::string& backend, std::uint64_t offset, const std::string& text,
             attempt_number attempt = 1) {
    auto next = About<piece>(attempt);
    next.offset = offset;
    next.text = text;
    Receive(backend, next);
  }
  void End(const std::string& backend, std::uint64_t end_offset, attempt_number attempt = 1) {
    auto end = About<answer_end>(attempt);
    end.end_offset = end_offset;
    end.finish_reason = "stop";
    Receive(backend, end);
  }
  void Fail(const std::string& backend, run_state ran, attempt_number attempt = 1) {
    auto failed = About<answer_failed>(attempt);
    failed.ran = ran;
    Receive(backend, failed);
  }

  void Ask() {
    caller_request asked;
    asked.id = id;
    asked.team = "turnevo";
    asked.model = "digest";
    asked.prefill_pool = "p";
    asked.pool = "d";
    asked.prompt_tokens = 5000;
    asked.output_tokens = 100;
    Handle(asked);
  }
  void Call(bool repeatable, const std::string& key = {}) {
    caller_request asked;
    asked.id = id;
    asked.team = "turnevo";
    asked.pool = "s";
    asked.call.emplace();
    asked.call->method = "POST";
    asked.repeatable = repeatable;
    asked.idempotency_key = key;
    Handle(asked);
  }
  /// Both decode agents and both prefill agents offer; d1 and p1 are chosen.
  void Place(attempt_number attempt = 1) {
    Offer("d1", {}, attempt);
    Offer("d2", milliseconds(50), attempt);
    Offer("p1", {}, attempt);
    Offer("p2", milliseconds(50), attempt);
  }
  void Decode() {
    Ask();
    Place();
    Prefilled("p1");
  }

  /// \returns The messages of one type that the last event sent to a backend server's agent.
  template <typename T>
  std::vector<T> Sent(const std::string& backend) const {
    std::vector<T> found;
    for (const entry_effect& effect : effects) {
      const auto* sent = std::get_if<send_to_agent>(&effect);
      if (sent != nullptr && sent->backend == backend && std::holds_alternative<T>(sent->body)) {
        found.push_back(std::get<T>(sent->body));
      }
    }
    return found;
  }
  /// \returns How many effects of one type there were since the beginning.
  template <typename T>
  std::size_t Count() const {
    std::size_t count = 0;
    for (const entry_effect& effect : all) {
      count += std::holds_alternative<T>(effect) ? 1 : 0;
    }
    return count;
  }
  template <typename T>
  std::vector<T> Delivered() const {
    std::vector<T> found;
    for (const entry_effect& effect : all) {
      if (const T* one = std::get_if<T>(&effect)) {
        found.push_back(*one);
      }
    }
    return found;
  }
  std::size_t Finals() const {
    return Count<deliver_end>() + Count<deliver_call>() + Count<deliver_not_run>() +
           Count<deliver_unknown>() + Count<deliver_failed>();
  }
  /// \returns How many messages of one type an agent was sent since the beginning.
  template <typename T>
  std::size_t CountSent(const std::string& backend) const {
    std::size_t count = 0;
    for (const entry_effect& effect : all) {
      const auto* sent = std::get_if<send_to_agent>(&effect);
      const bool wanted =
          sent != nullptr && sent->backend == backend && std::holds_alternative<T>(sent->body);
      count += wanted ? 1 : 0;
    }
    return count;
  }
  std::size_t StartsTo(const std::string& backend) const { return CountSent<start_order>(backend); }
  std::string Text() const {
    std::string text;
    for (const deliver_piece& one : Delivered<deliver_piece>()) {
      text += one.text;
    }
    return text;
  }

  request_id id{.incarnation = kEntry, .counter = 1};
  instant now{seconds(100)};
  entry_core core;
  entry_effects effects;
  entry_effects all;
};

}  // namespace jacinthspool

#endif  // TESTS_COORDINATION_ENTRY_RIG_H_
