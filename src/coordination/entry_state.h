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

/// \brief The state behind `entry_core`.
///
/// Its functions are spread over files by job: entry_core.cc takes events and
/// keeps timers, entry_messages.cc takes agents' messages, entry_search.cc finds
/// agents, entry_attempt.cc runs an attempt, entry_failure.cc retries and gives
/// up, entry_connection.cc deals with agents that go and come back.
struct entry_core::state {
  using request = entry_detail::entry_request;
  using part = entry_detail::attempt_part;
  using agent_view = entry_detail::agent_view;

  explicit state(options initial);

  // Events and timers: entry_core.cc.
  void FireTimers();
  void Fire(request& r);
  void Arm(request& r);
  [[nodiscard]] std::optional<instant> DueOf(const request& r) const;
  [[nodiscard]] std::optional<instant> DueOf(const request& r, const part& p) const;
  void Accept(caller_request asked);
  void LeaveCaller(const request_id& id);

  // Messages of agents: entry_messages.cc.
  void Take(const agent_message& received);
  void TakeRefusal(request* r, const agent_message& from, const refused& no);
  [[nodiscard]] refusal_reason ReasonOf(const request& r, const answer_failed& failed) const;
  void TakeSeatMove(request& r, const part& p, const seat_update& moved);
  void AcknowledgeAgain(const std::string& backend, const answer_end& end);
  void NoteLoad(const std::string& backend, const agent_load* load);

  // Searches: entry_search.cc.
  void Advance(request& r);
  void Seek(request& r, work_kind kind);
  void Ask(request& r, const pool_view& pool, const std::string& backend);
  [[nodiscard]] grant_request RequestFor(const request& r, const pool_view& pool,
                                         work_kind kind) const;
  void TakeOffer(const agent_message& from, const grant_offer& offer);
  void RenewSeat(request& r, const grant_offer& offer);
  void RefreshSeat(request& r);
  void Settle(request& r);
  void Choose(request& r);
  void TakeOfferOf(request& r, work_kind kind, const entry_detail::quote& best);
  [[nodiscard]] bool MustWait(const entry_detail::search& seeking,
                              const entry_detail::quote& best) const;
  void NoOffer(request& r, const entry_detail::search& seeking);
  void EndSearch(request& r);
  [[nodiscard]] microseconds ArrivalAtSeat(const request& r, const pool_view& pool) const;

  // One attempt: entry_attempt.cc.
  void StartCall(request& r);
  void StartPrefill(request& r);
  void StartDecode(request& r);
  void SendStart(request& r, part& p);
  void TakePrefill(request& r, const prefill_done& done);
  void TakePiece(request& r, const piece& next);
  void TakeEnd(request& r, const answer_end& end);
  void TakeAnswer(request& r, const call_answer& answer);
  void AcknowledgePrefill(request& r);
  void Complete(request& r);
  void Acknowledge(const request& r, const part& p, bool whole);

  // Failures: entry_failure.cc.
  void PartFailed(request& r, work_kind kind, run_state ran, const std::string& detail,
                  entry_detail::refusal why);
  bool WaitInEntry(request& r);
  bool RetryWithSameKv(request& r, const std::string& detail);
  /// \param declined No agent has taken the work, so nothing failed in the middle.
  void FailAttempt(request& r, const std::string& detail, entry_detail::refusal why, bool declined);
  [[nodiscard]] bool DrawRetry(const request& r);
  void BeginAttempt(request& r, const std::string& detail, microseconds delay);
  void GiveUp(request& r, const std::string& detail, entry_detail::refusal why);
  void DropParts(request& r);
  void DropPart(request& r, std::optional<part>& p);
  void Erase(request& r);

  // Connections: entry_connection.cc.
  void TakeUp(const agent_up& event);
  void TakeDown(const agent_down& event);
  void Reconnect(request& r, part& p);
  void SilenceQuotes(request& r, const std::string& backend);
  void Probe(request& r, part& p);
  void AskWithResume(const request& r, const part& p);
  void AskWithSeal(const part& p, const request_id& id);
  void PartLost(request& r, work_kind kind, const std::string& detail);
  void TakeSealed(request& r, part& p, run_state ran);
  void CancelAttempt(const std::string& backend, incarnation_id incarnation, const attempt_id& id);
  void SendCancel(const std::string& backend, const attempt_id& id);
  void RepeatCancels();
  void ForgetGoneAgents();

  // Small helpers.
  [[nodiscard]] request* Find(const request_id& id);
  /// \returns The part of that agent in that attempt, or null.
  [[nodiscard]] static part* PartOf(request& r, const agent_message& from, attempt_number attempt);
  [[nodiscard]] const pool_view* FindPool(const std::string& name) const;
  [[nodiscard]] const pool_view* PoolFor(const request& r, work_kind kind) const;
  [[nodiscard]] bool IsUp(const std::string& backend, incarnation_id incarnation) const;
  [[nodiscard]] bool SeatFirst() const;
  void Send(const std::string& backend, message body);
  void Deliver(entry_effect effect) { effects.push_back(std::move(effect)); }
  void Log(const request& r, std::string event, std::string choice, std::string reason,
           std::vector<decision_candidate> candidates = {});
  void Uses(const request& r, const std::string& backend);
  void Unuses(const request& r, const std::string& backend);
  [[nodiscard]] microseconds Until(instant then) const;

  entry_policy policy;
  std::mt19937_64 random;
  retry_budget budget;
  backoff delays{{.first = milliseconds(20), .last = seconds(1)}};
  entry_detail::agent_views agents;
  entry_detail::turn_counters turns;
  std::unordered_map<request_id, request> requests;
  std::set<std::pair<instant, request_id>> timers;
  std::optional<instant> repeat_cancels_at;
  instant now{};
  entry_effects effects;
};

namespace entry_detail {

/// \returns A duration from another process, limited to a range that is safe to reckon with.
[[nodiscard]] microseconds Sane(microseconds told);

/// \returns The schema's name of a refusal, also for a value that it does not know.
[[nodiscard]] std::string ReasonName(refusal_reason reason);

}  // namespace entry_detail
}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_ENTRY_STATE_H_
