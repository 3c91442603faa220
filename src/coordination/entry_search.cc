#include <algorithm>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief Search for agents: grant requests, offers and the choice between them.

namespace jacinthspool {

using entry_detail::attempt_part;
using entry_detail::ClampReported;
using entry_detail::PiecesFor;
using entry_detail::quote;
using entry_detail::quote_state;
using entry_detail::ReasonName;
using entry_detail::search;

namespace {

/// Rounds of grant requests before a search fails.
constexpr std::uint32_t kMaxRounds = 3;
/// Time that the other candidates have to reply after the first offer.
constexpr microseconds kOfferGrace = milliseconds(5);
/// Smaller differences between predicted starts are ignored.
constexpr microseconds kStartTolerance = milliseconds(5);

std::vector<decision_candidate> CandidatesOf(const search& active_search, instant now) {
  std::vector<decision_candidate> candidates;
  for (const quote& candidate : active_search.quotes) {
    decision_candidate weighed{.backend = candidate.backend,
                               .start_in = std::nullopt,
                               .cached_tokens = candidate.cached_tokens,
                               .refusal = {}};
    if (candidate.state == quote_state::kOffered) {
      weighed.start_in = std::max(microseconds::zero(), candidate.start_at - now);
    } else if (candidate.state == quote_state::kRefused) {
      weighed.refusal = ReasonName(candidate.reason);
    } else {
      weighed.refusal = "no reply";
    }
    candidates.push_back(std::move(weighed));
  }
  return candidates;
}

/// \returns true when `left` is the better offer.
bool Better(work_kind kind, const quote& left, const quote& right) {
  const bool whole = kind == work_kind::kPrefill;
  const instant left_end = whole ? left.start_at + left.run_for : left.start_at;
  const instant right_end = whole ? right.start_at + right.run_for : right.start_at;
  if (left_end + kStartTolerance < right_end || right_end + kStartTolerance < left_end) {
    return left_end < right_end;
  }
  if (left.cached_tokens != right.cached_tokens) {
    return left.cached_tokens > right.cached_tokens;
  }
  return left.pieces_taken < right.pieces_taken;
}

message ReleaseOf(const attempt_id& id, const grant_id& grant) {
  grant_release release;
  release.request = id.request;
  release.attempt = id.attempt;
  release.grant = grant;
  return release;
}

instant Middle(instant from, instant to) { return from + ((to - from) / 2); }

}  // namespace

/// Starts the next step that the request is ready for.
void entry_core::state::Advance(request& r) {
  if (r.active_search.has_value() || r.retry_at.has_value()) {
    return;
  }
  if (r.is_call()) {
    if (!r.reservation.has_value()) {
      ContinueSearch(r, work_kind::kCall);
    } else if (!r.reservation->ordered()) {
      StartCall(r);
    }
    return;
  }
  const bool reservation_wanted = r.kv.has_value() || ReservesFirst();
  if (reservation_wanted && !r.reservation.has_value()) {
    ContinueSearch(r, work_kind::kDecode);
  } else if (r.kv.has_value()) {
    if (!r.reservation->ordered()) {
      StartDecode(r);
    }
  } else if (!r.prefill.has_value()) {
    ContinueSearch(r, work_kind::kPrefill);
  } else if (!r.prefill->ordered()) {
    StartPrefill(r);
  }
}

void entry_core::state::ContinueSearch(request& r, work_kind kind) {
  const pool_view* pool = PoolFor(r, kind);
  if (pool == nullptr) {
    EndSearch(r);
    FailAttempt(r, "the pool is no longer in the settings", {.reason = refusal_reason::kNotAllowed},
                true);
    return;
  }
  if (!r.active_search.has_value()) {
    r.active_search.emplace();
    r.active_search->kind = kind;
  }
  std::string preferred_data_centre = policy.data_centre;
  if (kind == work_kind::kPrefill && r.reservation.has_value()) {
    const pool_view* decode_pool = FindPool(r.submitted.pool);
    for (const pool_member& member :
         decode_pool != nullptr ? decode_pool->members : pool->members) {
      if (member.backend == r.reservation->backend) {
        preferred_data_centre = member.data_centre;
      }
    }
  }
  const std::vector<std::string> next =
      entry_detail::ChooseCandidates({.policy = policy,
                                      .pool = *pool,
                                      .agents = agents,
                                      .request = r,
                                      .kind = kind,
                                      .data_centre = preferred_data_centre,
                                      .round_robin_turns = round_robin_turns});
  if (next.empty() || r.active_search->rounds >= kMaxRounds) {
    const search ended = *r.active_search;
    EndSearch(r);
    HandleNoOffer(r, ended);
    return;
  }
  ++r.active_search->rounds;
  r.active_search->answer_by = now + policy.reply_timeout;
  for (const std::string& backend : next) {
    RequestGrant(r, *pool, backend);
  }
}

void entry_core::state::RequestGrant(request& r, const pool_view& pool,
                                     const std::string& backend) {
  const work_kind kind = r.active_search->kind;
  quote& candidate = r.active_search->quotes.emplace_back();
  candidate.backend = backend;
  candidate.incarnation = agents.at(backend).incarnation;
  r.queried.emplace_back(kind, backend);
  AddUser(r, backend);
  Send(backend, RequestFor(r, pool, kind));
}

grant_request entry_core::state::RequestFor(const request& r, const pool_view& pool,
                                            work_kind kind) const {
  const caller_request& submitted = r.submitted;
  grant_request wanted;
  wanted.request = submitted.id;
  wanted.attempt = r.attempt;
  wanted.kind = kind;
  wanted.team = submitted.team;
  wanted.workspace = submitted.workspace;
  wanted.model = submitted.model;
  wanted.prompt_tokens = submitted.prompt_tokens;
  wanted.output_tokens = submitted.output_tokens;
  wanted.prefix_hashes = submitted.prefix_hashes;
  wanted.priority = submitted.priority;
  // A later attempt must not be rejected for the time that the first attempt took.
  wanted.patient = submitted.patient || r.counted_attempts > 1;
  wanted.deadline_in = TimeUntil(r.deadline);
  wanted.idempotency_key = submitted.idempotency_key;
  wanted.repeatable = submitted.repeatable;
  if (kind == work_kind::kDecode) {
    wanted.pieces =
        PiecesFor(pool, std::uint64_t{submitted.prompt_tokens} + submitted.output_tokens);
    wanted.expected_in = ExpectedKvArrival(r, pool);
  } else if (kind == work_kind::kPrefill) {
    wanted.pieces = PiecesFor(pool, submitted.prompt_tokens);
    wanted.expected_in =
        r.reservation.has_value() ? TimeUntil(r.reservation->start_at) : microseconds::zero();
    const microseconds transfer = entry_detail::TransferTime(pool, submitted.prompt_tokens);
    wanted.deadline_in = std::max(microseconds::zero(), wanted.deadline_in - transfer);
  }
  return wanted;
}

/// \returns The predicted time until the KV cache arrives at the decode engine.
microseconds entry_core::state::ExpectedKvArrival(const request& r, const pool_view& pool) const {
  const microseconds transfer = entry_detail::TransferTime(pool, r.submitted.prompt_tokens);
  if (r.kv.has_value()) {
    return transfer;
  }
  if (r.prefill.has_value()) {
    return TimeUntil(r.prefill->start_at + r.prefill->run_for) + transfer;
  }
  const pool_view* prefill_pool = FindPool(r.submitted.prefill_pool);
  if (prefill_pool == nullptr) {
    return transfer;
  }
  return entry_detail::ShortestWait(*prefill_pool, agents) +
         entry_detail::PrefillTime(*prefill_pool, r.submitted.prompt_tokens) + transfer;
}

void entry_core::state::HandleOffer(const agent_message& from, const grant_offer& offer) {
  NoteLoad(from.backend, offer.load.get());
  const attempt_id id{.request = offer.request, .attempt = offer.attempt};
  request* r = Find(offer.request);
  const part* p = r == nullptr ? nullptr : PartOf(*r, from, offer.attempt);
  if (p != nullptr) {
    if (p == &*r->reservation && !p->ordered()) {
      RenewReservation(*r, offer);
    }
    return;
  }
  const bool current = r != nullptr && offer.attempt == r->attempt && r->active_search.has_value();
  quote* candidate = current ? r->active_search->Find(from.backend, from.incarnation) : nullptr;
  if (candidate == nullptr || candidate->state == quote_state::kRefused) {
    Send(from.backend, ReleaseOf(id, offer.grant));
    return;
  }
  candidate->state = quote_state::kOffered;
  candidate->grant = offer.grant;
  candidate->expires_at = now + ClampReported(offer.lifetime);
  candidate->start_at = now + ClampReported(offer.start_in);
  candidate->run_for = ClampReported(offer.run_for);
  candidate->cached_tokens = std::min(offer.cached_tokens, r->submitted.prompt_tokens);
  candidate->pieces_taken =
      offer.load == nullptr ? 0 : offer.load->pieces_held + offer.load->pieces_granted;
  r->active_search->answer_by = std::min(r->active_search->answer_by, now + kOfferGrace);
  UpdateSearch(*r);
}

/// Applies the reply to a repeated grant request for the reservation.
void entry_core::state::RenewReservation(request& r, const grant_offer& offer) {
  part& reservation = *r.reservation;
  reservation.grant = offer.grant;
  reservation.expires_at = now + ClampReported(offer.lifetime);
  reservation.refresh_at = Middle(now, reservation.expires_at);
  const instant start_at = now + ClampReported(offer.start_in);
  const microseconds moved = std::chrono::abs(start_at - reservation.start_at);
  reservation.start_at = start_at;
  if (moved > kStartTolerance && r.prefill.has_value() && r.prefill->ordered() &&
      !r.kv.has_value()) {
    seat_update update;
    update.request = r.submitted.id;
    update.attempt = r.prefill->attempt;
    update.seat_in = TimeUntil(reservation.start_at);
    Send(r.prefill->backend, update);
  }
}

/// Renews the grant of the reservation while the prefill is still running.
void entry_core::state::RefreshReservation(request& r) {
  part& reservation = *r.reservation;
  const pool_view* pool = FindPool(r.submitted.pool);
  if (reservation.expires_at <= now || pool == nullptr) {
    Log(r, "place", "", "the grant has expired before it was used");
    DropPart(r, r.reservation);
    Advance(r);
    return;
  }
  reservation.refresh_at =
      std::min(reservation.expires_at, Middle(now, reservation.expires_at) + milliseconds(1));
  if (IsUp(reservation.backend, reservation.incarnation)) {
    Send(reservation.backend, RequestFor(r, *pool, reservation.kind));
  }
}

/// Ends the search once no reply is pending; called after each reply and at its time limit.
void entry_core::state::UpdateSearch(request& r) {
  search& active_search = *r.active_search;
  if (active_search.answer_by <= now) {
    for (quote& candidate : active_search.quotes) {
      if (candidate.state == quote_state::kPending) {
        candidate.state = quote_state::kNoReply;
      }
    }
  }
  if (active_search.open()) {
    return;
  }
  if (active_search.has_offer()) {
    ChooseOffer(r);
  } else {
    ContinueSearch(r, active_search.kind);
  }
}

void entry_core::state::ChooseOffer(request& r) {
  const search active_search = *r.active_search;
  const quote* best = nullptr;
  for (const quote& candidate : active_search.quotes) {
    if (candidate.state == quote_state::kOffered &&
        (best == nullptr || Better(active_search.kind, candidate, *best))) {
      best = &candidate;
    }
  }
  if (MustWait(active_search, *best)) {
    best = nullptr;
  }
  for (const quote& candidate : active_search.quotes) {
    if (&candidate != best && candidate.state == quote_state::kOffered) {
      Send(candidate.backend, ReleaseOf(r.current(), candidate.grant));
    }
  }
  EndSearch(r);
  if (best == nullptr) {
    HandleNoOffer(r, active_search);
    return;
  }
  Log(r, active_search.kind == work_kind::kPrefill ? "route_prefill" : "route", best->backend,
      "best offer", CandidatesOf(active_search, now));
  AcceptOffer(r, active_search.kind, *best);
}

/// With an entry queue, a prefill is placed only when it can start immediately.
bool entry_core::state::MustWait(const search& active_search, const quote& best) const {
  return std::holds_alternative<entry_queue_policy>(policy.routing) &&
         active_search.kind == work_kind::kPrefill && best.start_at > now + kStartTolerance;
}

void entry_core::state::AcceptOffer(request& r, work_kind kind, const quote& best) {
  attempt_part chosen;
  chosen.kind = kind;
  chosen.backend = best.backend;
  chosen.incarnation = best.incarnation;
  chosen.attempt = r.attempt;
  chosen.grant = best.grant;
  chosen.start_at = best.start_at;
  chosen.run_for = best.run_for;
  chosen.expires_at = best.expires_at;
  chosen.refresh_at = Middle(now, best.expires_at);
  agents[chosen.backend].ordered_since_load += 1;
  AddUser(r, chosen.backend);
  (chosen.kind == work_kind::kPrefill ? r.prefill : r.reservation) = std::move(chosen);
  Advance(r);
}

/// Ends a search without an offer.
void entry_core::state::HandleNoOffer(request& r, const search& active_search) {
  const entry_detail::refusal why = r.best_refusal.value_or(entry_detail::refusal{
      .reason = refusal_reason::kBackendDown, .retry_after = policy.reply_timeout});
  Log(r, "refuse", "", ReasonName(why.reason), CandidatesOf(active_search, now));
  FailAttempt(r, "no agent has made an offer", why, true);
}

void entry_core::state::EndSearch(request& r) {
  if (!r.active_search.has_value()) {
    return;
  }
  const search ended = std::move(*r.active_search);
  r.active_search.reset();
  for (const quote& candidate : ended.quotes) {
    RemoveUser(r, candidate.backend);
  }
}

}  // namespace jacinthspool
