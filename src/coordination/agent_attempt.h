#ifndef JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_
#define JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief How far an attempt has come at its agent.
enum class attempt_stage {
  kGranted,    ///< It has a grant and has not started.
  kQueued,     ///< Started; the backend server has not seen it yet.
  kRunning,    ///< Ordered from the backend server.
  kReleasing,  ///< To be stopped; the backend server has not confirmed it.
  kEnded,      ///< Over; its answer is kept for the entry.
};

/// \brief The text of an answer that its entry may still ask for.
class retained_text {
 public:
  /// \brief Pieces before `first` are counted and not kept.
  void StartAt(std::uint64_t first) { first_ = first; }

  /// \brief Adds the next piece.
  /// \returns true when it is one that is kept.
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

  /// \returns Number of pieces so far, those not kept included.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// \returns Offset of the first piece that is kept.
  [[nodiscard]] std::uint64_t first() const { return first_; }
  [[nodiscard]] const std::string& At(std::uint64_t offset) const {
    return pieces_[offset - first_];
  }

 private:
  std::uint64_t first_ = 0;
  std::uint64_t count_ = 0;
  std::deque<std::string> pieces_;
};

/// \brief All that an agent knows of one attempt.
struct agent_attempt {
  attempt_id id;
  incarnation_id owner = 0;  ///< The entry that is answered.
  grant_request terms;
  attempt_stage stage = attempt_stage::kGranted;

  instant expected;  ///< When the entry means to start it.
  instant deadline = instant::max();
  microseconds run_for{};           ///< Predicted time at the backend server.
  std::uint32_t cached_tokens = 0;  ///< Predicted.
  double virtual_start = 0;         ///< Place in the order between teams.
  instant told_seat;                ///< The seat that the entry was told last.

  start_order order;
  instant kv_expires = instant::max();  ///< Of the KV cache that it takes, or that it made.
  instant began;                        ///< When it was ordered.
  retained_text text;
  std::optional<message> closing;  ///< The last message of the answer.
  run_state ended = run_state::kUnknown;
  instant retained_until;      ///< The answer is kept until then.
  bool cancel_asked = false;   ///< The owner waits for `cancelled`.
  bool acknowledged = false;   ///< The owner has the whole answer.
  std::optional<instant> due;  ///< Next timeout; its meaning depends on the stage.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_COORDINATION_AGENT_ATTEMPT_H_
