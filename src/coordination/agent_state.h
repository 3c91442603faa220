#ifndef JACINTHSPOOL_COORDINATION_AGENT_STATE_H_
#define JACINTHSPOOL_COORDINATION_AGENT_STATE_H_

#include <algorithm>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "jacinthspool/impl/agent_core.h"
#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/fair_share.h"
#include "jacinthspool/impl/grant_table.h"
#include "jacinthspool/impl/lease_clock.h"
#include "jacinthspool/impl/memory_ledger.h"
#include "jacinthspool/impl/prefill_queue.h"
#include "jacinthspool/impl/prefix_view.h"
#include "jacinthspool/impl/reservation_plan.h"
#include "jacinthspool/impl/run_ledger.h"
#include "src/coordination/agent_attempt.h"

namespace jacinthspool {

/// \brief Predicted start and duration of requested work.
struct agent_quote {
  microseconds start_in{};
  microseconds run_for{};
  std::uint32_t cached_tokens = 0;
};

/// \brief Reason of a rejection and the time after which to retry.
struct agent_refusal {
  refusal_reason reason = refusal_reason::kNone;
  microseconds retry_after{};
  microseconds start_in{};  ///< The quoted start, if one was computed.
};

[[nodiscard]] message MakeStarted(attempt_id id);
[[nodiscard]] message MakeCancelled(attempt_id id);
[[nodiscard]] message MakeFailed(attempt_id id, run_state ran, const std::string& detail,
                                 microseconds retry_after = {});

/// \returns The duration, limited to 0 to 24 h so that time arithmetic cannot overflow.
[[nodiscard]] inline microseconds Bounded(microseconds value) {
  constexpr microseconds kMaxDuration = std::chrono::hours(24);
  return std::clamp(value, microseconds::zero(), kMaxDuration);
}

/// \brief The implementation of agent_core, in agent_*.cc.
struct agent_core::state {
  explicit state(options initial);

  // agent_core.cc
  void Advance(instant time);
  void Apply(agent_event event);
  [[nodiscard]] std::optional<instant> NextWakeup() const;

  // agent_messages.cc: messages of entries
  void On(const entry_up& event);
  void On(const entry_down& event);
  void On(const entry_message& event);
  void OnMessage(incarnation_id entry, const grant_request& request);
  void OnMessage(incarnation_id entry, const grant_release& release);
  void OnMessage(incarnation_id entry, const start_order& order);
  void OnMessage(incarnation_id entry, const seat_update& update);
  void OnMessage(incarnation_id entry, const cancel_order& order);
  void OnMessage(incarnation_id entry, const seal& request);
  void OnMessage(incarnation_id entry, const answer_ack& ack);
  void OnMessage(incarnation_id entry, const resume& request);
  void Enqueue(agent_attempt& attempt);
  template <typename Other>
  void OnMessage(incarnation_id /*entry*/, const Other& /*control*/) {}

  // agent_grants.cc: quotes, grants, rejections
  [[nodiscard]] agent_quote QuotePrefill(const grant_request& request) const;
  [[nodiscard]] std::uint32_t PiecesOf(const grant_request& request) const;
  [[nodiscard]] agent_quote QuoteReservation(const grant_request& request) const;
  [[nodiscard]] agent_refusal CheckAdmission(const grant_request& request) const;
  [[nodiscard]] agent_refusal CheckQueueLimits(const grant_request& request,
                                               const agent_quote& quote) const;
  [[nodiscard]] agent_refusal CheckDeadline(const grant_request& request,
                                            const agent_quote& quote) const;
  [[nodiscard]] microseconds RetryAfterFull() const;
  void Grant(incarnation_id entry, const grant_request& request, const agent_quote& quote);
  void Offer(const agent_attempt& attempt, const agent_quote& quote, microseconds lifetime);
  void Refuse(incarnation_id entry, attempt_id id, const std::string& team,
              const agent_refusal& refusal);
  [[nodiscard]] microseconds LifetimeOf(const agent_attempt& attempt,
                                        const agent_quote& quote) const;

  // agent_dispatch.cc: orders to the backend server
  void Dispatch();
  void DispatchPrefills();
  void DispatchReservations();
  void OrderPrefill(agent_attempt& attempt);
  void OrderReserved(agent_attempt& attempt);
  void Run(agent_attempt& attempt);
  void InsertReservation(agent_attempt& attempt);
  void RemoveReservation(const agent_attempt& attempt);
  [[nodiscard]] double ReservationWork(const grant_request& request, microseconds run_for) const;
  [[nodiscard]] free_capacity FreeCapacity() const;
  [[nodiscard]] std::vector<predicted_release> PredictedReleases() const;
  [[nodiscard]] std::vector<pending_reservation> PendingReservations() const;
  void SendSeatUpdates();
  [[nodiscard]] std::optional<instant> EarliestPrefill(const agent_attempt& attempt) const;
  [[nodiscard]] microseconds TransferTime(std::uint32_t tokens) const;

  // agent_engine.cc: events of the backend server
  void On(const engine_prefilled& event);
  void On(const engine_piece& event);
  void On(const engine_finished& event);
  void On(const engine_failed& event);
  void On(const engine_released& event);
  void On(const service_answered& event);
  void On(const backend_report& event);
  void End(agent_attempt& attempt, run_state how, message final_message);

  // agent_lifecycle.cc: policy changes, expiry, cancellation, removal
  void On(const policy_changed& event);
  void On(const draining_changed& event);
  void On(const time_passed& event);
  void ApplyPolicy();
  void WithdrawAllQueued(const std::string& why);
  void Expire();
  void ExpireDue(agent_attempt& attempt);
  void ExpireEnded(agent_attempt& attempt);
  void LoseLease(incarnation_id entry);
  void Stop(agent_attempt& attempt);
  void WithdrawQueued(agent_attempt& attempt, const std::string& why);
  void StartRelease(agent_attempt& attempt);
  void Released(agent_attempt& attempt);
  void DropGrant(agent_attempt& attempt, refusal_reason reason);
  void RemoveFromQueues(const agent_attempt& attempt);
  void SetOwner(agent_attempt& attempt, incarnation_id entry);
  void SetDue(agent_attempt& attempt, std::optional<instant> at);
  void Erase(attempt_id id);

  // agent_answers.cc: messages to entries
  void Send(incarnation_id entry, message body);
  void SendPiece(const agent_attempt& attempt, std::uint64_t offset);
  void SendAnswerFrom(const agent_attempt& attempt, std::uint64_t offset);
  void SendFinalState(incarnation_id entry, attempt_id id, run_state ran,
                      const std::string& detail);
  void SendFinalMessage(const agent_attempt& attempt);
  void LogDecision(const std::string& event, attempt_id id, const std::string& team,
                   const std::string& choice, const std::string& reason,
                   const agent_quote& quote = {});

  [[nodiscard]] agent_attempt* Find(attempt_id id);
  [[nodiscard]] agent_attempt* FindAnswered(attempt_id id, work_kind kind);
  [[nodiscard]] bool Allowed(const std::string& team) const;
  [[nodiscard]] agent_load Load() const;

  options config;
  agent_policy policy;
  instant now;
  bool received_event = false;
  agent_effects effects;

  grant_table grants;
  run_ledger ledger;
  memory_ledger memory;
  lease_clock leases;
  prefill_queue prefills;
  prefix_view prefixes;
  fair_share reservation_shares;

  attempt_map<agent_attempt> attempts;
  std::unordered_map<incarnation_id, attempt_set> owned;
  std::unordered_set<incarnation_id> connected;
  std::set<std::pair<instant, attempt_id>> timeouts;

  attempt_set running;  ///< Sent to the backend server or being released.
  /// Granted or queued, in order of service.
  std::set<std::pair<double, attempt_id>> reservations;
  std::unordered_map<std::string, std::size_t> reservations_by_team;
  instant engine_free;                        ///< Predicted end of the ordered prefills.
  microseconds call_time = milliseconds(50);  ///< Moving average of the service's response time.
  std::optional<instant> next_replan;
  bool backend_up = true;
  bool leaving = false;
  bool dispatch_needed = false;  ///< Free capacity or queues have changed.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_AGENT_STATE_H_
