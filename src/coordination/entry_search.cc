#include <algorithm>
#include <utility>

#include "src/coordination/entry_state.h"

/// \file
/// \brief The search for agents: grant requests, offers and the choice among them.

namespace jacinthspool {

using entry_detail::attempt_part;
using entry_detail::PiecesFor;
using entry_detail::quote;
using entry_detail::quote_state;
using entry_detail::ReasonName;
using entry_detail::Sane;
using entry_detail::search;

namespace {

/// How often other members are asked before a request is given up.
constexpr std::uint32_t kMaxRounds = 3;
/// How much longer the other candidates get once one has made an offer.
constexpr microseconds kOfferGrace = milliseconds(5);
/// A seat that moves by less is not worth a message.
constexpr microseconds kSeatMoved = milliseconds(5);

std::vector<decision_candidate> CandidatesOf(const search& seeking, instant now) {
  std::vector<decision_candidate> candidates;
  for (const quote& asked : seeking.quotes) {
    decision_candidate weighed{.backend = asked.backend,
                               .start_in = std::nullopt,
                               .cached_tokens = asked.cached_tokens,
                               .refusal = {}};
    if (asked.state == quote_state::kOffered) {
      weighed.start_in = std::max(microseconds::zero(), asked.start_at - now);
    } else if (asked.state == quote_state::kRefused) {
      weighed.refusal = ReasonName(asked.reason);
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
  if (left_end + kSeatMoved < right_end || right_end + kSeatMoved < left_end) {
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

/// Takes the next step that the request is ready for.
void entry_core::state::Advance(request& r) {
  if (r.seeking.has_value() || r.retry_at.has_value()) {
    return;
  }
  if (r.is_call()) {
    if (!r.seat.has_value()) {
      Seek(r, work_kind::kCall);
    } else if (!r.seat->ordered()) {
      StartCall(r);
    }
    return;
  }
  const bool seat_wanted = r.kv.has_value() || SeatFirst();
  if (seat_wanted && !r.seat.has_value()) {
    Seek(r, work_kind::kDecode);
  } else if (r.kv.has_value()) {
    if (!r.seat->ordered()) {
      StartDecode(r);
    }
  } else if (!r.prefill.has_value()) {
    Seek(r, work_kind::kPrefill);
  } else if (!r.prefill->ordered()) {
    StartPrefill(r);
  }
}

void entry_core::state::Seek(request& r, work_kind kind) {
  const pool_view* pool = PoolFor(r, kind);
  if (pool == nullptr) {
    EndSearch(r);
    FailAttempt(r, "the pool is no longer in the settings", {.reason = refusal_reason::kNotAllowed},
                true);
    return;
  }
  if (!r.seeking.has_value()) {
    r.seeking.emplace();
    r.seeking->kind = kind;
  }
  std::string near = policy.data_centre;
  if (kind == work_kind::kPrefill && r.seat.has_value()) {
    const pool_view* seats = FindPool(r.asked.pool);
    for (const pool_member& member : seats != nullptr ? seats->members : pool->members) {
      if (member.backend == r.seat->backend) {
        near = member.data_centre;
      }
    }
  }
  const std::vector<std::string> next = entry_detail::ChooseCandidates({.policy = policy,
                                                                        .pool = *pool,
                                                                        .agents = agents,
                                                                        .request = r,
                                                                        .kind = kind,
                                                                        .data_centre = near,
                                                                        .turns = turns});
  if (next.empty() || r.seeking->rounds >= kMaxRounds) {
    const search ended = *r.seeking;
    EndSearch(r);
    NoOffer(r, ended);
    return;
  }
  ++r.seeking->rounds;
  r.seeking->answer_by = now + policy.reply_timeout;
  for (const std::string& backend : next) {
    Ask(r, *pool, backend);
  }
}

void entry_core::state::Ask(request& r, const pool_view& pool, const std::string& backend) {
  const work_kind kind = r.seeking->kind;
  quote& asked = r.seeking->quotes.emplace_back();
  asked.backend = backend;
  asked.incarnation = agents.at(backend).incarnation;
  r.tried.emplace_back(kind, backend);
  Uses(r, backend);
  Send(backend, RequestFor(r, pool, kind));
}

grant_request entry_core::state::RequestFor(const request& r, const pool_view& pool,
                                            work_kind kind) const {
  const caller_request& asked = r.asked;
  grant_request wanted;
  wanted.request = asked.id;
  wanted.attempt = r.attempt;
  wanted.kind = kind;
  wanted.team = asked.team;
  wanted.workspace = asked.workspace;
  wanted.model = asked.model;
  wanted.prompt_tokens = asked.prompt_tokens;
  wanted.output_tokens = asked.output_tokens;
  wanted.prefix_hashes = asked.prefix_hashes;
  wanted.priority = asked.priority;
  // A later attempt must not be refused for the time that the first has cost.
  wanted.patient = asked.patient || r.tries > 1;
  wanted.deadline_in = Until(r.late_at);
  wanted.idempotency_key = asked.idempotency_key;
  wanted.repeatable = asked.repeatable;
  if (kind == work_kind::kDecode) {
    wanted.pieces = PiecesFor(pool, std::uint64_t{asked.prompt_tokens} + asked.output_tokens);
    wanted.expected_in = ArrivalAtSeat(r, pool);
  } else if (kind == work_kind::kPrefill) {
    wanted.pieces = PiecesFor(pool, asked.prompt_tokens);
    wanted.expected_in = r.seat.has_value() ? Until(r.seat->start_at) : microseconds::zero();
    const microseconds transfer = entry_detail::TransferTime(pool, asked.prompt_tokens);
    wanted.deadline_in = std::max(microseconds::zero(), wanted.deadline_in - transfer);
  }
  return wanted;
}

/// Predicts when the KV cache will be at the decode engine.
microseconds entry_core::state::ArrivalAtSeat(const request& r, const pool_view& pool) const {
  const microseconds transfer = entry_detail::TransferTime(pool, r.asked.prompt_tokens);
  if (r.kv.has_value()) {
    return transfer;
  }
  if (r.prefill.has_value()) {
    return Until(r.prefill->start_at + r.prefill->run_for) + transfer;
  }
  const pool_view* prefills = FindPool(r.asked.prefill_pool);
  if (prefills == nullptr) {
    return transfer;
  }
  return entry_detail::ShortestWait(*prefills, agents) +
         entry_detail::PrefillTime(*prefills, r.asked.prompt_tokens) + transfer;
}

void entry_core::state::TakeOffer(const agent_message& from, const grant_offer& offer) {
  NoteLoad(from.backend, offer.load.get());
  const attempt_id id{.request = offer.request, .attempt = offer.attempt};
  request* r = Find(offer.request);
  const part* p = r == nullptr ? nullptr : PartOf(*r, from, offer.attempt);
  if (p != nullptr) {
    if (p == &*r->seat && !p->ordered()) {
      RenewSeat(*r, offer);
    }
    return;
  }
  const bool current = r != nullptr && offer.attempt == r->attempt && r->seeking.has_value();
  quote* asked = current ? r->seeking->Find(from.backend, from.incarnation) : nullptr;
  if (asked == nullptr || asked->state == quote_state::kRefused) {
    Send(from.backend, ReleaseOf(id, offer.grant));
    return;
  }
  asked->state = quote_state::kOffered;
  asked->grant = offer.grant;
  asked->expires_at = now + Sane(offer.lifetime);
  asked->start_at = now + Sane(offer.start_in);
  asked->run_for = Sane(offer.run_for);
  asked->cached_tokens = std::min(offer.cached_tokens, r->asked.prompt_tokens);
  asked->pieces_taken =
      offer.load == nullptr ? 0 : offer.load->pieces_held + offer.load->pieces_granted;
  r->seeking->answer_by = std::min(r->seeking->answer_by, now + kOfferGrace);
  Settle(*r);
}

/// The seat's agent has answered a repeated grant request.
void entry_core::state::RenewSeat(request& r, const grant_offer& offer) {
  part& seat = *r.seat;
  seat.grant = offer.grant;
  seat.expires_at = now + Sane(offer.lifetime);
  seat.refresh_at = Middle(now, seat.expires_at);
  const instant start_at = now + Sane(offer.start_in);
  const microseconds moved = std::chrono::abs(start_at - seat.start_at);
  seat.start_at = start_at;
  if (moved > kSeatMoved && r.prefill.has_value() && r.prefill->ordered() && !r.kv.has_value()) {
    seat_update update;
    update.request = r.asked.id;
    update.attempt = r.prefill->attempt;
    update.seat_in = Until(seat.start_at);
    Send(r.prefill->backend, update);
  }
}

/// Keeps the seat's grant alive while its prefill takes longer.
void entry_core::state::RefreshSeat(request& r) {
  part& seat = *r.seat;
  const pool_view* pool = FindPool(r.asked.pool);
  if (seat.expires_at <= now || pool == nullptr) {
    Log(r, "place", "", "the grant has expired before it was used");
    DropPart(r, r.seat);
    Advance(r);
    return;
  }
  seat.refresh_at = std::min(seat.expires_at, Middle(now, seat.expires_at) + milliseconds(1));
  if (IsUp(seat.backend, seat.incarnation)) {
    Send(seat.backend, RequestFor(r, *pool, seat.kind));
  }
}

/// Ends the search when it is decided; called after each answer and at its time limit.
void entry_core::state::Settle(request& r) {
  search& seeking = *r.seeking;
  if (seeking.answer_by <= now) {
    for (quote& asked : seeking.quotes) {
      if (asked.state == quote_state::kAsked) {
        asked.state = quote_state::kSilent;
      }
    }
  }
  if (seeking.open()) {
    return;
  }
  if (seeking.has_offer()) {
    Choose(r);
  } else {
    Seek(r, seeking.kind);
  }
}

void entry_core::state::Choose(request& r) {
  const search seeking = *r.seeking;
  const quote* best = nullptr;
  for (const quote& asked : seeking.quotes) {
    if (asked.state == quote_state::kOffered &&
        (best == nullptr || Better(seeking.kind, asked, *best))) {
      best = &asked;
    }
  }
  if (MustWait(seeking, *best)) {
    best = nullptr;
  }
  for (const quote& asked : seeking.quotes) {
    if (&asked != best && asked.state == quote_state::kOffered) {
      Send(asked.backend, ReleaseOf(r.current(), asked.grant));
    }
  }
  EndSearch(r);
  if (best == nullptr) {
    NoOffer(r, seeking);
    return;
  }
  Log(r, seeking.kind == work_kind::kPrefill ? "route_prefill" : "route", best->backend,
      "best offer", CandidatesOf(seeking, now));
  TakeOfferOf(r, seeking.kind, *best);
}

/// Entries with a queue of their own take no place in an agent's.
bool entry_core::state::MustWait(const search& seeking, const quote& best) const {
  return std::holds_alternative<entry_queue_policy>(policy.routing) &&
         seeking.kind == work_kind::kPrefill && best.start_at > now + kSeatMoved;
}

void entry_core::state::TakeOfferOf(request& r, work_kind kind, const quote& best) {
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
  Uses(r, chosen.backend);
  (chosen.kind == work_kind::kPrefill ? r.prefill : r.seat) = std::move(chosen);
  Advance(r);
}

/// No agent has made an offer.
void entry_core::state::NoOffer(request& r, const search& seeking) {
  const entry_detail::refusal why = r.best_refusal.value_or(entry_detail::refusal{
      .reason = refusal_reason::kBackendDown, .retry_after = policy.reply_timeout});
  Log(r, "refuse", "", ReasonName(why.reason), CandidatesOf(seeking, now));
  FailAttempt(r, "no agent has made an offer", why, true);
}

void entry_core::state::EndSearch(request& r) {
  if (!r.seeking.has_value()) {
    return;
  }
  const search ended = std::move(*r.seeking);
  r.seeking.reset();
  for (const quote& asked : ended.quotes) {
    Unuses(r, asked.backend);
  }
}

}  // namespace jacinthspool
