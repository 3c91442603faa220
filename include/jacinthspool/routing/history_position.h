#ifndef JACINTHSPOOL_ROUTING_HISTORY_POSITION_H_
#define JACINTHSPOOL_ROUTING_HISTORY_POSITION_H_

#include <algorithm>
#include <cstdint>

namespace jacinthspool {

/// \brief A moment in the history of what the platform publishes.
///
/// A publisher that comes back from an older copy of its data gives revisions
/// out again; the era tells its histories apart. A position of a later era is
/// newer, whatever its revision.
struct history_position {
  /// More revisions than a publisher gives out in an era.
  static constexpr std::uint32_t kRevisionBits = 40;
  /// The last era for which `ordinal` has room.
  static constexpr std::uint64_t kLastEra = (1ULL << (63 - kRevisionBits)) - 1;

  std::uint64_t era = 0;  ///< 0: from before eras were told, the oldest.
  std::uint64_t revision = 0;

  constexpr history_position() = default;
  /// \brief A revision of the oldest era.
  // NOLINTNEXTLINE(google-explicit-constructor): what tells no era is of the oldest one.
  constexpr history_position(std::uint64_t the_revision) : revision(the_revision) {}
  constexpr history_position(std::uint64_t the_era, std::uint64_t the_revision)
      : era(the_era), revision(the_revision) {}

  /// \returns A number that rises with the position, across eras too.
  [[nodiscard]] constexpr std::uint64_t ordinal() const {
    return (era << kRevisionBits) + std::min<std::uint64_t>(revision, (1ULL << kRevisionBits) - 1);
  }

  friend constexpr bool operator==(const history_position& left, const history_position& right) {
    return left.era == right.era && left.revision == right.revision;
  }
  friend constexpr bool operator!=(const history_position& left, const history_position& right) {
    return !(left == right);
  }
  friend constexpr bool operator<(const history_position& left, const history_position& right) {
    return left.era != right.era ? left.era < right.era : left.revision < right.revision;
  }
  friend constexpr bool operator>(const history_position& left, const history_position& right) {
    return right < left;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_HISTORY_POSITION_H_
