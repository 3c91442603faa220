#ifndef JACINTHSPOOL_IMPL_DRAIN_H_
#define JACINTHSPOOL_IMPL_DRAIN_H_

#include <bitset>
#include <cstddef>

namespace jacinthspool {

/// \brief Reasons for which a backend server accepts no new work.
enum class drain_reason : std::size_t {
  kPlannedStop,  ///< The process is stopping; cannot be revoked.
  kOperator,     ///< Requested by an operator.
  kVmList,       ///< The platform's list marks the VM as leaving.
  kSettings,     ///< The operators' settings drain the backend server.
};

/// \brief Drain state of a backend server: draining while at least one reason is set.
///
/// \code
/// drain state;
/// if (state.Set(drain_reason::kVmList, true)) Publish(state.leaving());
/// \endcode
class drain {
 public:
  /// \brief Sets or clears one reason. `kPlannedStop` cannot be cleared.
  /// \returns true when the value of `leaving()` has changed.
  bool Set(drain_reason reason, bool leaving);

  [[nodiscard]] bool leaving() const { return reasons_.any(); }

  /// \returns true when a planned stop has been requested.
  [[nodiscard]] bool stopping() const {
    return reasons_.test(static_cast<std::size_t>(drain_reason::kPlannedStop));
  }

 private:
  static constexpr std::size_t kReasons = 4;
  std::bitset<kReasons> reasons_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_DRAIN_H_
