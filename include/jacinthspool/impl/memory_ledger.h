#ifndef JACINTHSPOOL_IMPL_MEMORY_LEDGER_H_
#define JACINTHSPOOL_IMPL_MEMORY_LEDGER_H_

#include <cstdint>

#include "jacinthspool/impl/attempt_hash.h"
#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief How an attempt has its pieces of engine memory.
enum class piece_state {
  kGranted,    ///< Promised; the engine does not hold them yet.
  kHeld,       ///< The engine may hold them.
  kReleasing,  ///< To be freed; the engine has not confirmed it yet.
};

/// \brief Accounts for the pieces of one engine's memory.
///
/// Pieces that the engine may hold become free only by Confirm, once the
/// engine says that it holds nothing. Promises may exceed the memory: they
/// are for later moments.
class memory_ledger {
 public:
  explicit memory_ledger(std::uint32_t total) : total_(total) {}

  /// \brief Promises pieces. Does nothing when the attempt has pieces already.
  void Grant(attempt_id attempt, std::uint32_t pieces);

  /// \brief Takes a promise back. Pieces that the engine may hold stay.
  void Withdraw(attempt_id attempt);

  /// \brief Turns a promise into held pieces, if that many are free.
  /// \returns true when the engine may use them from now on.
  [[nodiscard]] bool Hold(attempt_id attempt);

  /// \brief Marks held pieces as about to be freed.
  void StartRelease(attempt_id attempt);

  /// \brief The engine has confirmed that it holds nothing of the attempt.
  void Confirm(attempt_id attempt);

  /// \returns Pieces that the engine does not hold; promises do not count.
  [[nodiscard]] std::uint32_t free() const { return held_ < total_ ? total_ - held_ : 0; }
  /// \returns Pieces that the engine may hold, those in release included.
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
