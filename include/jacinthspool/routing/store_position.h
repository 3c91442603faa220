#ifndef JACINTHSPOOL_ROUTING_STORE_POSITION_H_
#define JACINTHSPOOL_ROUTING_STORE_POSITION_H_

#include <algorithm>
#include <cstdint>

namespace jacinthspool {

/// \brief Position in the history of the platform's store: era and revision.
///
/// A store that is restored from an older copy reuses revisions; the era
/// distinguishes its histories. A position of a later era is newer, whatever its
/// revision.
struct store_position {
  /// Enough for more revisions than a store issues in an era.
  static constexpr std::uint32_t kRevisionBits = 40;
  /// The last era that `ordinal` can represent.
  static constexpr std::uint64_t kLastEra = (1ULL << (63 - kRevisionBits)) - 1;

  std::uint64_t era = 0;  ///< 0: from before eras were published, the oldest.
  std::uint64_t revision = 0;

  constexpr store_position() = default;
  /// \brief A revision of the oldest era.
  // NOLINTNEXTLINE(google-explicit-constructor): a revision without an era is of the oldest one.
  constexpr store_position(std::uint64_t the_revision) : revision(the_revision) {}
  constexpr store_position(std::uint64_t the_era, std::uint64_t the_revision)
      : era(the_era), revision(the_revision) {}

  /// \returns A number that increases with the position, also across eras.
  [[nodiscard]] constexpr std::uint64_t ordinal() const {
    return (era << kRevisionBits) + std::min<std::uint64_t>(revision, (1ULL << kRevisionBits) - 1);
  }

  friend constexpr bool operator==(const store_position& left, const store_position& right) {
    return left.era == right.era && left.revision == right.revision;
  }
  friend constexpr bool operator!=(const store_position& left, const store_position& right) {
    return !(left == right);
  }
  friend constexpr bool operator<(const store_position& left, const store_position& right) {
    return left.era != right.era ? left.era < right.era : left.revision < right.revision;
  }
  friend constexpr bool operator>(const store_position& left, const store_position& right) {
    return right < left;
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_STORE_POSITION_H_
