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
/// \brief An entry's record of one request.

namespace jacinthspool::entry_detail {

/// \brief State of a part at its agent, as known to the entry.
enum class part_phase {
  kGranted,  ///< Granted; `start` not yet sent.
  kOrdered,  ///< `start` sent.
  kStarted,  ///< Start confirmed by the agent.
};

/// \brief The part of an attempt that one agent runs.
struct attempt_part {
  work_kind kind = work_kind::kDecode;
  std::string backend;
  incarnation_id incarnation = 0;
  attempt_number attempt = 0;
  grant_id grant;
  part_phase phase = part_phase::kGranted;
  instant start_at{};  ///< Predicted start of the work.
  microseconds run_for{};
  instant expires_at{};     ///< Expiry of an unused grant.
  instant refresh_at{};     ///< When to renew the grant.
  instant last_progress{};  ///< Time of the last progress after the start.
  std::optional<instant> disconnected_at;
  std::uint32_t probes = 0;  ///< Probes sent since the last progress.

  [[nodiscard]] bool ordered() const { return phase != part_phase::kGranted; }
};

enum class quote_state { kPending, kOffered, kRefused, kNoReply };

/// \brief State of one agent's reply to a grant request.
struct quote {
  std::string backend;
  incarnation_id incarnation = 0;
  quote_state state = quote_state::kPending;
  grant_id grant;
  instant expires_at{};
  instant start_at{};
  microseconds run_for{};
  std::uint32_t cached_tokens = 0;
  std::uint32_t pieces_taken = 0;
  refusal_reason reason = refusal_reason::kNone;
};

/// \brief Search for an agent for one kind of work.
struct search {
  work_kind kind = work_kind::kDecode;
  std::vector<quote> quotes;
  instant answer_by{};
  std::uint32_t rounds = 0;

  [[nodiscard]] quote* Find(const std::string& backend, incarnation_id incarnation);
  [[nodiscard]] bool open() const;
  [[nodiscard]] bool has_offer() const;
};

/// \brief A rejection that may be reported to the caller.
struct refusal {
  refusal_reason reason = refusal_reason::kNone;
  microseconds retry_after{};
};

/// \brief One request, from acceptance to its final outcome.
struct entry_request {
  explicit entry_request(caller_request request, instant now);

  caller_request submitted;
  instant deadline{};  ///< Deadline of the current attempt.
  instant accepted_at{};
  attempt_number attempt = 1;
  std::uint32_t counted_attempts = 1;  ///< Attempts counted against the limit; waits in the
                                       ///< entry queue are not counted.
  std::optional<search> active_search;
  std::optional<attempt_part> reservation;  ///< Of the decode or the call.
  std::optional<attempt_part> prefill;      ///< Kept until the KV cache was transferred.
  std::optional<kv_handle> kv;
  instant kv_expires_at{};
  bool retried_with_same_kv = false;
  stream_assembler answer;
  std::uint64_t first_offset = 0;  ///< Next offset at the start of the current attempt.
  std::uint64_t acknowledged_offset = 0;
  std::uint32_t prompt_tokens = 0;
  bool may_have_run = false;      ///< A part was ordered and there is no proof that it did not run.
  bool key_may_have_run = false;  ///< Reported by an agent for the idempotency key.
  std::optional<instant> retry_at;
  std::vector<std::pair<work_kind, std::string>> queried;  ///< Queried in this attempt.
  std::vector<std::string> failed_backends;                ///< Failed in earlier attempts.
  std::optional<refusal> best_refusal;
  std::optional<answer_end> end;
  std::optional<instant> timer_at;  ///< Time of the scheduled timer.

  [[nodiscard]] bool is_call() const { return submitted.call.has_value(); }
  [[nodiscard]] attempt_id current() const { return {.request = submitted.id, .attempt = attempt}; }
  [[nodiscard]] bool HasQueried(work_kind kind, const std::string& backend) const;
  [[nodiscard]] bool HasFailedAt(const std::string& backend) const;
  /// \brief Records a rejection; the one with the shortest Retry-After is kept.
  void NoteRefusal(const refusal& reported);
};

}  // namespace jacinthspool::entry_detail

#endif  // JACINTHSPOOL_COORDINATION_ENTRY_REQUEST_H_
