#include <algorithm>
#include <cmath>
#include <utility>

#include "src/coordination/agent_state.h"
#include "src/coordination/from_seconds.h"

/// \file
/// \brief Quotes, grants and rejections of an agent.

namespace jacinthspool {
namespace {

constexpr microseconds kMinRetryAfter = milliseconds(50);
constexpr microseconds kUnavailableRetryAfter = seconds(1);
constexpr microseconds kMaxExpected = seconds(60);
constexpr microseconds kMaxQuote = std::chrono::hours(1);

microseconds Expected(const grant_request& request) {
  return std::clamp(request.expected_in, microseconds::zero(), kMaxExpected);
}

run_key KeyOf(const grant_request& terms) {
  return {.team = terms.team, .key = terms.idempotency_key, .repeatable = terms.repeatable};
}

}  // namespace

agent_quote agent_core::state::QuotePrefill(const grant_request& request) const {
  const std::uint32_t cached = prefixes.CachedTokens(request.prefix_hashes, request.prompt_tokens);
  const double tokens = request.prompt_tokens - cached;
  const bool limited = request.deadline_in > microseconds::zero();
  const instant deadline = limited ? now + Bounded(request.deadline_in) : instant::max();
  const microseconds ordered = std::max(engine_free - now, microseconds::zero());
  return {.start_in = ordered + prefills.WaitOf(request.team, request.priority, deadline),
          .run_for = FromSeconds(tokens / std::max(policy.prefill_tokens_per_s, 1.0)),
          .cached_tokens = cached};
}

std::uint32_t agent_core::state::PiecesOf(const grant_request& request) const {
  return policy.kind == work_kind::kCall ? 0 : std::max(request.pieces, 1U);
}

agent_quote agent_core::state::QuoteReservation(const grant_request& request) const {
  const bool decode = policy.kind == work_kind::kDecode;
  const microseconds run_for = decode ? policy.token_time * request.output_tokens : call_time;
  const double start = reservation_shares.StartOf(request.team);
  const attempt_id id{.request = request.request, .attempt = request.attempt};
  std::vector<pending_reservation> waiting = PendingReservations();
  std::size_t place = 0;
  for (const auto& [virtual_start, other] : reservations) {
    if (virtual_start > start) {
      break;
    }
    ++place;
  }
  const pending_reservation own = {.id = id,
                                   .pieces = PiecesOf(request),
                                   .earliest = now + Expected(request),
                                   .run_for = run_for};
  waiting.insert(waiting.begin() + static_cast<std::ptrdiff_t>(place), own);
  const std::vector<instant> plan =
      PlanReservations(now, FreeCapacity(), PredictedReleases(), waiting);
  const instant planned_start = std::min(plan[place], now + kMaxQuote);
  return {.start_in = planned_start - now, .run_for = run_for, .cached_tokens = 0};
}

agent_refusal agent_core::state::CheckAdmission(const grant_request& request) const {
  if (request.kind != policy.kind || !Allowed(request.team)) {
    return {.reason = refusal_reason::kNotAllowed};
  }
  if (leaving) {
    return {.reason = refusal_reason::kLeaving, .retry_after = kUnavailableRetryAfter};
  }
  if (!backend_up) {
    return {.reason = refusal_reason::kBackendDown, .retry_after = kUnavailableRetryAfter};
  }
  if (PiecesOf(request) > memory.total()) {
    return {.reason = refusal_reason::kTooLarge};
  }
  const attempt_id id{.request = request.request, .attempt = request.attempt};
  const refusal_reason key = ledger.CheckKey(now, id, KeyOf(request));
  if (key != refusal_reason::kNone) {
    const bool wait = key == refusal_reason::kKeyMayHaveRun;
    return {.reason = key,
            .retry_after = wait ? ledger.TimeUntilKeysAccepted(now) : microseconds::zero()};
  }
  return {};
}

agent_refusal agent_core::state::CheckQueueLimits(const grant_request& request,
                                                  const agent_quote& quote) const {
  if (policy.kind == work_kind::kPrefill) {
    switch (prefills.Admits(request.team)) {
      case prefill_queue::admission::kAdmitted:
        return {};
      case prefill_queue::admission::kFull:
        return {.reason = refusal_reason::kQueueFull, .retry_after = RetryAfterFull()};
      case prefill_queue::admission::kTeamShare:
        return {.reason = refusal_reason::kTeamShare, .retry_after = RetryAfterFull()};
    }
  }
  if (quote.start_in == microseconds::zero()) {
    return {};
  }
  if (reservations.size() >= policy.max_queued) {
    return {.reason = refusal_reason::kQueueFull, .retry_after = RetryAfterFull()};
  }
  const auto own = reservations_by_team.find(request.team);
  const double places = std::ceil(policy.max_queued * reservation_shares.ShareOf(request.team));
  if (own != reservations_by_team.end() && static_cast<double>(own->second) >= places) {
    return {.reason = refusal_reason::kTeamShare, .retry_after = RetryAfterFull()};
  }
  return {};
}

agent_refusal agent_core::state::CheckDeadline(const grant_request& request,
                                               const agent_quote& quote) const {
  if (quote.start_in >= kMaxQuote) {
    return {.reason = refusal_reason::kNoRoom, .retry_after = kUnavailableRetryAfter};
  }
  if (request.patient || request.deadline_in <= microseconds::zero()) {
    return {};
  }
  const bool decode = policy.kind == work_kind::kDecode;
  const microseconds arrival = decode ? Expected(request) : microseconds::zero();
  const microseconds work = decode ? policy.token_time : quote.run_for;
  const microseconds done_in = std::max(quote.start_in, arrival) + work;
  if (done_in <= request.deadline_in) {
    return {};
  }
  const microseconds late_by = done_in - request.deadline_in;
  return {.reason = decode ? refusal_reason::kNoRoom : refusal_reason::kDeadlineMissed,
          .retry_after = std::max(late_by, kMinRetryAfter),
          .start_in = quote.start_in};
}

microseconds agent_core::state::RetryAfterFull() const {
  if (policy.kind == work_kind::kPrefill) {
    const auto jobs = static_cast<std::int64_t>(std::max<std::size_t>(prefills.size(), 1));
    return std::max(prefills.work() / jobs, kMinRetryAfter);
  }
  instant next = now + kUnavailableRetryAfter;
  for (const predicted_release& release : PredictedReleases()) {
    next = std::min(next, release.at);
  }
  return std::max(next - now, kMinRetryAfter);
}

void agent_core::state::Grant(incarnation_id entry, const grant_request& request,
                              const agent_quote& quote) {
  const attempt_id id{.request = request.request, .attempt = request.attempt};
  agent_attempt& attempt = attempts[id];
  attempt.id = id;
  attempt.terms = request;
  attempt.expected_start = now + Expected(request);
  attempt.run_for = quote.run_for;
  attempt.cached_tokens = quote.cached_tokens;
  attempt.announced_start = now + quote.start_in;
  if (request.deadline_in > microseconds::zero()) {
    attempt.deadline = now + Bounded(request.deadline_in);
  }
  SetOwner(attempt, entry);
  memory.Grant(id, PiecesOf(request));
  if (policy.kind == work_kind::kPrefill) {
    prefills.Reserve({.id = id,
                      .team = request.team,
                      .priority = request.priority,
                      .deadline = attempt.deadline,
                      .work = quote.run_for,
                      .not_before = {}});
  } else {
    InsertReservation(attempt);
  }
  dispatch_needed = true;
  LogDecision("grant", id, request.team, config.backend, "memory and queue limits allow it", quote);
  Offer(attempt, quote, LifetimeOf(attempt, quote));
}

void agent_core::state::Offer(const agent_attempt& attempt, const agent_quote& quote,
                              microseconds lifetime) {
  grant_offer offer;
  offer.request = attempt.id.request;
  offer.attempt = attempt.id.attempt;
  offer.grant = grants.Issue(now, attempt.id, lifetime);
  offer.lifetime = grants.ExpiryOf(attempt.id).value_or(now) - now;
  offer.start_in = quote.start_in;
  offer.run_for = quote.run_for;
  offer.cached_tokens = quote.cached_tokens;
  offer.load = std::make_shared<agent_load>(Load());
  Send(attempt.owner, std::move(offer));
}

void agent_core::state::Refuse(incarnation_id entry, attempt_id id, const std::string& team,
                               const agent_refusal& refusal) {
  ledger.Seal(now, id, refusal.reason);
  refused answer;
  answer.request = id.request;
  answer.attempt = id.attempt;
  answer.reason = refusal.reason;
  answer.retry_after = refusal.retry_after;
  answer.load = std::make_shared<agent_load>(Load());
  Send(entry, std::move(answer));
  LogDecision("refuse", id, team, "", wire::EnumNamerefusal_reason(refusal.reason),
              {.start_in = refusal.start_in});
}

microseconds agent_core::state::LifetimeOf(const agent_attempt& attempt,
                                           const agent_quote& quote) const {
  if (policy.kind != work_kind::kDecode) {
    return policy.grant_life;
  }
  const microseconds expected = std::max(attempt.expected_start - now, microseconds::zero());
  return std::max(expected, quote.start_in) + policy.grant_life;
}

bool agent_core::state::Allowed(const std::string& team) const {
  return std::any_of(policy.shares.begin(), policy.shares.end(),
                     [&](const agent_policy::team_share& share) { return share.team == team; });
}

}  // namespace jacinthspool
