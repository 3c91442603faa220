#ifndef JACINTHSPOOL_IMPL_MEMORY_LEDGER_H_
#define JACINTHSPOOL_IMPL_MEMORY_LEDGER_H_

#include <cstdint>

#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief State of the engine memory that is assigned to an attempt.
enum class piece_state {
  kGranted,    ///< Reserved; not yet allocated in the engine.
  kHeld,       ///< May be allocated in the engine.
  kReleasing,  ///< Being released; not yet confirmed by the engine.
};

/// \brief Accounts for the memory of one engine, in pieces.
///
/// Pieces that the engine may hold become free only through ConfirmReleased,
/// after the engine has confirmed the release. Reservations may exceed the
/// memory, since they are for later times.
class memory_ledger {
 public:
  explicit memory_ledger(std::uint32_t total) : total_(total) {}

  /// \brief Reserves pieces. No effect when the attempt already has an entry.
  void Grant(attempt_id attempt, std::uint32_t pieces);

  /// \brief Cancels a reservation. No effect on pieces that the engine may hold.
  void Withdraw(attempt_id attempt);

  /// \brief Converts a reservation into held pieces when enough pieces are free.
  /// \returns true when the engine may allocate them.
  [[nodiscard]] bool Hold(attempt_id attempt);

  /// \brief Marks held pieces as being released; they still count as held.
  void StartRelease(attempt_id attempt);

  /// \brief Frees the pieces of an attempt after the engine has confirmed their release.
  void ConfirmReleased(attempt_id attempt);

  /// \returns Pieces that the engine does not hold; reservations are not subtracted.
  [[nodiscard]] std::uint32_t free() const { return held_ < total_ ? total_ - held_ : 0; }
  /// \returns Pieces that the engine may hold, including those being released.
  [[nodiscard]] std::uint32_t held() const { return held_; }
  [[nodiscard]] std::uint32_t granted() const { return granted_; }
  [[nodiscard]] std::uint32_t releasing() const { return releasing_; }
  [[nodiscard]] std::uint32_t total() const { return total_; }
  void set_total(std::uint32_t total) { total_ = total; }

 private:
  struct entry {
    std::uint32_t pieces = 0;
    piece_state state = piece_state::kGranted;
  };

  std::uint32_t total_;
  std::uint32_t held_ = 0;
  std::uint32_t granted_ = 0;
  std::uint32_t releasing_ = 0;
  attempt_map<entry> entries_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_MEMORY_LEDGER_H_
