#ifndef JACINTHSPOOL_COORDINATION_ENTRY_REQUEST_H_
#define JACINTHSPOOL_COORDINATION_ENTRY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jacinthspool/impl/entry_core.h"
#include "jacinthspool/impl/stream_assembler.h"

/// \file
/// \brief The record that an entry keeps of one request.

namespace jacinthspool::entry_detail {

/// \brief How far an agent's part in an attempt has come, as the entry knows it.
enum class part_phase {
  kGranted,  ///< The agent holds a grant; no `start` was sent.
  kOrdered,  ///< `start` was sent.
  kStarted,  ///< The agent has confirmed the start.
};

/// \brief What one agent does for a request.
struct attempt_part {
  work_kind kind = work_kind::kDecode;
  std::string backend;
  incarnation_id incarnation = 0;
  attempt_number attempt = 0;
  grant_id grant;
  part_phase phase = part_phase::kGranted;
  instant start_at{};  ///< Predicted start of the work.
  microseconds run_for{};
  instant expires_at{};  ///< End of the grant's life while it is not used.
  instant refresh_at{};  ///< When to ask for the grant anew.
  instant heard{};       ///< Last progress after the start.
  std::optional<instant> lost_at;
  std::uint32_t probes = 0;  ///< Questions since the last progress.

  [[nodiscard]] bool ordered() const { return phase != part_phase::kGranted; }
};

enum class quote_state { kAsked, kOffered, kRefused, kSilent };

/// \brief One agent's answer to a grant request.
struct quote {
  std::string backend;
  incarnation_id incarnation = 0;
  quote_state state = quote_state::kAsked;
  grant_id grant;
  instant expires_at{};
  instant start_at{};
  microseconds run_for{};
  std::uint32_t cached_tokens = 0;
  std::uint32_t pieces_taken = 0;
  refusal_reason reason = refusal_reason::kNone;
};

/// \brief The search for an agent that takes one kind of work.
struct search {
  work_kind kind = work_kind::kDecode;
  std::vector<quote> quotes;
  instant answer_by{};
  std::uint32_t rounds = 0;

  [[nodiscard]] quote* Find(const std::string& backend, incarnation_id incarnation);
  [[nodiscard]] bool open() const;
  [[nodiscard]] bool has_offer() const;
};

/// \brief A refusal that the caller may be told.
struct refusal {
  refusal_reason reason = refusal_reason::kNone;
  microseconds retry_after{};
};

/// \brief One request, from acceptance to its final answer.
struct entry_request {
  explicit entry_request(caller_request request, instant now);

  caller_request asked;
  instant late_at{};  ///< The current attempt's deadline.
  instant accepted_at{};
  attempt_number attempt = 1;
  std::uint32_t tries = 1;  ///< Attempts that count: those that ran, not those that only waited.
  std::optional<search> seeking;
  std::optional<attempt_part> seat;     ///< Decode, or the call.
  std::optional<attempt_part> prefill;  ///< Kept until the KV cache has been read.
  std::optional<kv_handle> kv;
  instant kv_gone_at{};
  bool kv_retried = false;
  stream_assembler answer;
  std::uint64_t first_offset = 0;  ///< Next offset when the current attempt began.
  std::uint64_t acked_offset = 0;
  std::uint32_t prompt_tokens = 0;
  bool may_have_run = false;      ///< Some part was started and is not proven not to have run.
  bool key_may_have_run = false;  ///< An agent says so of the idempotency key.
  std::optional<instant> retry_at;
  std::vector<std::pair<work_kind, std::string>> tried;  ///< Asked in this attempt.
  std::vector<std::string> avoided;                      ///< Failed in an earlier attempt.
  std::optional<refusal> best_refusal;
  std::optional<answer_end> end;
  std::optional<instant> armed;  ///< The request's place among the timers.

  [[nodiscard]] bool is_call() const { return asked.call.has_value(); }
  [[nodiscard]] attempt_id current() const { return {.request = asked.id, .attempt = attempt}; }
  [[nodiscard]] bool HasTried(work_kind kind, const std::string& backend) const;
  [[nodiscard]] bool Avoids(const std::string& backend) const;
  /// \brief Remembers the refusal that lets the caller come back first.
  void NoteRefusal(const refusal& told);
};

}  // namespace jacinthspool::entry_detail

#endif  // JACINTHSPOOL_COORDINATION_ENTRY_REQUEST_H_
