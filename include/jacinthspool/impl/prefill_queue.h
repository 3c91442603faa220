#ifndef JACINTHSPOOL_IMPL_PREFILL_QUEUE_H_
#define JACINTHSPOOL_IMPL_PREFILL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/fair_share.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief One prefill, promised or ready to be computed.
struct prefill_job {
  attempt_id id;
  std::string team;
  std::uint8_t priority = 0;  ///< 0 is the most urgent.
  instant deadline = instant::max();
  microseconds work{};                ///< Predicted time at the engine.
  std::optional<instant> not_before;  ///< Its KV cache would not live until the seat before this.
};

/// \brief The bounded queue in front of a prefill engine.
///
/// The team that is furthest behind its share goes first; within a team the
/// lower priority number, then the earlier deadline. Work is promised by
/// Reserve and becomes eligible by MakeReady; both count against the bound.
/// A job whose KV cache would expire before its seat is passed over until
/// its time has come.
class prefill_queue {
 public:
  struct options {
    std::size_t capacity = 64;
  };
  enum class admission { kAdmitted, kFull, kTeamShare };

  explicit prefill_queue(options settings) : capacity_(settings.capacity) {}

  /// \brief Replaces the teams' weights.
  fair_share& shares() { return shares_; }
  void set_capacity(std::size_t capacity) { capacity_ = capacity; }

  /// \returns Whether one more job of this team has a place.
  [[nodiscard]] admission Admits(const std::string& team) const;

  /// \brief Keeps a place for a job that has yet to be started.
  void Reserve(const prefill_job& job);

  /// \brief The job may be handed out from now on.
  void MakeReady(attempt_id id, instant deadline, std::optional<instant> not_before);

  /// \brief The job's seat has moved.
  void MoveSeat(attempt_id id, std::optional<instant> not_before);

  /// \brief Takes a job out, whatever its state.
  void Remove(attempt_id id);

  /// \returns The next eligible job, which stays in the queue, or null.
  [[nodiscard]] const prefill_job* Peek(instant now) const;

  /// \returns The next eligible job; it leaves the queue.
  [[nodiscard]] std::optional<prefill_job> Pop(instant now);

  /// \returns Predicted wait of a job of that kind, behind those before it.
  [[nodiscard]] microseconds WaitOf(const std::string& team, std::uint8_t priority,
                                    instant deadline) const;

  /// \returns When a job that is passed over now becomes eligible, if one is.
  [[nodiscard]] std::optional<instant> next_eligible(instant now) const;

  [[nodiscard]] std::size_t size() const { return teams_of_.size(); }
  [[nodiscard]] microseconds work() const { return work_; }

 private:
  struct queued_job {
    prefill_job job;
    bool ready = false;
  };
  struct team_queue {
    std::vector<queued_job> jobs;
    microseconds work{};
  };

  [[nodiscard]] static bool Before(const prefill_job& left, const prefill_job& right);
  [[nodiscard]] static const queued_job* FirstEligible(const team_queue& queue, instant now);
  [[nodiscard]] queued_job* Find(attempt_id id);

  std::size_t capacity_;
  fair_share shares_;
  std::map<std::string, team_queue> teams_;
  attempt_map<std::string> teams_of_;
  microseconds work_{};
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_PREFILL_QUEUE_H_
