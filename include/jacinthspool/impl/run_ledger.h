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

/// \brief Wall time, for the creation time that some keys carry.
using wall_time = std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// \brief What makes a request one that runs at most once.
struct run_key {
  std::string team;
  std::string key;         ///< Empty: the request has none.
  bool repeatable = true;  ///< Running it again does no harm.
};

/// \returns The creation time of a key in UUIDv7 form, else nothing.
[[nodiscard]] std::optional<wall_time> CreationTimeOf(const std::string& key);

/// \brief Remembers which attempts and idempotency keys have started, and which never may.
///
/// An attempt is absent, sealed (it can never start), running or ended. Ended
/// attempts are remembered for `retention`; after that the ledger answers for
/// them with kUnknown rather than with a proof that it no longer has.
/// For keys see docs/design/idempotency-keys.md.
class run_ledger {
 public:
  struct options {
    microseconds retention = seconds(600);        ///< Of attempts that started, and of keys.
    microseconds sealed_retention = seconds(30);  ///< Of attempts that never start.
    instant started{};                            ///< Start of this incarnation.
    wall_time started_wall{};                     ///< The same moment on the wall clock.
    microseconds clock_skew = seconds(5);         ///< Between the wall clocks of the fleet.
  };
  explicit run_ledger(options settings) : settings_(settings) {}

  /// \brief Checks the key of a new attempt.
  /// \returns kNone, kDuplicate or kKeyMayHaveRun.
  [[nodiscard]] refusal_reason CheckKey(instant now, attempt_id attempt, const run_key& key) const;

  /// \returns How long until keys without a creation time are accepted.
  [[nodiscard]] microseconds KeysOpenIn(instant now) const;

  /// \brief Starts an attempt.
  /// \returns kNone when it may run now; kSealed, kDuplicate or kKeyMayHaveRun when it may not.
  [[nodiscard]] refusal_reason Begin(instant now, attempt_id attempt, const run_key& key);

  /// \brief Notes that a started attempt has ended, and how far it came.
  void End(instant now, attempt_id attempt, run_state how);

  /// \brief Takes back a start that the backend server never saw; the attempt is sealed.
  void Withdraw(instant now, attempt_id attempt);

  /// \brief Makes an attempt that has not started unable to start.
  /// \param reason What later messages of the attempt are refused with.
  /// \returns How far the attempt came; kUnknown when it is no longer remembered.
  run_state Seal(instant now, attempt_id attempt, refusal_reason reason = refusal_reason::kSealed);

  /// \returns Why the attempt can never start, or kNone when it still may.
  [[nodiscard]] refusal_reason RefusalOf(attempt_id attempt) const;

  /// \returns How far the attempt came; kUnknown when it may have started and is forgotten.
  [[nodiscard]] run_state StateOf(attempt_id attempt) const;

  /// \returns true while there is a record of the attempt, sealed or started.
  [[nodiscard]] bool Knows(attempt_id attempt) const { return attempts_.contains(attempt); }

  /// \brief Forgets what has been retained for long enough.
  void Expire(instant now);

  /// \returns When the next record is forgotten, if any has ended.
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

  [[nodiscard]] static std::string NameOf(const run_key& key);
  [[nodiscard]] bool MayHaveRunBefore(instant now, const std::string& key) const;
  [[nodiscard]] bool Forgotten(attempt_id attempt) const;
  void RetainSealed(instant now, attempt_id attempt);
  void Forget(attempt_id attempt);

  options settings_;
  attempt_map<record> attempts_;
  std::unordered_map<std::string, attempt_id> keys_;  ///< The attempt that started with the key.
  std::deque<retained> ended_;                        ///< In order of `since`.
  std::deque<retained> sealed_;                       ///< In order of `since`.
  /// By entry: the largest counter of a started request that was forgotten.
  std::unordered_map<incarnation_id, std::uint64_t> forgotten_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_RUN_LEDGER_H_
