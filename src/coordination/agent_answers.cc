#include <algorithm>
#include <utility>

#include "src/coordination/agent_state.h"

/// \file
/// \brief Messages from an agent to entries.

namespace jacinthspool {

message MakeStarted(attempt_id id) {
  started body;
  body.request = id.request;
  body.attempt = id.attempt;
  return body;
}

message MakeCancelled(attempt_id id) {
  cancelled body;
  body.request = id.request;
  body.attempt = id.attempt;
  return body;
}

message MakeFailed(attempt_id id, run_state ran, const std::string& detail,
                   microseconds retry_after) {
  answer_failed body;
  body.request = id.request;
  body.attempt = id.attempt;
  body.ran = ran;
  body.detail = detail;
  body.retry_after = retry_after;
  return body;
}

void agent_core::state::Send(incarnation_id entry, message body) {
  if (connected.contains(entry)) {
    effects.emplace_back(send_to_entry{.entry = entry, .body = std::move(body)});
  }
}

void agent_core::state::SendPiece(const agent_attempt& attempt, std::uint64_t offset) {
  piece body;
  body.request = attempt.id.request;
  body.attempt = attempt.id.attempt;
  body.offset = offset;
  body.text = attempt.text.At(offset);
  Send(attempt.owner, std::move(body));
}

void agent_core::state::SendAnswerFrom(const agent_attempt& attempt, std::uint64_t offset) {
  if (attempt.cancel_requested) {
    return;
  }
  Send(attempt.owner, MakeStarted(attempt.id));
  for (std::uint64_t next = std::max(offset, attempt.text.first()); next < attempt.text.count();
       ++next) {
    SendPiece(attempt, next);
  }
  SendFinalMessage(attempt);
}

void agent_core::state::SendFinalState(incarnation_id entry, attempt_id id, run_state ran,
                                       const std::string& detail) {
  Send(entry, MakeFailed(id, ran, detail));
}

void agent_core::state::SendFinalMessage(const agent_attempt& attempt) {
  if (!attempt.final_message) {
    return;
  }
  message final_message = *attempt.final_message;
  if (auto* const done = std::get_if<prefill_done>(&final_message)) {
    done->kv->expires_in = std::max(attempt.kv_expires - now, microseconds::zero());
  }
  Send(attempt.owner, std::move(final_message));
}

void agent_core::state::LogDecision(const std::string& event, attempt_id id,
                                    const std::string& team, const std::string& choice,
                                    const std::string& reason, const agent_quote& quote) {
  decision made;
  made.event = event;
  made.request = id.request;
  made.attempt = id.attempt;
  made.team = team;
  made.candidates.push_back({.backend = config.backend,
                             .start_in = quote.start_in,
                             .cached_tokens = quote.cached_tokens,
                             .refusal = event == "refuse" ? reason : std::string{}});
  made.choice = choice;
  made.reason = reason;
  effects.emplace_back(log_decision{std::move(made)});
}

}  // namespace jacinthspool
