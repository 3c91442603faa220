#ifndef JACINTHSPOOL_COORDINATION_ENTRY_STATE_H_
#define JACINTHSPOOL_COORDINATION_ENTRY_STATE_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "jacinthspool/impl/backoff.h"
#include "jacinthspool/impl/entry_core.h"
#include "jacinthspool/impl/retry_budget.h"
#include "src/coordination/candidate_choice.h"
#include "src/coordination/entry_request.h"

namespace jacinthspool {

/// \brief The implementation of `entry_core`.
///
/// Its functions are grouped by file: entry_core.cc dispatches events and timers,
/// entry_messages.cc handles agents' messages, entry_search.cc selects agents,
/// entry_attempt.cc runs an attempt, entry_failure.cc retries or ends a failed
/// request, and entry_connection.cc handles connection loss and reconnection.
struct entry_core::state {
  using request = entry_detail::entry_request;
  using part = entry_detail::attempt_part;
  using agent_view = entry_detail::agent_view;

  explicit state(options initial);

  // Events and timers: entry_core.cc.
  void HandleTimers();
  void HandleTimer(request& r);
  void ScheduleTimer(request& r);
  [[nodiscard]] std::optional<instant> DueOf(const request& r) const;
  [[nodiscard]] std::optional<instant> DueOf(const request& r, const part& p) const;
  void Accept(caller_request submitted);
  void CancelRequest(const request_id& id);

  // Messages of agents: entry_messages.cc.
  void HandleMessage(const agent_message& received);
  void HandleRefusal(request* r, const agent_message& from, const refused& no);
  [[nodiscard]] refusal_reason ReasonOf(const request& r, const answer_failed& failed) const;
  void ForwardSeatUpdate(request& r, const part& p, const seat_update& moved);
  void RepeatAcknowledgement(const std::string& backend, const answer_end& end);
  void NoteLoad(const std::string& backend, const agent_load* load);

  // Searches: entry_search.cc.
  void Advance(request& r);
  void ContinueSearch(request& r, work_kind kind);
  void RequestGrant(request& r, const pool_view& pool, const std::string& backend);
  [[nodiscard]] grant_request RequestFor(const request& r, const pool_view& pool,
                                         work_kind kind) const;
  void HandleOffer(const agent_message& from, const grant_offer& offer);
  void RenewReservation(request& r, const grant_offer& offer);
  void RefreshReservation(request& r);
  void UpdateSearch(request& r);
  void ChooseOffer(request& r);
  void AcceptOffer(request& r, work_kind kind, const entry_detail::quote& best);
  [[nodiscard]] bool MustWait(const entry_detail::search& active_search,
                              const entry_detail::quote& best) const;
  void HandleNoOffer(request& r, const entry_detail::search& active_search);
  void EndSearch(request& r);
  [[nodiscard]] microseconds ExpectedKvArrival(const request& r, const pool_view& pool) const;

  // One attempt: entry_attempt.cc.
  void StartCall(request& r);
  void StartPrefill(request& r);
  void StartDecode(request& r);
  void SendStart(request& r, part& p);
  void HandlePrefillDone(request& r, const prefill_done& done);
  void HandlePiece(request& r, const piece& next);
  void HandleEnd(request& r, const answer_end& end);
  void HandleCallAnswer(request& r, const call_answer& answer);
  void AcknowledgePrefill(request& r);
  void Complete(request& r);
  void Acknowledge(const request& r, const part& p, bool whole);

  // Failures: entry_failure.cc.
  void HandlePartFailure(request& r, work_kind kind, run_state ran, const std::string& detail,
                         entry_detail::refusal why);
  bool QueueInEntry(request& r);
  bool RetryWithSameKv(request& r, const std::string& detail);
  /// \param declined The work was rejected before it started, rather than failed while it ran.
  void FailAttempt(request& r, const std::string& detail, entry_detail::refusal why, bool declined);
  [[nodiscard]] bool TryConsumeRetry(const request& r);
  void BeginAttempt(request& r, const std::string& detail, microseconds delay);
  void GiveUp(request& r, const std::string& detail, entry_detail::refusal why);
  void DropParts(request& r);
  void DropPart(request& r, std::optional<part>& p);
  void Erase(request& r);

  // Connections: entry_connection.cc.
  void HandleAgentUp(const agent_up& event);
  void HandleAgentDown(const agent_down& event);
  void Reconnect(request& r, part& p);
  void MarkQuotesUnanswered(request& r, const std::string& backend);
  void Probe(request& r, part& p);
  void SendResume(const request& r, const part& p);
  void SendSeal(const part& p, const request_id& id);
  void HandlePartLoss(request& r, work_kind kind, const std::string& detail);
  void HandleSealed(request& r, part& p, run_state ran);
  void CancelAttempt(const std::string& backend, incarnation_id incarnation, const attempt_id& id);
  void SendCancel(const std::string& backend, const attempt_id& id);
  void RetryCancels();
  void ForgetDisconnectedAgents();

  // Helpers: entry_core.cc, entry_messages.cc.
  [[nodiscard]] request* Find(const request_id& id);
  /// \returns The part that the agent runs in the attempt, or null.
  [[nodiscard]] static part* PartOf(request& r, const agent_message& from, attempt_number attempt);
  [[nodiscard]] const pool_view* FindPool(const std::string& name) const;
  [[nodiscard]] const pool_view* PoolFor(const request& r, work_kind kind) const;
  [[nodiscard]] bool IsUp(const std::string& backend, incarnation_id incarnation) const;
  [[nodiscard]] bool ReservesFirst() const;
  void Send(const std::string& backend, message body);
  void Deliver(entry_effect effect) { effects.push_back(std::move(effect)); }
  void Log(const request& r, std::string event, std::string choice, std::string reason,
           std::vector<decision_candidate> candidates = {});
  void AddUser(const request& r, const std::string& backend);
  void RemoveUser(const request& r, const std::string& backend);
  [[nodiscard]] microseconds TimeUntil(instant then) const;

  entry_policy policy;
  std::mt19937_64 random;
  retry_budget budget;
  backoff delays{{.first = milliseconds(20), .last = seconds(1)}};
  entry_detail::agent_views agents;
  entry_detail::turn_counters round_robin_turns;
  std::unordered_map<request_id, request> requests;
  std::set<std::pair<instant, request_id>> timers;
  std::optional<instant> retry_cancels_at;
  instant now{};
  entry_effects effects;
};

namespace entry_detail {

/// \returns A duration reported by another process, limited to 0 to 1 h so that time arithmetic
/// cannot overflow.
[[nodiscard]] microseconds ClampReported(microseconds reported);

/// \returns The schema name of a rejection reason; empty for an unknown value.
[[nodiscard]] std::string ReasonName(refusal_reason reason);

}  // namespace entry_detail
}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_ENTRY_STATE_H_
