#ifndef TESTS_COORDINATION_ENTRY_RIG_H_
#define TESTS_COORDINATION_ENTRY_RIG_H_

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/impl/entry_core.h"

namespace jacinthspool {

/// \brief Test fixture: an entry with two agents of each kind. The test sends the agents' messages.
struct entry_rig {
  static constexpr incarnation_id kEntry = 1;
  static constexpr incarnation_id kAgent = 7;

  static entry_policy Policy(routing_policy routing = reservation_first_policy{}) {
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
      Connect(backend);
    }
  }

  void Handle(entry_event event) {
    effects = core.Handle(now, std::move(event));
    all.insert(all.end(), effects.begin(), effects.end());
  }
  void Connect(const std::string& backend, incarnation_id incarnation = kAgent) {
    Handle(agent_up{.backend = backend, .incarnation = incarnation});
  }
  void Disconnect(const std::string& backend) { Handle(agent_down{backend}); }
  void AdvanceTime(microseconds time) {
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

  /// \returns A message of type `T` about the given attempt of the request.
  template <typename T>
  T MakeMessage(attempt_number attempt = 1) const {
    T body;
    body.request = id;
    body.attempt = attempt;
    return body;
  }
  void Offer(const std::string& backend, microseconds start_in = {}, attempt_number attempt = 1,
             std::uint64_t grant = 1) {
    auto offer = MakeMessage<grant_offer>(attempt);
    offer.grant = {.incarnation = kAgent, .counter = grant};
    offer.lifetime = seconds(2);
    offer.start_in = start_in;
    Receive(backend, offer);
  }
  void Refuse(const std::string& backend, refusal_reason reason, microseconds retry_after,
              attempt_number attempt = 1) {
    auto refusal = MakeMessage<refused>(attempt);
    refusal.reason = reason;
    refusal.retry_after = retry_after;
    Receive(backend, refusal);
  }
  void Prefilled(const std::string& backend, attempt_number attempt = 1,
                 microseconds expires_in = milliseconds(800)) {
    auto done = MakeMessage<prefill_done>(attempt);
    done.kv = std::make_shared<kv_handle>();
    done.kv->params = "kv";
    done.kv->expires_in = expires_in;
    Receive(backend, done);
  }
  void Piece(const std::string& backend, std::uint64_t offset, const std::string& text,
             attempt_number attempt = 1) {
    auto next = MakeMessage<piece>(attempt);
    next.offset = offset;
    next.text = text;
    Receive(backend, next);
  }
  void End(const std::string& backend, std::uint64_t end_offset, attempt_number attempt = 1) {
    auto end = MakeMessage<answer_end>(attempt);
    end.end_offset = end_offset;
    end.finish_reason = "stop";
    Receive(backend, end);
  }
  void Fail(const std::string& backend, run_state ran, attempt_number attempt = 1) {
    auto failed = MakeMessage<answer_failed>(attempt);
    failed.ran = ran;
    Receive(backend, failed);
  }

  void SubmitCompletion() {
    caller_request request;
    request.id = id;
    request.team = "turnevo";
    request.model = "digest";
    request.prefill_pool = "p";
    request.pool = "d";
    request.prompt_tokens = 5000;
    request.output_tokens = 100;
    Handle(request);
  }
  void SubmitCall(bool repeatable, const std::string& key = {}) {
    caller_request request;
    request.id = id;
    request.team = "turnevo";
    request.pool = "s";
    request.call.emplace();
    request.call->method = "POST";
    request.repeatable = repeatable;
    request.idempotency_key = key;
    Handle(request);
  }
  /// Both decode agents and both prefill agents make offers; those of d1 and p1 are the best.
  void OfferAll(attempt_number attempt = 1) {
    Offer("d1", {}, attempt);
    Offer("d2", milliseconds(50), attempt);
    Offer("p1", {}, attempt);
    Offer("p2", milliseconds(50), attempt);
  }
  void RunToDecode() {
    SubmitCompletion();
    OfferAll();
    Prefilled("p1");
  }

  /// \returns The messages of type `T` to a backend server's agent that the last event caused.
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
  /// \returns Number of effects of type `T` since the start of the test.
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
  std::size_t FinalOutcomes() const {
    return Count<deliver_end>() + Count<deliver_call>() + Count<deliver_not_run>() +
           Count<deliver_unknown>() + Count<deliver_failed>();
  }
  /// \returns Number of messages of type `T` sent to an agent since the start of the test.
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
