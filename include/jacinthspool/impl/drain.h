#ifndef JACINTHSPOOL_IMPL_DRAIN_H_
#define JACINTHSPOOL_IMPL_DRAIN_H_

#include <bitset>
#include <cstddef>

namespace jacinthspool {

/// \brief Who says that a backend server takes no new work.
enum class drain_reason : std::size_t {
  kPlannedStop,  ///< The process was told to stop; cannot be taken back.
  kOperator,     ///< An operator asked for it.
  kVmList,       ///< The platform's list says that the VM is leaving.
  kSettings,     ///< The operators' settings name the backend server.
};

/// \brief Whether a backend server is leaving: it is while any source says so.
///
/// \code
/// drain leaving;
/// if (leaving.Set(drain_reason::kVmList, true)) Tell(leaving.leaving());
/// \endcode
class drain {
 public:
  /// \brief Notes what one source says.
  /// \returns true when `leaving` has changed by it.
  bool Set(drain_reason reason, bool leaving);

  [[nodiscard]] bool leaving() const { return reasons_.any(); }

  /// \returns true when a planned stop has been asked for.
  [[nodiscard]] bool stopping() const {
    return reasons_.test(static_cast<std::size_t>(drain_reason::kPlannedStop));
  }

 private:
  static constexpr std::size_t kReasons = 4;
  std::bitset<kReasons> reasons_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_IMPL_DRAIN_H_
