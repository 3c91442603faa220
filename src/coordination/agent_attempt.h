#ifndef JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_
#define JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief State of an attempt at its agent.
enum class attempt_stage {
  kGranted,    ///< Has a grant; no start order yet.
  kQueued,     ///< Started; not yet sent to the backend server.
  kRunning,    ///< Sent to the backend server.
  kReleasing,  ///< Being stopped; not yet confirmed by the backend server.
  kEnded,      ///< Ended; the answer is retained for the entry.
};

/// \brief The pieces of an answer that the entry may request again.
class retained_text {
 public:
  /// \brief Sets the first offset to retain; earlier pieces are only counted.
  void StartAt(std::uint64_t first) { first_ = first; }

  /// \brief Appends the next piece.
  /// \returns true when the piece is retained.
  bool Add(const std::string& text) {
    const bool kept = count_ >= first_;
    ++count_;
    if (kept) {
      pieces_.push_back(text);
    }
    return kept;
  }

  /// \brief Drops the pieces before `offset`.
  void Trim(std::uint64_t offset) {
    while (first_ < offset && !pieces_.empty()) {
      pieces_.pop_front();
      ++first_;
    }
  }

  /// \returns Number of pieces added, including those not retained.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// \returns Offset of the first retained piece.
  [[nodiscard]] std::uint64_t first() const { return first_; }
  [[nodiscard]] const std::string& At(std::uint64_t offset) const {
    return pieces_[offset - first_];
  }

 private:
  std::uint64_t first_ = 0;
  std::uint64_t count_ = 0;
  std::deque<std::string> pieces_;
};

/// \brief An agent's record of one attempt.
struct agent_attempt {
  attempt_id id;
  incarnation_id owner = 0;  ///< The entry that receives the answer.
  grant_request terms;
  attempt_stage stage = attempt_stage::kGranted;

  instant expected_start;  ///< When the entry expects to send the start order.
  instant deadline = instant::max();
  microseconds run_for{};           ///< Predicted time at the backend server.
  std::uint32_t cached_tokens = 0;  ///< Predicted prefix cache hit.
  double virtual_start = 0;         ///< Position in the fair order between teams.
  instant announced_start;          ///< Predicted start as last sent to the entry.

  start_order order;
  instant kv_expires = instant::max();  ///< Expiry of the KV cache that it reads or produced.
  instant ordered_at;                   ///< When it was sent to the backend server.
  retained_text text;
  std::optional<message> final_message;  ///< The last message of the answer.
  run_state final_state = run_state::kUnknown;
  instant retained_until;         ///< End of the retention of the answer.
  bool cancel_requested = false;  ///< The owner is waiting for `cancelled`.
  bool acknowledged = false;      ///< The owner has acknowledged the whole answer.
  std::optional<instant> due;     ///< Next timeout; its meaning depends on the stage.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_
