#ifndef JACINTHSPOOL_IMPL_RUN_LEDGER_H_
#define JACINTHSPOOL_IMPL_RUN_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/ids.h"
#include "jacinthspool/impl/messages.h"
#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief Wall-clock time, for the creation time in UUIDv7 keys.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// \brief Idempotency key of a request, with what limits it to one run.
struct run_key {
  std::string team;
  std::string key;         ///< Empty when the request has no key.
  bool repeatable = true;  ///< The request may safely run again.
};

/// \returns The creation time of a UUIDv7 key; nothing for other keys.
[[nodiscard]] std::optional<wall_time> CreationTimeOf(const std::string& key);

/// \brief Records which attempts and idempotency keys have started or can never start.
///
/// An attempt is absent, sealed (it can never start), running or ended. Ended
/// attempts are retained for `retention`; afterwards their state is reported as
/// kUnknown, since there is no proof any more.
/// Keys are described in docs/design/idempotency-keys.md.
class run_ledger {
 public:
  struct options {
    microseconds retention = seconds(600);        ///< Of started attempts and keys.
    microseconds sealed_retention = seconds(30);  ///< Of attempts that never started.
    instant started{};                            ///< Start of this incarnation.
    wall_time started_wall{};                     ///< `started` on the wall clock.
    microseconds clock_skew = seconds(5);         ///< Largest difference between wall clocks.
  };
  explicit run_ledger(options settings) : settings_(settings) {}

  /// \brief Checks the key of a new attempt.
  /// \returns kNone, kDuplicate or kKeyMayHaveRun.
  [[nodiscard]] refusal_reason CheckKey(instant now, attempt_id attempt, const run_key& key) const;

  /// \returns Time until keys without a creation time are accepted.
  [[nodiscard]] microseconds TimeUntilKeysAccepted(instant now) const;

  /// \brief Starts an attempt.
  /// \returns kNone when the attempt may run; otherwise kSealed, kDuplicate or kKeyMayHaveRun.
  [[nodiscard]] refusal_reason Begin(instant now, attempt_id attempt, const run_key& key);

  /// \brief Records the final state of a started attempt.
  void End(instant now, attempt_id attempt, run_state how);

  /// \brief Reverts a start that never reached the backend server, and seals the attempt.
  void Withdraw(instant now, attempt_id attempt);

  /// \brief Seals an attempt that has not started, so that it can never start.
  /// \param reason Reason with which later messages of the attempt are rejected.
  /// \returns The state of the attempt; kUnknown when its record may have expired.
  run_state Seal(instant now, attempt_id attempt, refusal_reason reason = refusal_reason::kSealed);

  /// \returns Why the attempt can never start; kNone when it is not sealed.
  [[nodiscard]] refusal_reason RefusalOf(attempt_id attempt) const;

  /// \returns The state of the attempt; kUnknown when its record may have expired.
  [[nodiscard]] run_state StateOf(attempt_id attempt) const;

  /// \returns true while the ledger has a record of the attempt, sealed or started.
  [[nodiscard]] bool Knows(attempt_id attempt) const { return attempts_.contains(attempt); }

  /// \brief Removes records whose retention period has ended.
  void Expire(instant now);

  /// \returns When the next record expires, if an attempt has ended or was sealed.
  [[nodiscard]] std::optional<instant> next_expiry() const;

  void set_started(instant at) { settings_.started = at; }
  void set_retention(microseconds retention) { settings_.retention = retention; }
  [[nodiscard]] std::size_t size() const { return attempts_.size(); }

 private:
  struct record {
    run_state state = run_state::kNotRun;
    refusal_reason reason = refusal_reason::kNone;  ///< When sealed.
    std::string key;                                ///< As in `keys_`; empty without one.
  };
  struct retained {
    instant since;
    attempt_id attempt;
  };

  [[nodiscard]] static std::string QualifiedKey(const run_key& key);
  [[nodiscard]] bool MayHaveRunBefore(instant now, const std::string& key) const;
  [[nodiscard]] bool MayBeForgotten(attempt_id attempt) const;
  void RetainSealed(instant now, attempt_id attempt);
  void Forget(attempt_id attempt);

  options settings_;
  attempt_map<record> attempts_;
  std::unordered_map<std::string, attempt_id> keys_;  ///< Attempt that started with the key.
  std::deque<retained> ended_;                        ///< In order of `since`.
  std::deque<retained> sealed_;                       ///< In order of `since`.
  /// By entry: the largest counter of a started request whose record has expired.
  std::unordered_map<incarnation_id, std::uint64_t> forgotten_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_RUN_LEDGER_H_
