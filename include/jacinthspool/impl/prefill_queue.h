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

/// \brief A prefill in the queue, reserved or ready to run.
struct prefill_job {
  attempt_id id;
  std::string team;
  std::uint8_t priority = 0;  ///< 0 is the most urgent.
  instant deadline = instant::max();
  microseconds work{};                ///< Predicted time at the engine.
  std::optional<instant> not_before;  ///< Earliest start: before it, the KV cache
                                      ///< would expire ahead of the decode start.
};

/// \brief Bounded queue of a prefill engine.
///
/// Teams are served by weighted fair queueing; within a team the lower priority
/// number is served first, then the earlier deadline. Reserve adds a job and
/// MakeReady makes it eligible; both states count against the capacity. A job
/// whose KV cache would expire before its decode start is skipped until
/// `not_before`.
class prefill_queue {
 public:
  struct options {
    std::size_t capacity = 64;
  };
  enum class admission { kAdmitted, kFull, kTeamShare };

  explicit prefill_queue(options settings) : capacity_(settings.capacity) {}

  /// \returns The fair shares, whose weights may be changed.
  fair_share& shares() { return shares_; }
  void set_capacity(std::size_t capacity) { capacity_ = capacity; }

  /// \returns Whether another job of the team is admitted, or which limit rejects it.
  [[nodiscard]] admission Admits(const std::string& team) const;

  /// \brief Adds a job that is not eligible until MakeReady.
  void Reserve(const prefill_job& job);

  /// \brief Makes a job eligible, with its final deadline and earliest start.
  void MakeReady(attempt_id id, instant deadline, std::optional<instant> not_before);

  /// \brief Updates the earliest start of a job whose predicted decode start has moved.
  void UpdateNotBefore(attempt_id id, std::optional<instant> not_before);

  /// \brief Removes a job in either state.
  void Remove(attempt_id id);

  /// \returns The next eligible job without removing it, or null.
  [[nodiscard]] const prefill_job* Peek(instant now) const;

  /// \brief Removes the next eligible job and charges its work to its team.
  /// \returns The job, if one is eligible.
  [[nodiscard]] std::optional<prefill_job> Pop(instant now);

  /// \returns Predicted queueing time of a new job with these properties.
  [[nodiscard]] microseconds WaitOf(const std::string& team, std::uint8_t priority,
                                    instant deadline) const;

  /// \returns When the next skipped job becomes eligible, if there is one.
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
